//! A call under way: it ends by its response, a failure, its timeout or a cancellation, and its connection returns to the pool
//! or is closed before the delivery actor learns of the end.

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

/// Makes a call and reports its result to the delivery actor.
pub(super) async fn run(
    context: Rc<Context>,
    call: Call,
    idle: Option<HttpConnection>,
    pool: Option<Sender<EndpointMessage>>,
) {
    let _in_flight = context.gauges.calls_in_flight.count();
    let mut open_attempts = vec![true; call.attempts.len()];
    let mut result = perform(&context, &call, idle, pool, &mut open_attempts).await;
    if let Some(retry_after) = result.retry_after {
        context.endpoint_table.retry_after(call.endpoint, retry_after);
    }
    let unreported: Vec<usize> = (0..call.attempts.len()).filter(|index| open_attempts[*index]).collect();
    result.attempts = unreported.iter().map(|index| result.attempts[*index]).collect();
    let call = call.with(&unreported);
    // Only now, with the connection dropped or idle, may the policy know: its next attempt must not find this one in flight.
    report(&context, &call, result).await;
}

async fn report(context: &Context, call: &Call, result: CallResult) {
    // The delivery actor ends only with the process: nobody is left to notify.
    let _ = context.delivery.send(DeliveryMessage::CallCompleted(call.completed(result))).await;
}

async fn perform(
    context: &Rc<Context>,
    call: &Call,
    idle: Option<HttpConnection>,
    pool: Option<Sender<EndpointMessage>>,
    open_attempts: &mut [bool],
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
    let end = until_end(context, call, exchange, &progress, open_attempts).await;
    if reused && matches!(progress.stage.get(), Stage::Writing | Stage::Written) {
        context.counters.connections_reused.add();
    }
    let ended = EndedCall { context, call, progress, reused };
    let failure = match end {
        CallEnd::Response(response) => return ended.responded(&response, connection, pool).await,
        CallEnd::NotSent(refusal) => return ended.not_sent(refusal, connection, pool).await,
        CallEnd::ConnectionFailed(error) => ended.connection_failed(&error, connection.as_ref()),
        CallEnd::TimedOut if ended.is_written() => CallFailure::TimedOut,
        CallEnd::TimedOut => CallFailure::TimedOutBeforeSent,
        CallEnd::Cancelled if ended.is_written() => CallFailure::Cancelled,
        CallEnd::Cancelled => CallFailure::CancelledBeforeSent,
    };
    ended.failed(failure, connection)
}

/// Waits for the end of a call. Attempts that time out for good before the others are reported meanwhile.
async fn until_end(
    context: &Context,
    call: &Call,
    exchange: impl Future<Output = CallEnd>,
    progress: &Progress,
    open_attempts: &mut [bool],
) -> CallEnd {
    let clock = context.clock;
    let mut exchange = pin!(exchange);
    loop {
        let timed_out = async {
            Timer::at(clock.instant_at(call.first_timeout(open_attempts))).await;
            CallEnd::TimedOut
        };
        let cancelled = async {
            // Nothing is ever sent: the channel is closed to cancel.
            let _ = call.cancelled.recv().await;
            CallEnd::Cancelled
        };
        let end = future::or(exchange.as_mut(), future::or(timed_out, cancelled)).await;
        if !matches!(end, CallEnd::TimedOut) || progress.stage.get() != Stage::Written {
            return end;
        }
        let Some(expired) = call.expired(clock.now(), open_attempts) else { return end };
        expired.iter().for_each(|index| open_attempts[*index] = false);
        let result = CallResult::same_for_all(expired.len(), AttemptResult::of(Outcome::TimedOut));
        report(context, &call.with(&expired), result).await;
    }
}

/// A call that has ended, with how far it had come.
struct EndedCall<'a> {
    context: &'a Rc<Context>,
    call: &'a Call,
    progress: Progress,
    reused: bool,
}

