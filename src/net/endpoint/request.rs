//! Formats the HTTP request of a call.

use crate::net::call::{Attempt, Call};
use crate::Micros;
use std::borrow::Cow;

/// A body up to this size is written together with what surrounds it, in bytes. A larger one is not copied.
const MAX_JOINED_BYTES: usize = 4 * 1024;
const CRLF: &[u8] = b"\r\n";

/// The request of a call in the parts in which it is written.
#[derive(Default)]
struct RequestParts<'c> {
    complete: Vec<Cow<'c, [u8]>>,
    /// The part to which more is added.
    last: Vec<u8>,
}

impl<'c> RequestParts<'c> {
    fn add(&mut self, bytes: &[u8]) {
        self.last.extend_from_slice(bytes);
    }

    fn add_body(&mut self, body: &'c [u8]) {
        if body.len() <= MAX_JOINED_BYTES {
            return self.add(body);
        }
        self.complete.push(Cow::Owned(std::mem::take(&mut self.last)));
        self.complete.push(Cow::Borrowed(body));
    }

    fn finish(mut self) -> Vec<Cow<'c, [u8]>> {
        if !self.last.is_empty() {
            self.complete.push(Cow::Owned(self.last));
        }
        self.complete
    }
}

/// The parts of the request of a call: a single message is the body itself, several messages are a batch in which each
/// follows a line with its request id, its idempotency key (`-` if it has none) and its length in bytes.
pub(super) fn parts(call: &Call, now: Micros) -> Vec<Cow<'_, [u8]>> {
    let deadline_ms = (call.last_timeout().saturating_sub(now) / 1000).max(1);
    match call.attempts.as_slice() {
        [attempt] => single_parts(attempt, deadline_ms),
        attempts => batch_parts(attempts, deadline_ms),
    }
}

fn single_parts(attempt: &Attempt, deadline_ms: Micros) -> Vec<Cow<'_, [u8]>> {
    let request = &attempt.message.request;
    let mut head = String::from("POST /v1/messages HTTP/1.1\r\n");
    head.push_str(&format!("X-Request-Id: {}\r\n", request.request_id));
    if let Some(key) = &request.key {
        head.push_str(&format!("Idempotency-Key: {key}\r\n"));
    }
    head.push_str(&common_headers(deadline_ms, request.body.len()));
    let mut parts = RequestParts::default();
    parts.add(head.as_bytes());
    parts.add_body(&request.body);
    parts.finish()
}

fn batch_parts(attempts: &[Attempt], deadline_ms: Micros) -> Vec<Cow<'_, [u8]>> {
    let lines: Vec<String> = attempts.iter().map(batch_line).collect();
    let sizes = attempts.iter().zip(&lines);
    let length =
        sizes.map(|(attempt, line)| line.len() + attempt.message.request.body.len() + CRLF.len()).sum();
    let mut parts = RequestParts::default();
    parts.add(b"POST /v1/messages:batch HTTP/1.1\r\n");
    parts.add(common_headers(deadline_ms, length).as_bytes());
    for (attempt, line) in attempts.iter().zip(&lines) {
        parts.add(line.as_bytes());
        parts.add_body(&attempt.message.request.body);
        parts.add(CRLF);
    }
    parts.finish()
}

fn batch_line(attempt: &Attempt) -> String {
    let request = &attempt.message.request;
    let key = request.key.as_deref().unwrap_or("-");
    format!("{} {key} {}\r\n", request.request_id, request.body.len())
}

fn common_headers(deadline_ms: Micros, length: usize) -> String {
    format!("Host: endpoint\r\nX-Deadline: {deadline_ms}m\r\nContent-Length: {length}\r\n\r\n")
}
