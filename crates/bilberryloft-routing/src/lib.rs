//! Routing by host and path: routes and teams, picking a target, retries and refusals, without I/O.
#![warn(missing_docs)]

pub mod budget;
pub mod document;
pub mod events;
pub mod route_table;
pub mod targets;
