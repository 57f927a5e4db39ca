//! HTTP relay: forwards callers' requests to targets that are found by host and path.
#![warn(missing_docs)]

pub mod admission;
pub mod answer;
pub mod attempt;
pub mod connection;
pub mod control_api;
pub mod dialect;
pub mod entries;
pub mod expert_planner;
pub mod forward;
pub mod headers;
pub mod held_trial;
pub mod lifecycle;
pub mod limits;
pub mod loads;
pub mod lost_runs;
pub mod pool;
pub mod prompt_part;
pub mod ranks;
pub mod readiness;
pub mod relay;
pub mod request;
pub mod retries;
pub mod retry_loop;
pub mod server;
pub mod services;
pub mod settings;
pub mod state;
pub mod stream;
pub mod survived_parts;
pub mod suspects;
pub mod target_call;
pub mod target_notice;
pub mod target_probe;
pub mod target_slot;
pub mod trial_slot;
