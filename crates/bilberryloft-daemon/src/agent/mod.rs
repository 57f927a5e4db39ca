//! The agent role: beside one target, it admits or refuses, runs attempts, and holds their answers.

mod announce;
mod crash;
mod dispatch;
mod expert_maps;
mod held;
mod listener;
mod run;
mod service;
mod sse;
mod state;
mod target;

pub use announce::spawn_announcer;
pub use expert_maps::spawn_expert_map_planner;
pub use held::AnswerBuffer;
pub use held::AnswerHead;
pub use held::AttemptOutcome;
pub use held::Cursor;
pub use held::ReadResult;
pub use service::AgentService;
pub use service::void_answer_from_number;
pub use sse::SseSplitter;
pub use state::Agent;
pub use target::Announcement;
pub use target::serve_announcements;
