//! The entry role: accepts callers' requests, routes them to targets and returns their answers.
//!
//! A caller gets one complete answer or a refusal.

mod agent_loss;
mod answer_reader;
mod attempt;
mod claims;
mod join;
mod records;
mod request;
mod response;
mod resume;
mod server;
mod started_answer;
mod state;
mod trial;

pub use server::CallerServer;
pub use state::Entry;
