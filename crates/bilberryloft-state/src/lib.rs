//! Replicated state (configuration, membership, claims, suspects) and its durable storage in a write-ahead log and
//! snapshots.
#![warn(missing_docs)]

pub mod claim;
pub mod compression;
pub mod configuration;
pub mod document;
pub mod error;
pub mod evacuation;
pub mod expert_map_register;
pub mod expert_map_schedule;
pub mod file_system;
pub mod folder;
pub mod founding;
pub mod intern;
pub mod key;
pub mod member_set;
pub mod membership;
pub mod record;
pub mod refusal;
pub mod snapshot;
pub mod state_machine;
pub mod storage;
pub mod suspect;
pub mod wal;
