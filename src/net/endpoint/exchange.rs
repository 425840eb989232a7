//! The exchange of a call on its connection: connects, checks whether the call may still be sent, journals its
//! attempts, writes the request and reads the response.

use super::request;
use super::response::{parse_retry_after, Response, RESPONSE_STALL_TIMEOUT};
use crate::invariants::{may_send, SendFacts, SendPermit, SendRefusal, Violation};
use crate::journal::AttemptStart;
use crate::net::call::Call;
use crate::net::dial::connect_within;
use crate::net::http::{HttpConnection, HttpError};
use crate::net::Context;
use crate::{EndpointId, Micros, ZoneId};
use slog::info;
use std::cell::Cell;
use std::io;
use std::time::Duration;

/// The largest body of a response, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 * 1024;
/// The longest pause in the body of a response whose status line has already confirmed the delivery.
const DELIVERED_BODY_STALL_TIMEOUT: Duration = Duration::from_millis(50);

/// How a call to an endpoint ended: with a response, or why there is none.
pub(super) enum CallEnd {
    /// The complete response was received.
    Response(Response),
    /// The check before the first byte refused to send the call.
    NotSent(SendRefusal),
    /// The connection could not be opened, or failed.
    ConnectionFailed(HttpError),
    /// A timeout expired that ends the call for all of its remaining attempts.
    TimedOut,
    /// The delivery actor cancelled the call.
    Cancelled,
}

impl From<HttpError> for CallEnd {
    fn from(error: HttpError) -> Self {
        CallEnd::ConnectionFailed(error)
    }
}

/// The stage that an exchange has reached.
#[derive(Clone, Copy, Default, PartialEq)]
pub(super) enum Stage {
    /// The connection is being opened, or the checks before the first byte are not complete.
    #[default]
    Connecting,
    /// The check before the first byte refused to send the call.
    NotSent,
    /// The request is being written.
    Writing,
    /// The request was written completely.
    Written,
}

/// What an exchange has done so far; it is read when the exchange is interrupted by a timeout, a failure or a
/// cancellation.
#[derive(Default)]
pub(super) struct Progress {
    pub stage: Cell<Stage>,
    /// When the request was written completely, in microseconds of the monotonic clock.
    pub written_at: Cell<Option<Micros>>,
    /// The status code of the response; `None` until its head was read.
    pub status: Cell<Option<u16>>,
    /// The retry-after in the head of the response, in microseconds.
    pub retry_after: Cell<Option<Micros>>,
}

/// Makes a call on the connection in `connection_slot`, or on a new one that is put there.
pub(super) async fn exchange(
    context: &Context,
    call: &Call,
    connection_slot: &mut Option<HttpConnection>,
    progress: &Progress,
) -> Result<Response, CallEnd> {
    let connection = match connection_slot {
        Some(idle) => idle,
        None => connection_slot.insert(connect(context, call.endpoint).await?),
    };
    connection.stall_timeout = Some(RESPONSE_STALL_TIMEOUT);
    context.endpoint_list.until_calls_allowed().await;
    context.stall_detector.until_calls_allowed(&context.clock).await;
    check_sendable(context, call, progress)?;
    let zone = context.endpoint_table.get(call.endpoint).map(|state| state.zone);
    journal_attempts(context, call, zone, progress)?;
    // Checked again, because the facts may have changed while the attempts were written to the journal.
    let permit = check_sendable(context, call, progress)?;
    progress.stage.set(Stage::Writing);
    record_first_byte(context, call, zone.unwrap_or_default());
    let bytes = request::format(call, context.clock.now());
    write_request(connection, permit, &bytes).await.map_err(HttpError::Socket)?;
    progress.stage.set(Stage::Written);
    progress.written_at.set(Some(context.clock.now()));
    read_response(connection, call, progress).await
}

async fn connect(context: &Context, endpoint: EndpointId) -> Result<HttpConnection, HttpError> {
    let Some(state) = context.endpoint_table.get(endpoint) else {
        return Err(HttpError::Malformed("unknown endpoint"));
    };
    context.counters.connections_opened.increment();
    let timeout = Duration::from_micros(context.config().dial_timeout);
    Ok(HttpConnection::new(connect_within(state.address, timeout).await?))
}

