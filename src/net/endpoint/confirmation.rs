//! The receiving half of a call: reads responses until it is known which is the call's own. A response that may be a copy
//! of an earlier one is announced to the delivery actor, so that the call frees its slot, but the call does not end, its
//! messages stay open in the journal and its connection is not reused before the doubt has ended.

use super::connection::EndpointConnection;
use super::exchange::{CallEnd, Progress};
use super::response::{self, Response, MAX_RESPONSE_BYTES, RESPONSE_STALL_TIMEOUT};
use crate::invariants::Attribution;
use crate::net::call::{Call, CallResult};
use crate::net::gauges::GaugeGuard;
use crate::net::http::HttpError;
use crate::net::messages::{DeliveryMessage, EndpointMessage};
use crate::net::Context;
use crate::Micros;
use async_channel::Sender;
use async_io::Timer;
use futures_lite::future;
use std::time::Duration;

/// The longest pause in the body of a response whose status line has already confirmed the delivery.
const DELIVERED_BODY_STALL_TIMEOUT: Duration = Duration::from_millis(50);

/// Receives responses to a written call until one of them is known to be its own, or they contradict each other.
/// `endpoint_mailbox` is that of the endpoint's actor; `None` if the endpoint was removed.
///
/// # Errors
///
/// Returns an error if the connection fails before a response can be attributed to the call.
pub(super) async fn receive(
    context: &Context,
    call: &Call,
    connection: &mut EndpointConnection,
    progress: &Progress,
    endpoint_mailbox: Option<&Sender<EndpointMessage>>,
) -> Result<CallEnd, HttpError> {
    // While the doubt lasts, the connection counts as idle: its call occupies no slot any more.
    let mut _idle: Option<GaugeGuard> = None;
    loop {
        let read = read_response(context, call, connection, progress).await;
        match (progress.attribution(), read) {
            (Attribution::Contradictory, _) => return Ok(CallEnd::Unattributed),
            (_, Err(error)) if !progress.has_complete_response() => return Err(error),
            (Attribution::Proven(_), _) => return Ok(CallEnd::Responded),
            (Attribution::Probable(_), Err(_)) => return Ok(end_by_failure(connection, progress)),
            (Attribution::Probable(_), Ok(())) => {
                let idle_connections = &context.gauges.idle_endpoint_connections;
                if _idle.is_none() && idle_connections.get() >= context.config().max_idle_connections() {
                    return Ok(CallEnd::Responded);
                }
                _idle.get_or_insert_with(|| idle_connections.increment_scoped());
                announce(context, call, progress).await;
                let doubt_ends_at = progress.doubt_ends_at(context.clock.now());
                if let Some(mailbox) = endpoint_mailbox {
                    // If the mailbox is full, the next call opens a connection instead of waiting for this one.
                    let _ = mailbox.try_send(EndpointMessage::ReusableAt(doubt_ends_at));
                }
                if !begins_before(context, connection, doubt_ends_at).await {
                    return Ok(CallEnd::Responded);
                }
            }
            (Attribution::Undecided, read) => read?,
        }
    }
}

/// Reads the next response and adds it to those received.
async fn read_response(
    context: &Context,
    call: &Call,
    connection: &mut EndpointConnection,
    progress: &Progress,
) -> Result<(), HttpError> {
    connection.http.stall_timeout = Some(RESPONSE_STALL_TIMEOUT);
    let head = connection.http.read_response().await?;
    let now = context.clock.now();
    connection.history.record(head.status);
    connection.last_response_at = Some(now);
    // Its retry-after must be honored even if the body cannot be read.
    progress.received.borrow_mut().add_head(&head, progress.elapsed(now));
    if head.status == 200 && call.attempts.len() == 1 {
        // The message is delivered. The body only decides whether the connection can be reused.
        connection.http.stall_timeout = Some(DELIVERED_BODY_STALL_TIMEOUT);
    }
    let body = connection.http.response_body(&head, MAX_RESPONSE_BYTES).await?;
    progress.received.borrow_mut().complete_last(call, Response { head, body });
    Ok(())
}

/// How a call ends whose connection fails while its only credible response may still be a copy. The failure may have taken
/// the call's own response with it if a further response had begun, or if the call's own could not be expected so early.
fn end_by_failure(connection: &EndpointConnection, progress: &Progress) -> CallEnd {
    let has_begun = connection.http.buffer.bytes().starts_with(b"HTTP/");
    let is_expected = progress.received.borrow().own().is_some_and(|own| progress.is_expected(&own));
    match is_expected && !has_begun {
        true => CallEnd::Responded,
        false => CallEnd::Unattributed,
    }
}

/// Notifies the delivery actor, once, of the response that is probably the call's own.
async fn announce(context: &Context, call: &Call, progress: &Progress) {
    if progress.is_announced.replace(true) {
        return;
    }
    let Some(result) = probable_result(context, call, progress) else { return };
    if let Some(retry_after) = result.retry_after {
        context.endpoint_table.record_retry_after(call.endpoint, retry_after);
    }
    // Sending fails only as the process ends, with no delivery actor left to notify.
    let _ = context.delivery.send(DeliveryMessage::CallAnswered(call.completion(result))).await;
}

fn probable_result(context: &Context, call: &Call, progress: &Progress) -> Option<CallResult> {
    let received = progress.received.borrow();
    let response = received.own()?.response?;
    let retry_after = received.retry_after();
    Some(response::read_result(&context.log, call, response, retry_after, progress.reused.get()))
}

/// Waits until a further response begins. Returns `false` if none does before `deadline`, in microseconds of the monotonic
/// clock.
async fn begins_before(context: &Context, connection: &mut EndpointConnection, deadline: Micros) -> bool {
    let begins = async {
        connection.http.until_received().await;
        true
    };
    let expired = async {
        Timer::at(context.clock.instant_at(deadline)).await;
        false
    };
    future::or(begins, expired).await
}
