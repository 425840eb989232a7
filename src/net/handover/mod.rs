//! The hand-over of a forwarder from one process to the next: the predecessor sends its state of one moment, and from then on
//! only forwards what still comes to it. It decides nothing; `docs/operator.md` tells the steps.

pub mod frames;
mod link;
pub mod lock;
pub mod ownership;
mod predecessor;
mod relay;
mod served_frames;
mod successor;

pub use link::{FrameSender, HandOverError};
pub use predecessor::{hand_over, until_drained};
pub use successor::{claim, FolderClaim, Inherited};