/// Checks whether the first byte may be written now. A refusal is counted and logged.
fn check_sendable(context: &Context, call: &Call, progress: &Progress) -> Result<SendPermit, CallEnd> {
    let facts = SendFacts {
        now: context.clock.now(),
        message_complete: call.attempts.iter().any(|attempt| attempt.message.is_ended()),
        handed_over: context.journal.is_paused(),
        journal_writable: context.journal.is_writable(),
        times_out_at: call.first_timeout(&vec![true; call.attempts.len()]),
        send_by: call.send_by(),
        drain_grace: context.endpoint_table.drain_grace(),
        endpoint: context.endpoint_table.endpoint_facts(call.endpoint),
    };
    may_send(&facts).map_err(|refusal| not_sent(context, call, progress, refusal))
}

fn journal_attempts(
    context: &Context,
    call: &Call,
    zone: Option<ZoneId>,
    progress: &Progress,
) -> Result<(), CallEnd> {
    let zone_name = zone.map(|zone| context.config().names.zones[zone.0].clone()).unwrap_or_default();
    for attempt in &call.attempts {
        let start = AttemptStart { started_at: call.decided_at, zone: zone_name.clone() };
        if context.journal.record_attempt(attempt.message.id, attempt.number, start).is_err() {
            return Err(not_sent(context, call, progress, SendRefusal::JournalFailing));
        }
    }
    Ok(())
}

/// Counts and logs a call that must not be sent.
fn not_sent(context: &Context, call: &Call, progress: &Progress, refusal: SendRefusal) -> CallEnd {
    for attempt in &call.attempts {
        context.counters.count_not_sent(refusal);
        info!(context.log, "not sent"; "id" => &attempt.message.request.request_id, "attempt" => attempt.number,
            "endpoint" => call.endpoint.0, "reason" => refusal.name());
    }
    progress.stage.set(Stage::NotSent);
    CallEnd::NotSent(refusal)
}

/// Counts and logs a call whose first byte is about to be written, and counts and logs each invariant that it violates.
fn record_first_byte(context: &Context, call: &Call, zone: ZoneId) {
    let now = context.clock.now();
    let table = &context.endpoint_table;
    let facts = table.endpoint_facts(call.endpoint);
    let draining_since = facts.and_then(|facts| facts.draining_since);
    let sent_to_draining = draining_since.is_some_and(|since| now > since + table.drain_grace());
    let sent_within_retry_after =
        facts.and_then(|facts| facts.retry_after_until).is_some_and(|until| now < until);
    for attempt in &call.attempts {
        let request_id = &attempt.message.request.request_id;
        let message_violation =
            context.ledger.borrow_mut().attempt_started(attempt.message.id, attempt.number, now, zone);
        let drain_violation = sent_to_draining.then_some(Violation::SentToDraining);
        let retry_after_violation = sent_within_retry_after.then_some(Violation::SentWithinRetryAfter);
        for violation in [message_violation, drain_violation, retry_after_violation].into_iter().flatten() {
            context.record_violation(violation, request_id, Some(call.endpoint));
        }
        info!(context.log, "message"; "state" => "attempt", "id" => request_id, "attempt" => attempt.number,
            "endpoint" => call.endpoint.0, "left_ms" => attempt.timeout_at.saturating_sub(now) / 1000);
    }
    table.record_first_byte(call.endpoint);
    context.counters.calls.increment();
    context.counters.attempts.add(call.attempts.len());
}

/// Writes a request. No other function writes to an endpoint, so no request is written without a [`SendPermit`].
async fn write_request(connection: &mut HttpConnection, _permit: SendPermit, bytes: &[u8]) -> io::Result<()> {
    connection.write(bytes).await
}

async fn read_response(
    connection: &mut HttpConnection,
    call: &Call,
    progress: &Progress,
) -> Result<Response, CallEnd> {
    let head = connection.read_response().await?;
    progress.status.set(Some(head.status));
    // The retry-after must be honored even if the body cannot be read.
    progress.retry_after.set(parse_retry_after(&head));
    if head.status == 200 && call.attempts.len() == 1 {
        // The message is delivered. The body only decides whether the connection can be reused.
        connection.stall_timeout = Some(DELIVERED_BODY_STALL_TIMEOUT);
    }
    let body = connection.response_body(&head, MAX_RESPONSE_BYTES).await?;
    Ok(Response { head, body })
}
