//! HTTP/1.1 on one connection. Heads are parsed by httparse; bodies are read by their length, in chunks or up to the end of
//! the connection. All have size limits.

mod body;
mod buffer;
mod connection;
mod error;
mod frame;
mod head;

pub use buffer::Buffer;
pub use connection::{write_all, HttpConnection};
pub use error::HttpError;
pub use frame::{frame_front, Frame, PartialFrame};
pub use head::{status_line_code, Headers, RequestHead, ResponseHead, MAX_HEAD_BYTES};
