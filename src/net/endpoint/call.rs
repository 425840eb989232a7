//! A call in flight: it ends with a response, a failure, a timeout or a cancellation. Before the delivery actor
//! receives the completion, the call's connection is returned to the pool, closed, or left to
//! [`late_response`], which only reads from it. Only attempts that expire while the call goes on for the others are
//! reported earlier, and a response that may be a copy of an earlier one is announced earlier.

use super::confirmation;
use super::connection::EndpointConnection;
use super::connection_end::{CallFailure, ConnectionEnd};
use super::exchange::{self, CallEnd, Progress, Stage};
use super::late_response;
use super::received::OwnResponse;
use super::response;
use crate::invariants::{Attribution, ResponseTimes, SendRefusal};
use crate::net::call::{AttemptResult, Call, CallResult};
use crate::net::messages::{DeliveryMessage, EndedCallReport, EndpointMessage};
use crate::net::stray_response::{StrayPlace, StrayResponse};
use crate::net::Context;
use crate::{Micros, Outcome};
use async_channel::Sender;
use async_io::Timer;
use futures_lite::future;
use std::future::Future;
use std::pin::pin;
use std::rc::Rc;

/// What the actor of the endpoint gives to a call.
pub(super) struct CallSetup {
    /// A connection to reuse; `None` if a new one must be made.
    pub idle: Option<EndpointConnection>,
    /// How long the endpoint usually takes for a response.
    pub times: ResponseTimes,
    /// The mailbox of the actor, to which the call reports its end; `None` if the endpoint was removed, so that the
    /// connection is closed instead of returned.
    pub return_to: Option<Sender<EndpointMessage>>,
}

/// Makes a call and sends its completion to the delivery actor.
pub(super) async fn run(context: Rc<Context>, call: Call, setup: CallSetup) {
    let _in_flight = context.gauges.calls_in_flight.increment_scoped();
    let mut unreported_attempts = vec![true; call.attempts.len()];
    let mut result = perform_call(&context, &call, setup, &mut unreported_attempts).await;
    if let Some(retry_after) = result.retry_after {
        context.endpoint_table.record_retry_after(call.endpoint, retry_after);
    }
    let unreported_indices: Vec<usize> =
        (0..call.attempts.len()).filter(|index| unreported_attempts[*index]).collect();
    result.attempts = unreported_indices.iter().map(|index| result.attempts[*index]).collect();
    let call = call.with_attempts(&unreported_indices);
    // Sent only now that no byte of this call's request can be written any more, because a further attempt of its
    // messages may start as soon as the completion is received.
    send_completion(&context, &call, result).await;
}

async fn send_completion(context: &Context, call: &Call, result: CallResult) {
    // Sending fails only as the process ends, with no delivery actor left to notify.
    let _ = context.delivery.send(DeliveryMessage::CallCompleted(call.completion(result))).await;
}

async fn perform_call(
    context: &Rc<Context>,
    call: &Call,
    setup: CallSetup,
    unreported_attempts: &mut [bool],
) -> CallResult {
    let CallSetup { idle, times, return_to } = setup;
    let progress = Progress::new(call, times);
    let mut connection = idle;
    let end = until_end(
        context,
        call,
        exchange(context, call, &mut connection, &progress, return_to.as_ref()),
        &progress,
        unreported_attempts,
    )
    .await;
    if progress.reused.get() {
        context.counters.connections_reused.increment();
    }
    EndedCall { context, call, progress, return_to }.conclude(end, connection).await
}

/// Sends a call and receives its response.
async fn exchange(
    context: &Context,
    call: &Call,
    connection_slot: &mut Option<EndpointConnection>,
    progress: &Progress,
    endpoint_mailbox: Option<&Sender<EndpointMessage>>,
) -> CallEnd {
    let connection = match exchange::send(context, call, connection_slot, progress).await {
        Ok(connection) => connection,
        Err(end) => return end,
    };
    let received = confirmation::receive(context, call, connection, progress, endpoint_mailbox).await;
    received.unwrap_or_else(CallEnd::from)
}

