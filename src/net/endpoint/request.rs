//! Formats the HTTP request of a call.

use crate::net::call::Call;
use crate::Micros;

/// Formats the request of a call: a single message is the body itself, several messages are a batch in which each
/// follows a line with its request id, its idempotency key (`-` if it has none) and its length in bytes.
pub(super) fn format(call: &Call, now: Micros) -> Vec<u8> {
    let deadline_ms = (call.last_timeout().saturating_sub(now) / 1000).max(1);
    let mut body = Vec::new();
    let mut head = String::new();
    if let [attempt] = call.attempts.as_slice() {
        let request = &attempt.message.request;
        head.push_str("POST /v1/messages HTTP/1.1\r\n");
        head.push_str(&format!("X-Request-Id: {}\r\n", request.request_id));
        if let Some(key) = &request.key {
            head.push_str(&format!("Idempotency-Key: {key}\r\n"));
        }
        body.extend_from_slice(&request.body);
    } else {
        head.push_str("POST /v1/messages:batch HTTP/1.1\r\n");
        for attempt in &call.attempts {
            let request = &attempt.message.request;
            let key = request.key.as_deref().unwrap_or("-");
            let line = format!("{} {key} {}\r\n", request.request_id, request.body.len());
            body.extend_from_slice(line.as_bytes());
            body.extend_from_slice(&request.body);
            body.extend_from_slice(b"\r\n");
        }
    }
    let length = body.len();
    head.push_str(&format!(
        "Host: endpoint\r\nX-Deadline: {deadline_ms}m\r\nContent-Length: {length}\r\n\r\n"
    ));
    let mut bytes = head.into_bytes();
    bytes.append(&mut body);
    bytes
}
