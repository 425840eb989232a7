#![doc = include_str!("../README.md")]

pub mod api;
pub mod breach;
pub mod cli;
pub mod invariants;
pub mod journal;

pub mod measured;
pub mod membership;
pub mod net;
pub mod policy;
pub mod routes;
mod settings;
pub mod site;
pub mod turns;
pub mod words;

pub use api::*;
pub use policy::DeliveryPolicy;
