//! The daemon: runs the entry, agent and control roles that its settings select, all in one process.
#![warn(missing_docs)]

pub mod admin;
pub mod agent;
pub mod burn_rate;
pub mod control;
pub mod control_client;
pub mod daemon;
pub mod document_sync;
pub mod entry;
pub mod evacuation;
pub mod events;
pub mod host_choice;
pub mod host_reporter;
pub mod logging;
pub mod metrics;
pub mod peer_service;
pub mod remote_shares;
pub mod settings;
pub mod shared;
pub mod trial;
pub mod view;
pub mod view_sync;
