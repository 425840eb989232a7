//! Reads late responses on the connection of an abandoned call. The call's own may say that a message has ended, which must not
//! be called again then. It may also contain a retry-after, which applies from the moment the endpoint wrote it; if it were not
//! read, calls would be sent during that time. It may come behind a copy of an earlier response, so all that come in time are
//! read.

use super::end_read;
use super::late_retry_after;
use super::received::ReceivedResponses;
use super::response::{parse_retry_after, read_result, Response, MAX_RESPONSE_BYTES, RESPONSE_STALL_TIMEOUT};
use crate::invariants::{Attribution, EarlierResponses, MAX_SURPLUS_RESPONSES};
use crate::net::call::{Call, CallResult};
use crate::net::http::{status_line_code, HttpConnection, ResponseHead};
use crate::net::messages::DeliveryMessage;
use crate::net::stray_response::{StrayPlace, StrayResponse};
use crate::net::{within, Context};
use crate::Outcome;
use slog::info;
use std::rc::Rc;
use std::time::Duration;

/// How long to wait for a late response after its call was abandoned. Equal to the longest pause allowed within a
/// response.
const LATE_RESPONSE_TIMEOUT: Duration = RESPONSE_STALL_TIMEOUT;

/// An abandoned call, with the responses that have come since.
pub(super) struct LateCall {
    context: Rc<Context>,
    call: Call,
    received: ReceivedResponses,
    /// Whether the delivery actor was notified of what the responses say.
    is_reported: bool,
}

/// Waits in the background for late responses, then closes the connection. Closes it at once if too many connections wait
/// for them already.
pub(super) fn read_in_background(mut late_call: LateCall, mut connection: HttpConnection) {
    let context = late_call.context.clone();
    let readers = &context.gauges.late_response_readers;
    // This limit is enough even if every call made within half a second is abandoned.
    if readers.get() >= context.config().max_concurrent_calls {
        return;
    }
    connection.shutdown_write();
    readers.increment();
    let executor = context.executor.clone();
    let read_responses = async move {
        within(LATE_RESPONSE_TIMEOUT, late_call.read_until_end(&mut connection)).await;
        drop(connection);
        late_call.report_unproven().await;
        late_call.context.gauges.late_response_readers.decrement();
    };
    executor.spawn(read_responses).detach();
}

impl LateCall {
    /// A call without a late response so far. `earlier` is what its connection had carried before it.
    pub fn new(context: &Rc<Context>, call: Call, earlier: EarlierResponses) -> Self {
        LateCall {
            context: context.clone(),
            call,
            received: ReceivedResponses::new(earlier),
            is_reported: false,
        }
    }

    /// Reads responses until the connection ends, and obeys the retry-after of each.
    async fn read_until_end(&mut self, connection: &mut HttpConnection) {
        while self.received.len() <= MAX_SURPLUS_RESPONSES {
            let Ok(head) = connection.read_response().await else { break };
            if !self.received.is_empty() {
                self.record_stray(head.status);
            }
            self.received.add_head(&self.call, &head, 0);
            self.record_unproven_end();
            if let Some(retry_after) = parse_retry_after(&head) {
                late_retry_after::obey(&self.context, self.call.endpoint, retry_after).await;
            }
            if self.read_body(connection, head).await.is_none() {
                return;
            }
            self.report_proven().await;
        }
        if let Some(status) = status_line_code(connection.buffer.bytes()) {
            self.received.add_status(&self.call, status, 0);
            self.record_unproven_end();
        }
    }

    /// Reads the body of a response; `None` if it is not complete.
    async fn read_body(&mut self, connection: &mut HttpConnection, head: ResponseHead) -> Option<()> {
        let Ok(body) = connection.response_body(&head, MAX_RESPONSE_BYTES).await else {
            self.received.add_partial_body(connection.buffer.bytes());
            return None;
        };
        self.received.complete_last(&self.call, Response { head, body, memory: connection.end_response() });
        self.record_unproven_end();
        Some(())
    }

    /// Records at once that messages may have ended. A further response may still prove the contrary.
    fn record_unproven_end(&self) {
        if let Some(result) = self.received.unproven_end(&self.call, Outcome::TimedOut) {
            end_read::record(&self.context, &self.call, &result);
        }
    }

    /// Notifies the delivery actor of the response that is proven to be the call's own, once there is one.
    async fn report_proven(&mut self) {
        let Attribution::Proven(index) = self.received.facts().attribution() else { return };
        let Some(response) = self.received.response(index) else { return };
        self.report(read_result(&self.context.log, &self.call, response, None, true)).await;
    }

    /// Notifies the delivery actor of the messages that may have ended, unless a response was proven.
    async fn report_unproven(&mut self) {
        if let Some(result) = self.received.unproven_end(&self.call, Outcome::TimedOut) {
            self.report(result).await;
        }
    }

    async fn report(&mut self, result: CallResult) {
        if std::mem::replace(&mut self.is_reported, true) {
            return;
        }
        for (attempt, result) in self.call.attempts.iter().zip(&result.attempts) {
            info!(self.context.log, "late response received"; "id" => &attempt.message.request.request_id,
                "attempt" => attempt.number, "endpoint" => self.call.endpoint.0, "outcome" => ?result.outcome,
                "ends_message" => result.completes_message);
        }
        end_read::record(&self.context, &self.call, &result);
        let late_end = DeliveryMessage::LateEnd(self.call.completion(result));
        // Sending fails only as the process ends, with no delivery actor left to notify.
        let _ = self.context.delivery.send(late_end).await;
    }

    /// Records that one of two late responses is a stray, although it is not known which.
    fn record_stray(&self, status: u16) {
        let stray = StrayResponse {
            endpoint: Some(self.call.endpoint),
            place: StrayPlace::LateResponse,
            status: Some(status),
            received_at: self.context.clock.now(),
            previous_response_at: None,
            request_written_at: None,
        };
        stray.record(&self.context);
    }
}
