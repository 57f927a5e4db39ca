//! Support for tests, benchmarks and the demo: a stand-in model engine and plain service, a proxy that injects faults,
//! fleets of real processes on loopback addresses, a simulated disk, and an HTTP client for callers' requests.

pub mod address;
pub mod caller;
pub mod control_hosts;
pub mod engine;
pub mod fleet;
pub mod links;
pub mod memory_disk;
mod memory_file;
pub mod process;
pub mod proxy;
pub mod ranks;
