//! The delivery actor: it passes events to the delivery policy and performs the actions that the policy returns.
//!
//! All of it is one struct, [`DeliveryActor`], whose methods are split over the files by task.

mod actor;
mod admission;
mod attempts;
mod endpoints;
mod fenced;
mod hand_over;
mod message_end;
mod restore;
mod status;
mod step;
mod unconfirmed_ends;

pub use actor::DeliveryActor;
