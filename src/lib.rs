#![doc = include_str!("../README.md")]

pub mod api;
pub mod cli;
pub mod config_error;
pub mod durations;
pub mod invariants;
pub mod journal;

pub mod membership;
pub mod memory;
pub mod net;
pub mod policy;
pub mod rates;
pub mod routes;
mod settings;
pub mod settings_json;
pub mod site;
pub mod time_slots;

pub use api::*;
pub use policy::DeliveryPolicy;
