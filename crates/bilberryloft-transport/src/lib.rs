//! Network transport: framed Thrift calls between processes, HTTP requests to targets, and clocks.
#![warn(missing_docs)]

pub mod account;
pub mod client;
pub mod clock;
pub mod frame;
pub mod held_blocks;
pub mod held_bytes;
pub mod http;
pub mod server;
pub mod socket;
