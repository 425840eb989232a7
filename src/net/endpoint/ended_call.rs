//! The end of a call: what becomes of its connection, and the results of its attempts.

use super::connection::EndpointConnection;
use super::connection_end::ConnectionEnd;
use super::end_read;
use super::exchange::{CallEnd, Progress};
use super::observation::{observe, Observed, QuietEnd};
use super::received::OwnResponse;
use super::response;
use super::unconfirmed::UnconfirmedCall;
use crate::invariants::{ResponseTimes, ResponseTiming, SendRefusal};
use crate::net::call::{AttemptResult, Call, CallCompletion, CallResult};
use crate::net::messages::{DeliveryMessage, EndedCallReport, EndpointMessage};
use crate::net::stray_response::{StrayPlace, StrayResponse};
use crate::net::Context;
use crate::{Micros, Outcome};
use async_channel::Sender;
use std::rc::Rc;

/// A call that has ended, with the progress that it had made.
pub(super) struct EndedCall<'a> {
    pub context: &'a Rc<Context>,
    pub call: &'a Call,
    pub progress: Progress,
    /// How long the endpoint usually takes for a response.
    pub times: ResponseTimes,
    /// The mailbox of the endpoint's actor; `None` if the endpoint was removed.
    pub return_to: Option<Sender<EndpointMessage>>,
    /// The indices of the attempts whose results are still to be reported.
    pub unreported: Vec<usize>,
}

