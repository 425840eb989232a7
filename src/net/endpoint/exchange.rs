//! The sending half of a call: takes or opens a connection, checks whether the call may still be sent, journals its
//! attempts and writes the request.

use super::connection::EndpointConnection;
use super::connection_end::ConnectionEnd;
use super::observation::observe_in_background;
use super::received::ReceivedResponses;
use super::request;
use super::unconfirmed::{RequestTiming, UnconfirmedCalls};
use crate::invariants::{may_send, CloseReason, SendFacts, SendPermit, SendRefusal, Violation};
use crate::journal::AttemptStart;
use crate::memory::MemoryUser;
use crate::net::call::Call;
use crate::net::dial::connect_within;
use crate::net::http::{HttpConnection, HttpError};
use crate::net::response_memory::ResponseMemory;
use crate::net::stray_response::{StrayPlace, StrayResponse};
use crate::net::Context;
use crate::{EndpointId, Micros, ZoneId};
use slog::info;
use std::borrow::Cow;
use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;
use std::time::Duration;

/// How a call to an endpoint ended.
pub(super) enum CallEnd {
    /// It is known which response is the call's own.
    Responded,
    /// A response arrived that is probably the call's own, but may be a copy of an earlier one.
    Unconfirmed,
    /// Responses arrived, and it cannot be told which of them is the call's own, if any.
    Unattributed,
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
    /// Whether the request was written on a connection from the pool.
    pub reused: Cell<bool>,
    /// When the response to the call before was received on the connection, in microseconds of the monotonic clock;
    /// `None` on a new connection.
    pub previous_response_at: Cell<Option<Micros>>,
    /// When the request was written completely, in microseconds of the monotonic clock.
    pub written_at: Cell<Option<Micros>>,
    /// The responses that arrived after the request.
    pub received: RefCell<ReceivedResponses>,
    /// The calls before this one on the connection whose responses may be copies.
    pub unconfirmed: RefCell<UnconfirmedCalls>,
    /// Whether a stray response was found on the connection before the request.
    pub found_stray: Cell<bool>,
}

impl Progress {
    /// The time since the request was written, in microseconds.
    pub fn elapsed(&self, now: Micros) -> Micros {
        now.saturating_sub(self.written_at.get().unwrap_or(now))
    }

    /// Whether the call's own response is known and complete.
    pub fn has_complete_response(&self) -> bool {
        self.received.borrow().own().is_some_and(|own| own.response.is_some())
    }

    /// When the request was written; `None` if it was not written completely.
    pub fn request_timing(&self) -> Option<RequestTiming> {
        let previous_response_at = self.previous_response_at.get();
        self.written_at.get().map(|written_at| RequestTiming { written_at, previous_response_at })
    }

    /// Records that the request is about to be written on this connection.
    fn begin_writing(&self, connection: &mut EndpointConnection, reused: bool) {
        self.stage.set(Stage::Writing);
        self.reused.set(reused);
        self.previous_response_at.set(connection.last_response_at);
        self.received.replace(ReceivedResponses::new(connection.earlier_responses()));
        self.unconfirmed.replace(std::mem::take(&mut connection.unconfirmed));
        connection.calls += 1;
    }
}

/// Writes the request of a call on the connection in `connection_slot`, or on a new one that is put there.
pub(super) async fn send<'c>(
    context: &Rc<Context>,
    call: &Call,
    connection_slot: &'c mut Option<EndpointConnection>,
    progress: &Progress,
) -> Result<&'c mut EndpointConnection, CallEnd> {
    let mut reused = connection_slot.is_some();
    let mut is_journaled = false;
    let permit = loop {
        if connection_slot.is_none() {
            reused = false;
            connection_slot.replace(connect(context, call.endpoint).await?);
        }
        context.endpoint_list.until_calls_allowed().await;
        context.stall_detector.until_calls_allowed(&context.clock).await;
        check_sendable(context, call, progress)?;
        if !is_journaled {
            journal_attempts(context, call, progress)?;
            is_journaled = true;
        }
        // Checked again, because the facts may have changed while the attempts were written to the journal.
        let permit = check_sendable(context, call, progress)?;
        // Nothing was sent on a new connection, so whatever happens to it is the outcome of this call.
        match connection_slot.take_if(|connection| reused && !is_usable(context, call, connection, progress))
        {
            None => break permit,
            Some(given_up) => observe_in_background(context, call.endpoint, given_up, None),
        }
    };
    let connection = connection_slot.as_mut().expect("the loop ends with a connection");
    progress.begin_writing(connection, reused);
    record_first_byte(context, call);
    let parts = request::parts(call, context.clock.now());
    write_request(&mut connection.http, permit, &parts).await.map_err(HttpError::Socket)?;
    progress.stage.set(Stage::Written);
    progress.written_at.set(Some(context.clock.now()));
    Ok(connection)
}

