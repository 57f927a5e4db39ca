//! The control role: a member of the Raft quorum that stores all durable state.

mod disk;
mod handle;
mod member_changes;
mod node;
mod peers;
mod recovery;
mod reopen;
mod service;
pub mod shared_read;
mod snapshots;
mod target_leases;
mod watchers;

pub use handle::ControlHandle;
pub use handle::ProposeError;
pub use handle::QuorumStatus;
pub use node::ControlNode;
pub use service::ControlService;
