//! The responses that are written to clients and operators.

use crate::{MessageId, Micros};

/// A response that is still to be written.
pub struct Response {
    status: u16,
    /// Headers besides `Connection` and `Content-Length`, each with its line end.
    headers: String,
    body: String,
    /// The message whose acceptance the response reports; `None` for any other response.
    pub(super) accepted: Option<MessageId>,
}

impl Response {
    /// A response with a status code and a plain text as its body.
    pub fn text(status: u16, body: impl Into<String>) -> Self {
        Response { status, headers: String::new(), body: body.into(), accepted: None }
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

    /// The response as it is written. It has a `Connection: close` header unless the connection is kept alive.
    pub fn bytes(&self, keep_alive: bool) -> String {
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
        format!(
            "HTTP/1.1 {status} {reason_phrase}\r\n{headers}{close}Content-Length: {length}\r\n\r\n{}",
            self.body
        )
    }
}
