//! The agent role: runs next to one target, admits or refuses dispatches, runs attempts at the target and
//! buffers their answers.

mod announce;
mod answer_buffer;
mod answer_sender;
mod crash;
mod dispatch;
mod expert_maps;
mod run;
mod service;
mod sse;
mod state;
mod target;

pub use announce::spawn_announcer;
pub use answer_buffer::AnswerBuffer;
pub use answer_buffer::AnswerHead;
pub use answer_buffer::AttemptOutcome;
pub use answer_buffer::Cursor;
pub use answer_buffer::ReadResult;
pub use expert_maps::spawn_expert_map_planner;
pub use service::AgentService;
pub use service::decode_void_answer;
pub use sse::SseSplitter;
pub use state::Agent;
pub use target::Announcement;
pub use target::serve_announcements;
