//! Support of the tests of this crate.

pub mod connections;
