//! Subcommands, one per file.

pub mod commits;
pub mod failover;
pub mod fleet;
pub mod pick;
pub mod relay;
pub mod state;
