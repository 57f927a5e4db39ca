//! Raft replicated log with pre-vote, check-quorum and linearizable reads that a quorum confirms.
//!
//! Source: Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm" (2014), and
//! Ongaro's dissertation for pre-vote, single-server membership changes and read indexes.

mod election;
mod follower;
mod leader;
mod log;
mod message;
mod node;
mod options;
mod output;
mod recovery;

pub use log::Log;
pub use message::Append;
pub use message::AppendReply;
pub use message::InstallSnapshot;
pub use message::Message;
pub use message::Recovery;
pub use message::VoteReply;
pub use message::VoteRequest;
pub use node::HeardLeader;
pub use node::InitialState;
pub use node::NotLeader;
pub use node::Raft;
pub use node::Role;
pub use options::Options;
pub use output::Outbound;
pub use output::Output;
pub use output::ReadTicket;
