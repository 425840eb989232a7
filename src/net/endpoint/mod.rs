//! Endpoints: the connections to them, the calls on those connections, and the table of what is known of each endpoint.

mod actor;
mod call;
mod confirmation;
pub mod connection;
pub mod connection_end;
mod exchange;
mod late_response;
mod pool;
mod received;
mod request;
pub mod response;
pub mod table;
pub mod times;
mod waiting;

pub use actor::run;
