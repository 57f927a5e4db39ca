//! Routing by host and path: routes and teams, picking a target, retries and refusals, without I/O.
#![warn(missing_docs)]

pub mod batch_limit;
pub mod document;
pub mod event_stream;
pub mod group_health;
pub mod outlier_ejection;
pub mod retry_budget;
pub mod routes;
pub mod slow_ranks;
pub mod targets;
pub mod wait_queue;
