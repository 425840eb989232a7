//! Endpoints: the connections to them, the calls on those connections, and the table of what is known of each endpoint.

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
