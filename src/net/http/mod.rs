//! HTTP/1.1 on one connection: heads by httparse, bodies by length or in chunks, within size limits.

mod body;
mod buffer;
mod connection;
mod error;
mod frame;
mod head;

pub use buffer::Buffer;
pub use connection::{write_all, HttpConnection};
pub use error::HttpError;
pub use frame::{frame, Frame};
pub use head::{Headers, RequestHead, ResponseHead, HEAD_LIMIT};
