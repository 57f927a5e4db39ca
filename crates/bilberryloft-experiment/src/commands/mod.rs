//! The commands, one a file.

pub mod balance;
pub mod expert_map;
pub mod overload;
pub mod ranks;
