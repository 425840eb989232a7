//! Clients of the forwarder for tests of its limits: crowds that misbehave in one way each, a load of honest clients beside
//! them, and readings of what a process takes in memory.

mod client;
mod crowd;
mod honest;
mod memory;
mod shape;

pub use crowd::{Crowd, CrowdReport};
pub use honest::{HonestLoad, HonestReport, LoadControl};
pub use memory::ProcessMemory;
pub use shape::{Shape, UnknownShape};
