//! The delivery actor: it brings events to the delivery policy and carries out the actions that the policy returns.
//!
//! One struct, [`DeliveryActor`]; each file holds one of its jobs.

mod actor;
mod admission;
mod attempts;
mod endpoints;
mod hand_over;
mod message_end;
mod restore;
mod status;
mod step;

pub use actor::DeliveryActor;
