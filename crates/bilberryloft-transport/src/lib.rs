//! Sockets: framed thrift calls between processes, HTTP to targets, and clocks.
#![warn(missing_docs)]

pub mod client;
pub mod clock;
pub mod frame;
pub mod http;
pub mod server;
pub mod socket;