/// Waits for the end of a call. Attempts that time out at their message's deadline, before the others of the call,
/// are reported to the delivery actor meanwhile. `unreported_attempts` tells for each attempt of the call whether its
/// result is still to be reported.
async fn until_end(
    context: &Context,
    call: &Call,
    exchange: impl Future<Output = CallEnd>,
    progress: &Progress,
    unreported_attempts: &mut [bool],
) -> CallEnd {
    let clock = context.clock;
    let mut exchange = pin!(exchange);
    loop {
        let timeout = async {
            Timer::at(clock.instant_at(call.first_timeout(unreported_attempts))).await;
            CallEnd::TimedOut
        };
        let cancellation = async {
            // Nothing is ever sent on this channel: closing it cancels the call.
            let _ = call.cancelled.recv().await;
            CallEnd::Cancelled
        };
        let end = future::or(exchange.as_mut(), future::or(timeout, cancellation)).await;
        let is_answered = matches!(progress.attribution(), Attribution::Probable(_));
        if !matches!(end, CallEnd::TimedOut) || progress.stage.get() != Stage::Written || is_answered {
            return end;
        }
        let Some(expired) = call.expired_attempts(clock.now(), unreported_attempts) else { return end };
        expired.iter().for_each(|index| unreported_attempts[*index] = false);
        let result = CallResult::same_for_all(expired.len(), AttemptResult::from_outcome(Outcome::TimedOut));
        send_completion(context, &call.with_attempts(&expired), result).await;
    }
}

/// A call that has ended, with the progress that it had made.
struct EndedCall<'a> {
    context: &'a Rc<Context>,
    call: &'a Call,
    progress: Progress,
    /// The mailbox of the endpoint's actor; `None` if the endpoint was removed.
    return_to: Option<Sender<EndpointMessage>>,
}

