//! Reads an endpoint's response: the result of each attempt, the load report and the retry-after.

use crate::memory::MemoryPermit;
use crate::net::call::{AttemptResult, Call, CallResult};
use crate::net::http::ResponseHead;
use crate::{LoadReport, Micros, Outcome};
use slog::{warn, Logger};
use std::ops::RangeInclusive;
use std::time::Duration;

/// The longest pause within a response. After a longer one the response has failed: its call must not occupy a slot
/// until its timeout, and its connection cannot be reused.
pub(super) const RESPONSE_STALL_TIMEOUT: Duration = Duration::from_millis(500);

/// The largest body of a response, in bytes.
pub(super) const MAX_RESPONSE_BYTES: usize = 64 * 1024;

/// The highest rate limit that a load report may contain, in calls per second. No endpoint accepts more, so a higher
/// one is an error of the endpoint.
const MAX_RATE_PER_S: f64 = 1e6;
/// Longer retry-afters are reduced to this, 115 days in milliseconds, so that adding them to the clock cannot overflow.
const MAX_RETRY_AFTER_MS: f64 = 1e10;

/// A response that was received completely.
pub(super) struct Response {
    pub head: ResponseHead,
    pub body: Vec<u8>,
    /// The memory that the body holds; `None` if it is not bounded.
    pub memory: Option<MemoryPermit>,
}

impl Response {
    /// Drops the body, which says nothing about the messages of a call.
    pub fn drop_body(&mut self) {
        (self.body, self.memory) = (Vec::new(), None);
    }
}

/// The retry-after in the head of a response, in microseconds. Values that are not finite or not positive are ignored.
pub(super) fn parse_retry_after(head: &ResponseHead) -> Option<Micros> {
    let wait_ms = head.headers.get("X-RateLimit-Wait-Ms").and_then(|text| text.parse::<f64>().ok());
    let wait_ms = wait_ms.filter(|wait_ms| wait_ms.is_finite() && *wait_ms > 0.0);
    wait_ms.map(|wait_ms| (wait_ms.min(MAX_RETRY_AFTER_MS) * 1000.0) as Micros)
}

/// Reads the result of each attempt of a call from its response. `reused`: the call was sent on a reused connection.
pub(super) fn read_result(
    log: &Logger,
    call: &Call,
    response: &Response,
    retry_after: Option<Micros>,
    reused: bool,
) -> CallResult {
    let report = response.head.headers.get("X-Load").and_then(parse_load_report);
    let status_result = match response.head.status {
        200 if call.attempts.len() > 1 => None,
        _ => Some(result_of_status(log, call, &response.head, retry_after, reused)),
    };
    let body = String::from_utf8_lossy(&response.body);
    let results = call.attempts.iter().map(|attempt| {
        let request_id = &attempt.message.request.request_id;
        status_result.unwrap_or_else(|| result_in_batch(&body, request_id, retry_after))
    });
    CallResult { attempts: results.collect(), report, retry_after, unconfirmed: false }
}

/// The result that the status code gives to all attempts of a call. For a batch with status 200 the body has the
/// results.
fn result_of_status(
    log: &Logger,
    call: &Call,
    head: &ResponseHead,
    retry_after: Option<Micros>,
    reused: bool,
) -> AttemptResult {
    match head.status {
        200 => AttemptResult::from_outcome(Outcome::Ok),
        503 if head.headers.get("X-Over-Slots").is_some_and(|value| value != "0") => not_run(false),
        // The endpoint has too many connections, so it closes the new one. An endpoint that lacks capacity for the
        // call keeps it open.
        503 if !reused && !head.keep_alive && retry_after.is_none() => {
            AttemptResult::from_outcome(Outcome::ConnectFailed)
        }
        429 | 503 => AttemptResult::from_outcome(Outcome::Rejected(retry_after)),
        504 => not_run(false),
        410 => not_run(true),
        400 | 413 => {
            warn!(log, "endpoint rejected the request as invalid"; "endpoint" => call.endpoint.0,
                "status" => head.status);
            not_run(false)
        }
        _ => AttemptResult::from_outcome(Outcome::Error),
    }
}

/// The result of one attempt of a batch. If the body of the response does not name its message, it may have run.
fn result_in_batch(body: &str, request_id: &str, retry_after: Option<Micros>) -> AttemptResult {
    match find_batch_result(body, request_id) {
        Some(AttemptResult { outcome: Outcome::Rejected(_), .. }) => {
            AttemptResult::from_outcome(Outcome::Rejected(retry_after))
        }
        result => result.unwrap_or(AttemptResult::from_outcome(Outcome::Error)),
    }
}

/// The result of one attempt, as the body of a batch's response names it, without a retry-after; `None` if it does not.
pub(super) fn find_batch_result(body: &str, request_id: &str) -> Option<AttemptResult> {
    let mut lines = body.lines().filter_map(|line| line.trim().split_once(' '));
    let (_, result) = lines.find(|(id, _)| *id == request_id)?;
    Some(match result {
        "delivered" => AttemptResult::from_outcome(Outcome::Ok),
        "refused" => AttemptResult::from_outcome(Outcome::Rejected(None)),
        "over" => not_run(true),
        "spent" => not_run(false),
        // Any other result: the message may have run.
        _ => AttemptResult::from_outcome(Outcome::Error),
    })
}

/// The result of an attempt that the endpoint did not run. `completes_message`: the message has expired and must
/// not be sent again.
fn not_run(completes_message: bool) -> AttemptResult {
    AttemptResult { outcome: Outcome::NotSent, completes_message }
}

/// Parses a load report (`x0`: the share of the quota that is left, `x1`: the rate limit in calls per second).
/// Returns `None` if a value is missing or out of range, so that the policy ignores a malformed report.
pub fn parse_load_report(text: &str) -> Option<LoadReport> {
    let value = |name: &str, range: RangeInclusive<f64>| {
        let mut pairs = text.split(',').filter_map(|pair| pair.trim().split_once('='));
        let value = pairs.find(|(key, _)| *key == name)?.1.parse::<f64>().ok()?;
        range.contains(&value).then_some(value)
    };
    Some(LoadReport { remaining_share: value("x0", 0.0..=1.0)?, rate: value("x1", 0.0..=MAX_RATE_PER_S)? })
}
