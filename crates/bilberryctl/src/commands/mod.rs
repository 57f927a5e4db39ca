//! The commands, one per file.

pub mod config;
pub mod config_check;
pub mod data;
pub mod evacuation;
pub mod explain;
pub mod members;
pub mod report;
pub mod settings;
pub mod target;
pub mod team;
pub mod template;
pub mod trace;
