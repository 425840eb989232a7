//! The forwarder's input and output: connections to clients, endpoints, the platform and operators, the state folder,
//! and the actors that connect these with the decisions in [`crate::policy`].

pub mod call;
pub mod client;
pub mod config;
pub mod connection_registry;
pub mod context;
pub mod counters;
pub mod delivery;
pub mod dial;
pub mod endpoint;
pub mod gauges;
pub mod handover;
pub mod http;
pub mod in_flight;
pub mod journal_handle;
pub mod message_body;
pub mod message_end;
pub mod messages;
pub mod operator;
pub mod platform;
pub mod receive_bounds;
pub mod request_ids;
pub mod response_memory;
pub mod route_stats;
pub mod runtime;
pub mod storage;
pub mod stray_response;
pub mod turns;

pub use context::Context;
pub use runtime::deadline::{run_blocking, within, within_or_error};
pub use runtime::load::{ConfigLoader, LoadOccasion, LoadResult};
pub use runtime::start::run;
