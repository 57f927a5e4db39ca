//! Routing by host and path: routes and teams, picking a target, retries and refusals, without I/O.
#![warn(missing_docs)]

pub mod batch_limit;
pub mod budget;
pub mod document;
pub mod events;
pub mod failing;
pub mod outage;
pub mod routes;
pub mod slow_ranks;
pub mod targets;
pub mod waiting_line;
