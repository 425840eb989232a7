#![doc = include_str!("../README.md")]

pub mod api;
pub mod logic;
pub mod net;
mod settings;
pub mod words;

pub use api::*;
pub use logic::Courier;
