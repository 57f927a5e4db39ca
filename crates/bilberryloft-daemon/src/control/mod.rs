//! The control role: a member of the quorum that keeps all durable state.

mod boot;
mod disk;
mod handle;
mod members;
mod node;
mod peers;
mod service;
mod target_leases;
mod watchers;

pub use handle::ControlHandle;
pub use handle::ProposeError;
pub use handle::QuorumStatus;
pub use node::ControlNode;
pub use service::ControlService;
