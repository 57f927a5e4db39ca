//! Coordination logic as deterministic state machines: each takes an input and the current time and returns actions.
//!
//! Nothing here opens a socket, reads a clock or keeps global state; the caller seeds the random number generators.
#![warn(missing_docs)]

pub mod admission;
pub mod attempts;
pub mod document_transfer;
pub mod expert_map;
pub mod freshness;
pub mod host_choice;
pub mod leases;
pub mod loss_tolerance;
pub mod member_planner;
pub mod pick;
pub mod raft;
pub mod rank_choice;
pub mod retry;
pub mod run_permission;
pub mod suspect_feed;
pub mod target_end;
