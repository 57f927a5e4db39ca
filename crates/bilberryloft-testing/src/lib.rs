//! Stand-ins and tools for tests: a model engine, a plain service, a fault-injecting proxy, real
//! processes on loopback addresses of their own, and callers.

pub mod address;
pub mod caller;
pub mod engine;
pub mod fleet;
pub mod links;
pub mod process;
pub mod proxy;
pub mod ranks;
