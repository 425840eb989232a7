//! The HTTP interface for clients: their connections, requests and responses.

mod accept;
mod close;
mod connection;
mod request;
mod response;
mod submit;

pub use accept::{listen, serve, ListenOptions};
pub use connection::LINGER_TIMEOUT;
pub use response::Response;