impl EndedCall<'_> {
    /// The results that a response gives; its connection returns to the pool if it can be reused.
    async fn responded(
        &self,
        response: &Response,
        connection: Option<HttpConnection>,
        pool: Option<Sender<EndpointMessage>>,
    ) -> CallResult {
        let retry_after = self.progress.retry_after.get();
        let result = response::read_result(&self.context.log, self.call, response, retry_after, self.reused);
        let refused = result.attempts.iter().any(|attempt| attempt.outcome == Outcome::ConnectFailed);
        match (connection, pool) {
            (Some(connection), Some(pool))
                if response.head.keep_alive && connection.buffer.bytes().is_empty() =>
            {
                return_to_pool(connection, &pool).await
            }
            _ if refused => self.log_closed(ConnectionEnd::ConnectionLimit),
            _ => self.log_closed(ConnectionEnd::Response),
        }
        result
    }

    /// Nothing was sent, so the connection is as good as before.
    async fn not_sent(
        &self,
        refusal: SendRefusal,
        connection: Option<HttpConnection>,
        pool: Option<Sender<EndpointMessage>>,
    ) -> CallResult {
        if let (Some(connection), Some(pool)) = (connection, pool) {
            return_to_pool(connection, &pool).await;
        }
        let outcome = match refusal {
            SendRefusal::JournalFailing => Outcome::NotJournaled,
            _ => Outcome::NotSent,
        };
        CallResult::same_for_all(self.call.attempts.len(), AttemptResult::of(outcome))
    }

    fn connection_failed(&self, error: &HttpError, connection: Option<&HttpConnection>) -> CallFailure {
        if !self.is_written() {
            return CallFailure::ConnectFailed;
        }
        CallFailure::of_connection(error, self.since_written_unanswered(connection))
    }

    /// Closes the connection of a failed call, or reads on for a late response.
    fn failed(&self, failure: CallFailure, connection: Option<HttpConnection>) -> CallResult {
        let delivered = self.is_delivered(connection.as_ref());
        let abandoned = matches!(failure, CallFailure::TimedOut | CallFailure::Cancelled);
        let unanswered = self.progress.status.get().is_none();
        if let Some(connection) = connection.filter(|_| abandoned && unanswered) {
            late_response::read(self.context, self.call.endpoint, connection);
        }
        self.log_closed(ConnectionEnd::CallFailed(failure));
        let outcome = if delivered { Outcome::Ok } else { failure.outcome() };
        CallResult {
            retry_after: self.progress.retry_after.get(),
            ..CallResult::same_for_all(self.call.attempts.len(), AttemptResult::of(outcome))
        }
    }

    fn is_written(&self) -> bool {
        self.progress.stage.get() == Stage::Written
    }

    /// A status line with 200 delivers a single message, whatever becomes of the rest of the response.
    fn is_delivered(&self, connection: Option<&HttpConnection>) -> bool {
        let single = self.call.attempts.len() == 1;
        single
            && (self.progress.status.get() == Some(200) || connection.is_some_and(response::starts_with_ok))
    }

    /// The time since the request was written to a reused connection, if no byte of a response was received.
    fn since_written_unanswered(&self, connection: Option<&HttpConnection>) -> Option<Micros> {
        let written_at = self.progress.written_at.get()?;
        let unanswered = self.progress.status.get().is_none()
            && connection.is_none_or(|connection| connection.buffer.bytes().is_empty());
        (self.reused && unanswered).then(|| self.context.clock.now() - written_at)
    }

    fn log_closed(&self, reason: ConnectionEnd) {
        reason.log(&self.context.log, self.call.endpoint);
    }
}

async fn return_to_pool(connection: HttpConnection, pool: &Sender<EndpointMessage>) {
    // Where the pool is gone, the connection is dropped.
    let _ = pool.send(EndpointMessage::ReturnConnection(connection)).await;
}
