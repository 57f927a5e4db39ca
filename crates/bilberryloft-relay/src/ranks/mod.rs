//! Ranks of lock-step groups: the agent beside each rank, the planner's client for a rank, and the compact encodings
//! that they exchange.

pub mod agent;
pub mod choices;
pub mod client;
pub mod map_codec;
pub mod state;
