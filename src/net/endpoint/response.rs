//! What a response says: the result of each attempt, the endpoint's load, and the wait that it asks for.

use crate::net::call::{AttemptResult, Call, CallResult};
use crate::net::http::{HttpConnection, ResponseHead};
use crate::{LoadReport, Micros, Outcome};
use slog::{warn, Logger};
use std::ops::RangeInclusive;
use std::time::Duration;

/// A response that has begun and pauses for so long is broken: its call must not take a slot until the timeout, and its
/// connection is of no more use.
pub(super) const RESPONSE_STALL: Duration = Duration::from_millis(500);

/// No endpoint takes more calls a second than that: a reported rate beyond it is an error.
const MAX_RATE_PER_S: f64 = 1e6;
/// A longer wait counts as this one, lest its sum with the clock overflow: 115 days.
const MAX_RETRY_AFTER_MS: f64 = 1e10;

/// A complete response.
pub(super) struct Response {
    pub head: ResponseHead,
    pub body: Vec<u8>,
}

/// The wait that the head of a response asks for.
pub(super) fn read_retry_after(head: &ResponseHead) -> Option<Micros> {
    let wait_ms = head.headers.get("X-RateLimit-Wait-Ms").and_then(|text| text.parse::<f64>().ok());
    let wait_ms = wait_ms.filter(|wait_ms| wait_ms.is_finite() && *wait_ms > 0.0);
    wait_ms.map(|wait_ms| (wait_ms.min(MAX_RETRY_AFTER_MS) * 1000.0) as Micros)
}

/// Whether a response whose head cannot be read has a complete status line that says 200.
pub(super) fn starts_with_ok(connection: &HttpConnection) -> bool {
    let mut lines = connection.buffer.bytes().split_inclusive(|byte| *byte == b'\n');
    let status_line = lines.next().and_then(|line| line.strip_suffix(b"\n")).unwrap_or_default();
    let mut words = status_line.trim_ascii_end().split(|byte| *byte == b' ');
    matches!(words.next(), Some(b"HTTP/1.1" | b"HTTP/1.0")) && words.next() == Some(b"200")
}

/// The results that a response gives.
pub(super) fn read_result(
    log: &Logger,
    call: &Call,
    response: &Response,
    retry_after: Option<Micros>,
    reused: bool,
) -> CallResult {
    let report = response.head.headers.get("X-Load").and_then(read_load);
    let of_status = match response.head.status {
        200 if call.attempts.len() > 1 => None,
        _ => Some(result_of_status(log, call, &response.head, retry_after, reused)),
    };
    let body = String::from_utf8_lossy(&response.body);
    let results = call.attempts.iter().map(|attempt| {
        let request_id = &attempt.message.request.request_id;
        of_status.unwrap_or_else(|| result_in_batch(&body, request_id, retry_after))
    });
    CallResult { attempts: results.collect(), report, retry_after }
}

/// The result of all attempts of a call, but for a batch with status 200.
fn result_of_status(
    log: &Logger,
    call: &Call,
    head: &ResponseHead,
    retry_after: Option<Micros>,
    reused: bool,
) -> AttemptResult {
    match head.status {
        200 => AttemptResult::of(Outcome::Ok),
        503 if head.headers.get("X-Over-Slots").is_some_and(|value| value != "0") => not_run(false),
        // The endpoint has too many connections: it closes a new one, where one that is full keeps it.
        503 if !reused && !head.keep_alive && retry_after.is_none() => {
            AttemptResult::of(Outcome::ConnectFailed)
        }
        429 | 503 => AttemptResult::of(Outcome::Rejected(retry_after)),
        504 => not_run(false),
        410 => not_run(true),
        400 | 413 => {
            warn!(log, "call not understood"; "endpoint" => call.endpoint.0, "status" => head.status);
            not_run(false)
        }
        _ => AttemptResult::of(Outcome::Error),
    }
}

/// The result of one attempt in the body of a batch's response.
fn result_in_batch(body: &str, request_id: &str, retry_after: Option<Micros>) -> AttemptResult {
    let mut lines = body.lines().filter_map(|line| line.trim().split_once(' '));
    match lines.find(|(id, _)| *id == request_id).map(|(_, result)| result) {
        Some("delivered") => AttemptResult::of(Outcome::Ok),
        Some("refused") => AttemptResult::of(Outcome::Rejected(retry_after)),
        Some("over") => not_run(true),
        Some("spent") => not_run(false),
        // Also where the response does not name it: it may have run.
        _ => AttemptResult::of(Outcome::Error),
    }
}

/// The endpoint did not run the message; `ended` if nothing more is owed for it.
fn not_run(ended: bool) -> AttemptResult {
    AttemptResult { outcome: Outcome::NotSent, ended }
}

/// A load report; `None` if its share or rate is out of range, so that no decision rests on it.
pub fn read_load(text: &str) -> Option<LoadReport> {
    let value = |name: &str, range: RangeInclusive<f64>| {
        let mut pairs = text.split(',').filter_map(|pair| pair.trim().split_once('='));
        let value = pairs.find(|(key, _)| *key == name)?.1.parse::<f64>().ok()?;
        range.contains(&value).then_some(value)
    };
    Some(LoadReport { remaining_share: value("x0", 0.0..=1.0)?, rate: value("x1", 0.0..=MAX_RATE_PER_S)? })
}
