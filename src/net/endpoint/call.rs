//! A call in flight: it ends with a response, a failure, a timeout or a cancellation. Before the delivery actor
//! receives the completion, the call's connection is returned to the pool, closed, or left to
//! [`late_response`], which only reads from it. Only attempts that expire while the call goes on for the others are
//! reported earlier.

use super::connection_end::{CallFailure, ConnectionEnd};
use super::exchange::{exchange, CallEnd, Progress, Stage};
use super::late_response;
use super::response::{self, Response};
use crate::invariants::SendRefusal;
use crate::net::call::{AttemptResult, Call, CallResult};
use crate::net::http::{HttpConnection, HttpError};
use crate::net::messages::{DeliveryMessage, EndpointMessage};
use crate::net::Context;
use crate::{Micros, Outcome};
use async_channel::Sender;
use async_io::Timer;
use futures_lite::future;
use std::future::Future;
use std::pin::pin;
use std::rc::Rc;

/// Makes a call and sends its completion to the delivery actor. `idle` is a connection to reuse; `None` if a new one
/// must be made. `return_to` is the mailbox of the endpoint's actor, to which a reusable connection is returned;
/// `None` if the endpoint was removed, so that the connection is closed instead.
pub(super) async fn run(
    context: Rc<Context>,
    call: Call,
    idle: Option<HttpConnection>,
    return_to: Option<Sender<EndpointMessage>>,
) {
    let _in_flight = context.gauges.calls_in_flight.increment_scoped();
    let mut unreported_attempts = vec![true; call.attempts.len()];
    let mut result = perform_call(&context, &call, idle, return_to, &mut unreported_attempts).await;
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
    idle: Option<HttpConnection>,
    return_to: Option<Sender<EndpointMessage>>,
    unreported_attempts: &mut [bool],
) -> CallResult {
    let progress = Progress::default();
    let reused = idle.is_some();
    let mut connection = idle;
    let exchange = async {
        match exchange(context, call, &mut connection, &progress).await {
            Ok(response) => CallEnd::Response(response),
            Err(end) => end,
        }
    };
    let end = until_end(context, call, exchange, &progress, unreported_attempts).await;
    if reused && matches!(progress.stage.get(), Stage::Writing | Stage::Written) {
        context.counters.connections_reused.increment();
    }
    let ended = EndedCall { context, call, progress, reused };
    let failure = match end {
        CallEnd::Response(response) => return ended.response_result(&response, connection, return_to).await,
        CallEnd::NotSent(refusal) => return ended.refusal_result(refusal, connection, return_to).await,
        CallEnd::ConnectionFailed(error) => ended.classify_failure(&error, connection.as_ref()),
        CallEnd::TimedOut if ended.is_written() => CallFailure::TimedOut,
        CallEnd::TimedOut => CallFailure::TimedOutBeforeSent,
        CallEnd::Cancelled if ended.is_written() => CallFailure::Cancelled,
        CallEnd::Cancelled => CallFailure::CancelledBeforeSent,
    };
    ended.failure_result(failure, connection)
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
        if !matches!(end, CallEnd::TimedOut) || progress.stage.get() != Stage::Written {
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
    reused: bool,
}

impl EndedCall<'_> {
    /// Reads the results from a response. The connection is returned to the pool if it can be reused, and closed
    /// otherwise.
    async fn response_result(
        &self,
        response: &Response,
        connection: Option<HttpConnection>,
        return_to: Option<Sender<EndpointMessage>>,
    ) -> CallResult {
        let retry_after = self.progress.retry_after.get();
        let result = response::read_result(&self.context.log, self.call, response, retry_after, self.reused);
        let connection_limit_reached =
            result.attempts.iter().any(|attempt| attempt.outcome == Outcome::ConnectFailed);
        match (connection, return_to) {
            (Some(connection), Some(return_to))
                if response.head.keep_alive && connection.buffer.bytes().is_empty() =>
            {
                return_to_pool(connection, &return_to).await
            }
            _ if connection_limit_reached => self.log_connection_end(ConnectionEnd::ConnectionLimit),
            _ => self.log_connection_end(ConnectionEnd::Response),
        }
        result
    }

    /// The result of a call that failed the check before its first byte. Nothing was written, so the connection can
    /// still be reused.
    async fn refusal_result(
        &self,
        refusal: SendRefusal,
        connection: Option<HttpConnection>,
        return_to: Option<Sender<EndpointMessage>>,
    ) -> CallResult {
        if let (Some(connection), Some(return_to)) = (connection, return_to) {
            return_to_pool(connection, &return_to).await;
        }
        let outcome = match refusal {
            SendRefusal::JournalFailing => Outcome::NotJournaled,
            _ => Outcome::NotSent,
        };
        CallResult::same_for_all(self.call.attempts.len(), AttemptResult::from_outcome(outcome))
    }

    fn classify_failure(&self, error: &HttpError, connection: Option<&HttpConnection>) -> CallFailure {
        if !self.is_written() {
            return CallFailure::ConnectFailed;
        }
        CallFailure::from_connection_error(error, self.unanswered_since_written(connection))
    }

    /// The result of a call without a complete response. Its connection is closed, or kept for at most 500 ms to read
    /// a late response. In both cases its end is logged now.
    fn failure_result(&self, failure: CallFailure, connection: Option<HttpConnection>) -> CallResult {
        let delivered = self.is_delivered(connection.as_ref());
        let abandoned = matches!(failure, CallFailure::TimedOut | CallFailure::Cancelled);
        let unanswered = self.progress.status.get().is_none();
        if let Some(connection) = connection.filter(|_| abandoned && unanswered) {
            late_response::read_in_background(self.context, self.call.endpoint, connection);
        }
        self.log_connection_end(ConnectionEnd::CallFailed(failure));
        let outcome = if delivered { Outcome::Ok } else { failure.outcome() };
        CallResult {
            retry_after: self.progress.retry_after.get(),
            ..CallResult::same_for_all(self.call.attempts.len(), AttemptResult::from_outcome(outcome))
        }
    }

    fn is_written(&self) -> bool {
        self.progress.stage.get() == Stage::Written
    }

    /// Whether the message of a call was delivered although its response is not complete: for a single message the
    /// status line with 200 is enough.
    fn is_delivered(&self, connection: Option<&HttpConnection>) -> bool {
        let is_single_message = self.call.attempts.len() == 1;
        is_single_message
            && (self.progress.status.get() == Some(200) || connection.is_some_and(response::starts_with_ok))
    }

    /// The time since the request was written, in microseconds; `None` if the connection was new or any byte of a
    /// response was received.
    fn unanswered_since_written(&self, connection: Option<&HttpConnection>) -> Option<Micros> {
        let written_at = self.progress.written_at.get()?;
        let unanswered = self.progress.status.get().is_none()
            && connection.is_none_or(|connection| connection.buffer.bytes().is_empty());
        (self.reused && unanswered).then(|| self.context.clock.now() - written_at)
    }

    fn log_connection_end(&self, reason: ConnectionEnd) {
        reason.log(&self.context.log, self.call.endpoint);
    }
}

async fn return_to_pool(connection: HttpConnection, return_to: &Sender<EndpointMessage>) {
    // Sending fails if the endpoint's actor has ended; the connection is then closed.
    let _ = return_to.send(EndpointMessage::ReturnConnection(connection)).await;
}
