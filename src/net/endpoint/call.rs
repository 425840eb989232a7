//! A call in flight: it ends with a response, a failure, a timeout or a cancellation. Before the delivery actor
//! receives the completion, the call's connection is returned to the pool, closed, or left to
//! [`late_response`](super::late_response), which only reads from it. Only attempts that expire while the call goes on for
//! the others are reported earlier. A call that was answered by a response that may be a copy of an earlier one is
//! completed later, by [`unconfirmed`](super::unconfirmed).

use super::connection::EndpointConnection;
use super::ended_call::EndedCall;
use super::exchange::{self, CallEnd, Progress, Stage};
use super::receive;
use crate::invariants::ResponseTimes;
use crate::net::call::{AttemptResult, Call, CallCompletion, CallResult};
use crate::net::messages::{DeliveryMessage, EndSettlement, EndpointMessage};
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

/// Makes a call and sends its completion to the delivery actor, unless it ends unconfirmed.
pub(super) async fn run(context: Rc<Context>, call: Call, setup: CallSetup) {
    let in_flight = context.gauges.calls_in_flight.increment_scoped();
    let CallSetup { idle, times, return_to } = setup;
    let progress = Progress::default();
    let mut unreported_attempts = vec![true; call.attempts.len()];
    let mut connection = idle;
    let exchange = exchange(&context, &call, &mut connection, &progress);
    let end = until_end(&context, &call, exchange, &progress, &mut unreported_attempts).await;
    if progress.reused.get() {
        context.counters.connections_reused.increment();
    }
    let unreported: Vec<usize> =
        (0..call.attempts.len()).filter(|index| unreported_attempts[*index]).collect();
    let ended = EndedCall { context: &context, call: &call, progress, times, return_to, unreported };
    // Sent only now that no byte of this call's request can be written any more, because a further attempt of its
    // messages may start as soon as the completion is received.
    let unconfirmed_result = matches!(end, CallEnd::Unconfirmed).then(|| ended.own_result()).flatten();
    match (connection, unconfirmed_result) {
        (Some(connection), Some(result)) => {
            drop(in_flight);
            ended.conclude_unconfirmed(connection, result).await;
        }
        (connection, _) => send_completion(&context, ended.conclude(end, connection).await).await,
    }
}

/// Sends the completion of a call to the delivery actor. Messages that have ended unconfirmed are settled at once, because
/// nothing more is read on the connection of the call.
pub(super) async fn send_completion(context: &Context, completion: CallCompletion) {
    let unsettled = completion.unconfirmed_messages();
    // Sending fails only as the process ends, with no delivery actor left to notify.
    let _ = context.delivery.send(DeliveryMessage::CallCompleted(completion)).await;
    if !unsettled.is_empty() {
        let (messages, settlement) = (unsettled, EndSettlement::Unsettled);
        let _ = context.delivery.send(DeliveryMessage::EndSettled { messages, settlement }).await;
    }
}

/// Sends a call and receives its response.
async fn exchange(
    context: &Rc<Context>,
    call: &Call,
    connection_slot: &mut Option<EndpointConnection>,
    progress: &Progress,
) -> CallEnd {
    let connection = match exchange::send(context, call, connection_slot, progress).await {
        Ok(connection) => connection,
        Err(end) => return end,
    };
    let received = receive::receive(context, call, connection, progress).await;
    received.unwrap_or_else(CallEnd::from)
}

/// What happens next to a call in flight.
enum Progressed {
    /// The call ends.
    Ended(CallEnd),
    /// The time of an unconfirmed call before it on its connection is over.
    EarlierCallEnds,
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
        let ended = async { Progressed::Ended(exchange.as_mut().await) };
        let timeout = async {
            Timer::at(clock.instant_at(call.first_timeout(unreported_attempts))).await;
            Progressed::Ended(CallEnd::TimedOut)
        };
        let cancellation = async {
            // Nothing is ever sent on this channel: closing it cancels the call.
            let _ = call.cancelled.recv().await;
            Progressed::Ended(CallEnd::Cancelled)
        };
        let earlier_call_ends = until_earlier_call_ends(context, progress);
        let interrupted = future::or(timeout, future::or(cancellation, earlier_call_ends));
        let end = match future::or(ended, interrupted).await {
            Progressed::Ended(end) => end,
            Progressed::EarlierCallEnds => {
                progress.unconfirmed.borrow_mut().end_due(context);
                continue;
            }
        };
        if !matches!(end, CallEnd::TimedOut) || progress.stage.get() != Stage::Written {
            return end;
        }
        let Some(expired) = call.expired_attempts(clock.now(), unreported_attempts) else { return end };
        expired.iter().for_each(|index| unreported_attempts[*index] = false);
        let result = CallResult::same_for_all(expired.len(), AttemptResult::from_outcome(Outcome::TimedOut));
        send_completion(context, call.with_attempts(&expired).completion(result)).await;
    }
}

/// Returns once the time of an unconfirmed call before this one on its connection is over.
async fn until_earlier_call_ends(context: &Context, progress: &Progress) -> Progressed {
    let next_end: Option<Micros> = progress.unconfirmed.borrow().next_change_at();
    match next_end {
        Some(at) => Timer::at(context.clock.instant_at(at)).await,
        None => future::pending().await,
    };
    Progressed::EarlierCallEnds
}
