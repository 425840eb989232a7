//! Endpoints: the connections to each of them, the calls on these, and what is known of it at the first byte of a call.

mod actor;
mod call;
pub mod connection_end;
mod exchange;
mod late_response;
mod pool;
mod request;
pub mod response;
pub mod table;

pub use actor::run;
