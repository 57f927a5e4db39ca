//! Coordination as deterministic state machines: an input and the time go in, actions come out.
//!
//! Nothing here opens a socket, reads a clock or keeps global state; randomness is seeded by the caller.
#![warn(missing_docs)]

pub mod admission;
pub mod attempts;
pub mod expert_map;
pub mod freshness;
pub mod leases;
pub mod membership;
pub mod pick;
pub mod raft;
pub mod rank_choice;
pub mod retry;
