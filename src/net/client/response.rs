//! The responses that are written to clients and operators.

use crate::memory::MemoryPermit;
use crate::{MessageId, Micros};

/// A body up to this size is written together with its head, in bytes.
const MAX_JOINED_BYTES: usize = 4 * 1024;

/// A response that is still to be written.
pub struct Response {
    status: u16,
    /// Headers besides `Connection` and `Content-Length`, each with its line end.
    headers: String,
    body: String,
    /// The message whose acceptance the response reports; `None` for any other response.
    pub(super) accepted: Option<MessageId>,
    /// The memory that a large response holds; `None` for a small one.
    _memory: Option<MemoryPermit>,
}

/// The text of a response, in two parts.
pub(super) struct ResponseParts<'a> {
    pub(super) first: String,
    pub(super) second: &'a str,
}

impl Response {
    /// A response with a status code and a plain text as its body.
    pub fn text(status: u16, body: impl Into<String>) -> Self {
        Response { status, headers: String::new(), body: body.into(), accepted: None, _memory: None }
    }

    /// The same response, which holds memory by this permit until it is written.
    pub(super) fn with_memory(self, permit: MemoryPermit) -> Self {
        Response { _memory: Some(permit), ..self }
    }

    /// A 503 response whose `Retry-After` says when the message may be sent again, in microseconds.
    pub(super) fn service_unavailable(retry_after: Micros) -> Self {
        let headers = format!("Retry-After: {:.3}\r\n", retry_after as f64 / 1e6);
        Response { headers, ..Response::text(503, "") }
    }

    /// A 202 response for an accepted message.
    pub(super) fn accepted(message: MessageId) -> Self {
        Response { accepted: Some(message), ..Response::text(202, "") }
    }

    /// The head of the response as it is written. It has a `Connection: close` header unless the connection is kept alive.
    fn head(&self, keep_alive: bool) -> String {
        let reason_phrase = match self.status {
            200 => "OK",
            202 => "Accepted",
            400 => "Bad Request",
            404 => "Not Found",
            405 => "Method Not Allowed",
            408 => "Request Timeout",
            409 => "Conflict",
            413 => "Content Too Large",
            500 => "Internal Server Error",
            507 => "Insufficient Storage",
            _ => "Service Unavailable",
        };
        let (status, headers, length) = (self.status, &self.headers, self.body.len());
        let close = if keep_alive { "" } else { "Connection: close\r\n" };
        format!("HTTP/1.1 {status} {reason_phrase}\r\n{headers}{close}Content-Length: {length}\r\n\r\n")
    }

    /// The response as it is written.
    pub fn bytes(&self, keep_alive: bool) -> String {
        self.head(keep_alive) + &self.body
    }

    /// The two parts in which the response is written: a small body comes together with the head, and a large one is not
    /// copied.
    pub(super) fn parts(&self, keep_alive: bool) -> ResponseParts<'_> {
        match self.body.len() > MAX_JOINED_BYTES {
            true => ResponseParts { first: self.head(keep_alive), second: &self.body },
            false => ResponseParts { first: self.bytes(keep_alive), second: "" },
        }
    }
}
