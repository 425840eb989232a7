//! The process itself: its clock, its signals, and whether it was stopped.

pub mod clock;
pub mod latch;
pub mod signals;
pub mod stall_detector;
