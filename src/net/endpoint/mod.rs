//! Endpoints: the connections to them, the calls on those connections, and the table of what is known of each endpoint.

mod actor;
mod call;
pub mod connection;
pub mod connection_end;
mod end_read;
mod ended_call;
mod exchange;
mod failed_call;
mod late_response;
mod late_retry_after;
mod observation;
mod pool;
mod receive;
mod received;
mod request;
pub mod response;
pub mod table;
pub mod times;
mod unconfirmed;
mod waiting;

pub use actor::run;
