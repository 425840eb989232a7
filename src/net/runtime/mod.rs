//! The life of the process: start, reload, shutdown, clock, signals and stall detection.

pub mod background;
pub mod clock;
pub mod deadline;
pub mod latch;
pub mod lifecycle;
pub mod load;
pub mod opening;
pub mod phase;
pub mod process_memory;
pub mod reload;
pub mod shutdown;
pub mod signals;
pub mod stall_detector;
pub mod start;