impl EndedCall<'_> {
    /// Returns or closes the connection, reports the end to the endpoint's actor, and returns the result of the call.
    async fn conclude(&self, end: CallEnd, connection: Option<EndpointConnection>) -> CallResult {
        let found_stray = self.record_strays() || self.progress.found_stray.get();
        let is_followed = self.record_unread_stray(connection.as_ref());
        let response_time = self.progress.received.borrow().own().map(|own| own.time());
        let (result, reusable) = match end {
            CallEnd::NotSent(refusal) => (self.refusal_result(refusal), connection),
            end => match self.response_result(&end) {
                Some(result) => {
                    let reusable = self.reusable(&end, connection, &result, is_followed);
                    (result, reusable)
                }
                None => (self.failure_result(self.classify(&end, connection.as_ref()), connection), None),
            },
        };
        if let Some(return_to) = &self.return_to {
            let report = EndedCallReport { connection: reusable, response_time, found_stray };
            // Sending fails if the endpoint's actor has ended; the connection is then closed.
            let _ = return_to.send(EndpointMessage::CallEnded(report)).await;
        }
        result
    }

    /// The result of a call whose own response was received completely; `None` if it was not.
    fn response_result(&self, end: &CallEnd) -> Option<CallResult> {
        if matches!(end, CallEnd::Unattributed) {
            return None;
        }
        let received = self.progress.received.borrow();
        let response = received.own()?.response?;
        let (log, retry_after) = (&self.context.log, received.retry_after());
        Some(response::read_result(log, self.call, response, retry_after, self.progress.reused.get()))
    }

    /// The connection after a response, if it can be reused; logs its end otherwise.
    fn reusable(
        &self,
        end: &CallEnd,
        connection: Option<EndpointConnection>,
        result: &CallResult,
        is_followed_by_stray: bool,
    ) -> Option<EndpointConnection> {
        let received = self.progress.received.borrow();
        let own = received.own()?;
        let has_unread = connection.as_ref().is_some_and(|c| !c.http.buffer.bytes().is_empty());
        let keep_alive = own.response.is_some_and(|response| response.head.keep_alive);
        let rejected_connection =
            result.attempts.iter().any(|attempt| attempt.outcome == Outcome::ConnectFailed);
        let reason = if received.has_strays() || is_followed_by_stray {
            ConnectionEnd::StrayResponse
        } else if rejected_connection {
            ConnectionEnd::ConnectionLimit
        } else if !keep_alive || has_unread || self.return_to.is_none() {
            ConnectionEnd::Response
        } else if !matches!(end, CallEnd::Responded) || !self.is_certain(&own) {
            ConnectionEnd::UnprovenResponse
        } else {
            return connection;
        };
        self.log_connection_end(reason);
        None
    }

    /// Whether no further response is to come on the connection as far as can be told. If the message is sent again, it
    /// must not have two calls out, so a refusal has to be proven, or have come when it could be expected.
    fn is_certain(&self, own: &OwnResponse<'_>) -> bool {
        own.is_proven || own.status == 200 || self.progress.is_expected(own)
    }

    /// The result of a call that failed the check before its first byte.
    fn refusal_result(&self, refusal: SendRefusal) -> CallResult {
        let outcome = match refusal {
            SendRefusal::JournalFailing => Outcome::NotJournaled,
            _ => Outcome::NotSent,
        };
        CallResult::same_for_all(self.call.attempts.len(), AttemptResult::from_outcome(outcome))
    }

    fn classify(&self, end: &CallEnd, connection: Option<&EndpointConnection>) -> CallFailure {
        match end {
            CallEnd::ConnectionFailed(error) if self.is_written() => {
                CallFailure::from_connection_error(error, self.unanswered_since_written(connection))
            }
            CallEnd::ConnectionFailed(_) => CallFailure::ConnectFailed,
            CallEnd::TimedOut if !self.is_written() => CallFailure::TimedOutBeforeSent,
            CallEnd::Cancelled if self.is_written() => CallFailure::Cancelled,
            CallEnd::Cancelled => CallFailure::CancelledBeforeSent,
            CallEnd::Unattributed => CallFailure::UnattributedResponse,
            CallEnd::TimedOut | CallEnd::Responded | CallEnd::NotSent(_) => CallFailure::TimedOut,
        }
    }

    /// The result of a call without a complete response of its own. Its connection is closed, or kept for at most 500 ms
    /// to read a late response. In both cases its end is logged now.
    fn failure_result(&self, failure: CallFailure, connection: Option<EndpointConnection>) -> CallResult {
        let delivered =
            failure != CallFailure::UnattributedResponse && self.is_delivered(connection.as_ref());
        let abandoned = matches!(failure, CallFailure::TimedOut | CallFailure::Cancelled);
        let unanswered = self.progress.received.borrow().own().is_none();
        if let Some(connection) = connection.filter(|_| abandoned && unanswered) {
            late_response::read_in_background(self.context, self.call.endpoint, connection.http);
        }
        self.log_connection_end(ConnectionEnd::CallFailed(failure));
        let outcome = if delivered { Outcome::Ok } else { failure.outcome() };
        CallResult {
            retry_after: self.progress.received.borrow().retry_after(),
            ..CallResult::same_for_all(self.call.attempts.len(), AttemptResult::from_outcome(outcome))
        }
    }

    fn is_written(&self) -> bool {
        self.progress.stage.get() == Stage::Written
    }

    /// Whether the message of a call was delivered although its response is not complete: for a single message the
    /// status line with 200 is enough, if it is that of the call's own response.
    fn is_delivered(&self, connection: Option<&EndpointConnection>) -> bool {
        if self.call.attempts.len() > 1 || !self.is_written() {
            return false;
        }
        if self.progress.received.borrow().is_empty() {
            if let Some(status) = connection.and_then(EndpointConnection::unread_status) {
                let elapsed = self.progress.elapsed(self.context.clock.now());
                self.progress.received.borrow_mut().add_status(status, elapsed);
            }
        }
        self.progress.received.borrow().own().is_some_and(|own| own.status == 200)
    }

    /// The time since the request was written, in microseconds; `None` if the connection was new or any byte of a
    /// response was received.
    fn unanswered_since_written(&self, connection: Option<&EndpointConnection>) -> Option<Micros> {
        let written_at = self.progress.written_at.get()?;
        let unanswered = self.progress.received.borrow().is_empty()
            && connection.is_none_or(|connection| connection.http.buffer.bytes().is_empty());
        (self.progress.reused.get() && unanswered).then(|| self.context.clock.now() - written_at)
    }

    /// Records the responses after the request that are not the call's own. Returns whether there was any.
    fn record_strays(&self) -> bool {
        let strays = self.progress.received.borrow().strays();
        for stray in &strays {
            let received_at = self.progress.written_at.get().unwrap_or_default() + stray.elapsed;
            self.stray_response(Some(stray.status), received_at).record(self.context);
        }
        if !strays.is_empty() {
            self.context.counters.connections_given_up.increment();
        }
        !strays.is_empty()
    }

    /// Records a response that was received together with the call's own, behind it. Returns whether there was one.
    fn record_unread_stray(&self, connection: Option<&EndpointConnection>) -> bool {
        let received = self.progress.received.borrow();
        if received.has_strays() || !self.progress.has_complete_response() {
            return false;
        }
        let status = connection.and_then(EndpointConnection::unread_status);
        let is_followed =
            self.stray_response(status, self.context.clock.now()).record_if_response(self.context);
        if is_followed {
            self.context.counters.connections_given_up.increment();
        }
        is_followed
    }

    fn stray_response(&self, status: Option<u16>, received_at: Micros) -> StrayResponse {
        StrayResponse {
            endpoint: Some(self.call.endpoint),
            place: StrayPlace::InCall,
            status,
            received_at,
            previous_response_at: self.progress.previous_response_at.get(),
            request_written_at: self.progress.written_at.get(),
        }
    }

    fn log_connection_end(&self, reason: ConnectionEnd) {
        reason.log(&self.context.log, self.call.endpoint);
    }
}
