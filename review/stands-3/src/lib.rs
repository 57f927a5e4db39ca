//! Stand-ins for the cases of the third review: the platform that starts the system's processes, replicas and clients.
//! Only the standard library is used.

pub mod fleet;
pub mod http;
pub mod record;
pub mod replica;
pub mod text;
