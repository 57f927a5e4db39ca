//! Routing decisions without I/O: route lookup by host and path, team keys, target selection, retry budgets and
//! admission limits.
#![warn(missing_docs)]

pub mod batch_limit;
pub mod cold_targets;
pub mod document;
pub mod document_check;
pub mod event_stream;
pub mod failing;
pub mod group_health;
pub mod header_text;
pub mod learned;
pub mod limit_backlog;
pub mod load_exchange;
pub mod priority_admission;
pub mod remote;
pub mod retry_budget;
pub mod routes;
pub mod selection;
pub mod sharing_entries;
pub mod slow_ranks;
mod target;
pub mod target_limits;
pub mod target_starts;
pub mod targets;
pub mod wait_queue;
