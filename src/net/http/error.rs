//! Why nothing more can be read from a connection.

use std::io;

/// Why nothing more can be read from a connection.
#[derive(Debug, thiserror::Error)]
pub enum HttpError {
    /// It ended between two heads.
    #[error("ended")]
    Closed,
    /// It ended in the middle of a head or body.
    #[error("torn")]
    UnexpectedEnd,
    /// The socket failed.
    #[error("{0}")]
    Socket(#[from] io::Error),
    /// What was received is not HTTP/1.1 as it should be.
    #[error("{0}")]
    Malformed(&'static str),
    /// Head or body is over its limit.
    #[error("too-large")]
    TooLarge,
    /// Nothing was received for too long in the middle of a head or body.
    #[error("stalled")]
    TimedOut,
}

impl HttpError {
    /// A code for the log.
    pub fn code(&self) -> &'static str {
        match self {
            HttpError::Closed => "ended",
            HttpError::UnexpectedEnd => "torn",
            HttpError::Socket(_) => "socket",
            HttpError::Malformed(_) => "malformed",
            HttpError::TooLarge => "too-large",
            HttpError::TimedOut => "stalled",
        }
    }
}
