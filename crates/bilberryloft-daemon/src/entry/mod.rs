//! The entry role: takes callers' requests, picks targets, and answers once and whole.

mod answer;
mod attempt;
mod claims;
mod join;
mod lost;
mod records;
mod request;
mod respond;
mod resume;
mod server;
mod state;
mod trial;

pub use server::CallerServer;
pub use state::Entry;
