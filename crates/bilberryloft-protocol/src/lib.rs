//! Messages between processes and to callers and operators, with their encoding. This crate does no I/O.
#![warn(missing_docs)]

pub mod api;
pub mod codec;
pub mod convert;
pub mod problem;
pub mod ranks;
pub mod varint;

/// Thrift messages, generated from `idl/wire.thrift`.
#[rustfmt::skip]
#[allow(clippy::all, clippy::cast_possible_wrap, clippy::unwrap_used, missing_docs)]
pub mod wire;

/// Version of the protocol between processes; both sides of a connection must use the same version.
pub const PROTOCOL_VERSION: i32 = 1;
