//! Support for the tests of the storage.

pub mod member;
pub mod model;
