//! Stand-ins for the cases of the third review: the platform that starts the system's processes, replicas, groups of
//! ranks and clients. Only the standard library is used.

pub mod fetches;
pub mod fleet;
pub mod group;
pub mod http;
pub mod json;
pub mod record;
pub mod replica;
pub mod text;