impl EndedCall<'_> {
    /// Returns or closes the connection, reports the end to the endpoint's actor, and returns the completion of the call.
    pub async fn conclude(self, end: CallEnd, connection: Option<EndpointConnection>) -> CallCompletion {
        let found_stray = self.record_strays() || self.progress.found_stray.get();
        let is_followed = self.record_unread_stray(connection.as_ref());
        let response_time = self.progress.received.borrow().own().map(|own| own.time());
        let (result, reusable) = match end {
            CallEnd::NotSent(refusal) => (self.refusal_result(refusal), connection),
            end => match self.response_result(&end) {
                Some(result) => {
                    // The endpoint answers in order, so it has answered the calls before.
                    self.progress.unconfirmed.borrow_mut().confirm_all();
                    let mut reusable = self.reusable(connection, &result, is_followed);
                    reusable.iter_mut().for_each(|connection| connection.history.record_all_original());
                    (result, reusable)
                }
                None => (self.failure_result(&end, connection), None),
            },
        };
        let completion = self.completion(result);
        end_read::record(self.context, &self.unreported_call(), &completion.result);
        self.record_retry_after(&completion.result);
        self.report_end(EndedCallReport { connection: reusable, response_time, found_stray }).await;
        completion
    }

    /// Ends a call whose response may be a copy of an earlier one. The delivery actor learns of the response now; the call is
    /// completed once its response is confirmed or refuted.
    pub async fn conclude_unconfirmed(self, connection: EndpointConnection, result: CallResult) {
        let result = CallResult { unconfirmed: true, ..result };
        end_read::record(self.context, &self.unreported_call(), &self.unreported_results(result.clone()));
        self.announce(&result).await;
        if self.progress.received.borrow().facts().all_say_ended() {
            let answered_calls = connection.history.min_answered_calls();
            self.progress.unconfirmed.borrow_mut().confirm_answered(answered_calls);
        }
        self.observe_unconfirmed(connection, result).await;
    }

    /// Observes the connection of a call whose response may be a copy, until it may carry the next call or the calls on it
    /// are confirmed or refuted.
    async fn observe_unconfirmed(&self, mut connection: EndpointConnection, result: CallResult) {
        let found_before = self.record_strays() || self.progress.found_stray.get();
        let response_time = self.progress.received.borrow().own().map(|own| own.time());
        let quiet_end = self.quiet_end(&connection);
        connection.unconfirmed = self.progress.unconfirmed.take();
        if let Some(timing) = self.progress.request_timing() {
            let (call, result) = (self.unreported_call(), self.unreported_results(result));
            let responses = self.progress.received.take();
            let unconfirmed = UnconfirmedCall::new(self.context, call, timing, responses, result);
            connection.unconfirmed.push(unconfirmed);
        }
        if let Some((mailbox, QuietEnd::ReusableAt(at))) = self.return_to.as_ref().zip(Some(quiet_end)) {
            // If the mailbox is full, the next call opens a connection instead of waiting for this one.
            let _ = mailbox.try_send(EndpointMessage::ReusableAt(at));
        }
        let observed = observe(self.context, self.call.endpoint, connection, quiet_end).await;
        let Observed { connection, found_stray } = observed;
        if connection.is_none() && !found_stray {
            self.log_connection_end(ConnectionEnd::UnprovenResponse);
        }
        let found_stray = found_stray || found_before;
        self.report_end(EndedCallReport { connection, response_time, found_stray }).await;
    }

    /// What becomes of the connection if no further response arrives. After one that says that the messages have ended it may
    /// carry the next call. After any other it is given up soon, so that a message that has not ended may be called again.
    fn quiet_end(&self, connection: &EndpointConnection) -> QuietEnd {
        let received = self.progress.received.borrow();
        let Some((own, rests_until)) = received.own().zip(self.rests_until()) else {
            return QuietEnd::Timeout;
        };
        if !received.facts().all_say_ended() {
            return QuietEnd::GivenUpAt(rests_until);
        }
        let keeps_alive = own.response.is_some_and(|response| response.head.keep_alive);
        // The response still due to a batch may name its messages, and says nothing of those of a further call.
        let is_batch = self.call.attempts.len() > 1;
        match keeps_alive
            && !is_batch
            && !received.has_strays()
            && self.return_to.is_some()
            && !connection.history.is_full()
        {
            true => QuietEnd::ReusableAt(rests_until),
            false => QuietEnd::Timeout,
        }
    }

    /// Until when the connection rests, in microseconds of the monotonic clock.
    fn rests_until(&self) -> Option<Micros> {
        let received = self.progress.received.borrow();
        let (own, written_at) = received.own().zip(self.progress.written_at.get())?;
        let timing = ResponseTiming {
            written_at,
            received_at: written_at + own.elapsed,
            previous_response_at: self.progress.previous_response_at.get(),
        };
        Some(self.times.rests_until(own.status, &timing))
    }

    /// Notifies the delivery actor of the response that is probably the call's own.
    async fn announce(&self, result: &CallResult) {
        self.record_retry_after(result);
        let answered = DeliveryMessage::CallAnswered(self.completion(result.clone()));
        // Sending fails only as the process ends, with no delivery actor left to notify.
        let _ = self.context.delivery.send(answered).await;
    }

    fn record_retry_after(&self, result: &CallResult) {
        if let Some(retry_after) = result.retry_after {
            self.context.endpoint_table.record_retry_after(self.call.endpoint, retry_after);
        }
    }

    /// Sends the report to the endpoint's actor.
    async fn report_end(&self, report: EndedCallReport) {
        if let Some(return_to) = &self.return_to {
            // Sending fails if the endpoint's actor has ended; the connection is then closed.
            let _ = return_to.send(EndpointMessage::CallEnded(Box::new(report))).await;
        }
    }

    /// The call with the attempts whose results are still to be reported.
    pub(super) fn unreported_call(&self) -> Call {
        self.call.with_attempts(&self.unreported)
    }

    /// The completion with the results of the attempts that are still to be reported.
    fn completion(&self, result: CallResult) -> CallCompletion {
        self.unreported_call().completion(self.unreported_results(result))
    }

    fn unreported_results(&self, result: CallResult) -> CallResult {
        let attempts = self.unreported.iter().map(|index| result.attempts[*index]).collect();
        CallResult { attempts, ..result }
    }

    /// The result of a call whose own response was received completely; `None` if it was not.
    fn response_result(&self, end: &CallEnd) -> Option<CallResult> {
        if matches!(end, CallEnd::Unattributed) || !self.is_own_response_proven() {
            return None;
        }
        self.own_result()
    }

    fn is_own_response_proven(&self) -> bool {
        self.progress.received.borrow().own().is_some_and(|own| own.is_proven)
    }

    /// The result in the complete response that is certainly or probably the call's own; `None` without one.
    pub fn own_result(&self) -> Option<CallResult> {
        let received = self.progress.received.borrow();
        let response = received.own()?.response?;
        let (log, retry_after) = (&self.context.log, received.retry_after());
        Some(response::read_result(log, self.call, response, retry_after, self.progress.reused.get()))
    }

    /// The connection after a response that is certainly the call's own, if it can be reused; logs its end otherwise.
    fn reusable(
        &self,
        connection: Option<EndpointConnection>,
        result: &CallResult,
        is_followed_by_stray: bool,
    ) -> Option<EndpointConnection> {
        let received = self.progress.received.borrow();
        let OwnResponse { response, .. } = received.own()?;
        let is_used_up =
            connection.as_ref().is_some_and(|c| !c.http.buffer.bytes().is_empty() || c.history.is_full());
        let keep_alive = response.is_some_and(|response| response.head.keep_alive);
        let rejected_connection =
            result.attempts.iter().any(|attempt| attempt.outcome == Outcome::ConnectFailed);
        let reason = if received.has_strays() || is_followed_by_stray {
            ConnectionEnd::StrayResponse
        } else if rejected_connection {
            ConnectionEnd::ConnectionLimit
        } else if !keep_alive || is_used_up || self.return_to.is_none() {
            ConnectionEnd::Response
        } else {
            return connection;
        };
        self.log_connection_end(reason);
        None
    }

    /// The result of a call that failed the check before its first byte.
    fn refusal_result(&self, refusal: SendRefusal) -> CallResult {
        let outcome = match refusal {
            SendRefusal::JournalFailing => Outcome::NotJournaled,
            _ => Outcome::NotSent,
        };
        CallResult::same_for_all(self.call.attempts.len(), AttemptResult::from_outcome(outcome))
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

    pub(super) fn log_connection_end(&self, reason: ConnectionEnd) {
        reason.log(&self.context.log, self.call.endpoint);
    }
}
