//! The hand-over from one process of a forwarder to the next. The predecessor sends a snapshot of its state to the
//! successor, and from then on only forwards what it still receives. This module makes no delivery decisions.
//! `docs/operator.md` describes the steps.

mod call_log;
mod calls_server;
pub mod fence;
pub mod fence_watch;
pub mod frames;
mod link;
pub mod lock;
pub mod ownership;
mod predecessor;
mod relay;
mod served_frames;
mod successor;

pub use link::{FrameSender, HandOverError};
pub use predecessor::{hand_over, until_hand_over_finished};
pub use successor::{claim, FolderClaim, InheritedState};