/// Whether the request may be written on a connection. One that the endpoint has closed or written to since it was taken
/// from the pool is given up: what is on it would be read as the response to this call.
fn is_usable(
    context: &Context,
    call: &Call,
    connection: &mut EndpointConnection,
    progress: &Progress,
) -> bool {
    let Some(idle_end) = connection.idle_end() else { return true };
    ConnectionEnd::NotReusable(CloseReason::PeerActivity(idle_end)).log(&context.log, call.endpoint);
    if !connection.unconfirmed.is_empty() {
        // Whatever is on it is read by its observation.
        return false;
    }
    let stray = StrayResponse {
        endpoint: Some(call.endpoint),
        place: StrayPlace::BeforeRequest,
        status: connection.unread_status(),
        received_at: context.clock.now(),
        previous_response_at: connection.last_response_at,
        request_written_at: None,
    };
    if stray.record_if_response(context) {
        progress.found_stray.set(true);
        context.counters.connections_given_up.increment();
    }
    false
}

async fn connect(context: &Context, endpoint: EndpointId) -> Result<EndpointConnection, HttpError> {
    let Some(state) = context.endpoint_table.get(endpoint) else {
        return Err(HttpError::Malformed("unknown endpoint"));
    };
    context.counters.connections_opened.increment();
    let timeout = Duration::from_micros(context.config().dial_timeout);
    let mut connection = HttpConnection::new(connect_within(state.address, timeout).await?);
    connection.response_memory = Some(ResponseMemory::new(&context.memory, MemoryUser::EndpointResponses));
    Ok(EndpointConnection::new(connection))
}

/// Checks whether the first byte may be written now. A refusal is counted and logged.
fn check_sendable(context: &Context, call: &Call, progress: &Progress) -> Result<SendPermit, CallEnd> {
    let facts = SendFacts {
        now: context.clock.now(),
        message_complete: call
            .attempts
            .iter()
            .any(|attempt| attempt.message.is_ended() || attempt.message.is_end_read()),
        handed_over: context.journal.is_paused(),
        journal_writable: context.journal.is_writable(),
        times_out_at: call.first_timeout(&vec![true; call.attempts.len()]),
        send_by: call.send_by(),
        drain_grace: context.endpoint_table.drain_grace(),
        endpoint: context.endpoint_table.endpoint_facts(call.endpoint),
    };
    may_send(&facts).map_err(|refusal| not_sent(context, call, progress, refusal))
}

fn journal_attempts(context: &Context, call: &Call, progress: &Progress) -> Result<(), CallEnd> {
    let zone_name =
        zone_of(context, call).map(|zone| context.config().names.zones[zone.0].clone()).unwrap_or_default();
    for attempt in &call.attempts {
        let start = AttemptStart { started_at: call.decided_at, zone: zone_name.clone() };
        if context.journal.record_attempt(attempt.message.id, attempt.number, start).is_err() {
            return Err(not_sent(context, call, progress, SendRefusal::JournalFailing));
        }
    }
    Ok(())
}

/// The zone of the call's endpoint; `None` if the endpoint list no longer contains it.
fn zone_of(context: &Context, call: &Call) -> Option<ZoneId> {
    context.endpoint_table.get(call.endpoint).map(|state| state.zone)
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
fn record_first_byte(context: &Context, call: &Call) {
    let zone = zone_of(context, call).unwrap_or_default();
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
            "endpoint" => call.endpoint.0, "left_ms" => attempt.timeout_at.saturating_sub(now) / 1000,
            "after" => attempt.message.last_outcome().map(|outcome| format!("{outcome:?}")));
    }
    table.record_first_byte(call.endpoint);
    context.counters.calls.increment();
    context.counters.attempts.add(call.attempts.len());
}

/// Writes a request. No other function writes to an endpoint, so no request is written without a [`SendPermit`].
async fn write_request(
    connection: &mut HttpConnection,
    _permit: SendPermit,
    parts: &[Cow<'_, [u8]>],
) -> io::Result<()> {
    for part in parts {
        connection.write(part).await?;
    }
    Ok(())
}
