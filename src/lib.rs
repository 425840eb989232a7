#![doc = include_str!("../README.md")]

pub mod api;
pub mod logic;
mod settings;
pub mod words;

pub use api::*;
pub use logic::Courier;
