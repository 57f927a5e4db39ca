//! Subcommands, one per file.

pub mod balance;
pub mod expert_map;
pub mod overload;
pub mod ranks;
