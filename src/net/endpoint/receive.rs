//! The receiving half of a call: reads responses until one can be attributed to the call, certainly or probably.

use super::connection::EndpointConnection;
use super::exchange::{CallEnd, Progress};
use super::received::{head_digest, response_digest, unended_messages};
use super::response::{Response, MAX_RESPONSE_BYTES, RESPONSE_STALL_TIMEOUT};
use crate::invariants::Attribution;
use crate::net::call::Call;
use crate::net::http::{HttpError, ResponseHead};
use crate::net::Context;
use std::time::Duration;

/// The longest pause in the body of a response whose status line has already confirmed the delivery.
const DELIVERED_BODY_STALL_TIMEOUT: Duration = Duration::from_millis(50);

/// Receives responses to a written call until one of them can be attributed to it, or they contradict each other.
///
/// # Errors
///
/// Returns an error if the connection fails before that, or before the response is complete.
pub(super) async fn receive(
    context: &Context,
    call: &Call,
    connection: &mut EndpointConnection,
    progress: &Progress,
) -> Result<CallEnd, HttpError> {
    loop {
        receive_response(context, call, connection, progress).await?;
        match progress.received.borrow().facts().attribution() {
            Attribution::Proven(_) => return Ok(CallEnd::Responded),
            Attribution::Probable(_) => return Ok(CallEnd::Unconfirmed),
            Attribution::Contradictory => return Ok(CallEnd::Unattributed),
            Attribution::Undecided => {}
        }
    }
}

/// Receives the next response and adds it to those of the call.
async fn receive_response(
    context: &Context,
    call: &Call,
    connection: &mut EndpointConnection,
    progress: &Progress,
) -> Result<(), HttpError> {
    let head = read_head(context, connection).await?;
    // Its retry-after must be honored even if the body cannot be read.
    progress.received.borrow_mut().add_head(call, &head, progress.elapsed(context.clock.now()));
    if head.status == 200 && call.attempts.len() == 1 {
        // The message is delivered. The body only decides whether the connection can be reused.
        connection.http.stall_timeout = Some(DELIVERED_BODY_STALL_TIMEOUT);
    }
    let response = match read_body(connection, head).await {
        Ok(response) => response,
        Err(error) => {
            progress.received.borrow_mut().add_partial_body(connection.http.buffer.bytes());
            return Err(error);
        }
    };
    let unended = unended_messages(call, &response);
    progress.received.borrow_mut().complete_last(call, response);
    unended.into_iter().for_each(|message| connection.history.record_unended(message));
    Ok(())
}

/// Reads a response to no call in flight.
///
/// # Errors
///
/// Returns an error if the connection ends or fails before the response is complete.
pub(super) async fn read_response(
    context: &Context,
    connection: &mut EndpointConnection,
) -> Result<Response, HttpError> {
    let head = read_head(context, connection).await?;
    read_body(connection, head).await
}

async fn read_head(
    context: &Context,
    connection: &mut EndpointConnection,
) -> Result<ResponseHead, HttpError> {
    if connection.history.has_excess(connection.calls) {
        return Err(HttpError::TooManyResponses);
    }
    connection.http.stall_timeout = Some(RESPONSE_STALL_TIMEOUT);
    let head = connection.http.read_response().await?;
    connection.history.record_head(head.status, head_digest(&head));
    connection.last_response_at = Some(context.clock.now());
    Ok(head)
}

async fn read_body(connection: &mut EndpointConnection, head: ResponseHead) -> Result<Response, HttpError> {
    let body = connection.http.response_body(&head, MAX_RESPONSE_BYTES).await?;
    let response = Response { head, body, memory: connection.http.end_response() };
    connection.history.record_complete(response_digest(&response));
    Ok(response)
}
