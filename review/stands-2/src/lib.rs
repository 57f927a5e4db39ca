//! Stand-ins for the scripts of the review: hosts that run the project's program, replicas, clients and the operator.

pub mod case;
pub mod fleet;
pub mod http;
pub mod replica;
