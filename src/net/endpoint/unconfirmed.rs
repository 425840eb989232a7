//! Unconfirmed calls: calls that were answered by a response that may be a copy of an earlier one on their connection. The
//! delivery actor knows of the response, so that the slot of the call is free and the connection may carry the next call,
//! but the attempt stays in flight until its response is confirmed or refuted.

use super::received::ReceivedResponses;
use super::response::{self, Response};
use crate::invariants::confirmation::{
    next_timeout, timed_out_calls, ConfirmationEnd, ConnectionUse, UnconfirmedFacts,
};
use crate::invariants::Attribution;
use crate::net::call::{AttemptResult, Call, CallResult};
use crate::net::messages::DeliveryMessage;
use crate::net::stray_response::{StrayPlace, StrayResponse};
use crate::net::Context;
use crate::{Micros, Outcome};
use async_io::Timer;
use slog::info;
use std::collections::VecDeque;
use std::rc::Rc;

/// What an open message takes in memory and in the journal besides its body, in bytes.
const MESSAGE_OVERHEAD_BYTES: usize = 512;

/// What ended the doubt about a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SettlementReason {
    /// A later response on the connection can be no copy.
    LaterResponse,
    /// A later call on the connection was answered.
    LaterCallAnswered,
    /// The endpoint has closed the connection as idle.
    ClosedAsIdle,
    /// One response more than calls has arrived.
    SurplusResponse,
    /// The time of the call is over.
    TimeOver,
    /// The connection has ended.
    ConnectionEnded,
    /// This process has given up the connection.
    ConnectionGivenUp,
}

impl SettlementReason {
    /// The name of the reason in logs.
    fn name(self) -> &'static str {
        match self {
            SettlementReason::LaterResponse => "later-response",
            SettlementReason::LaterCallAnswered => "later-call-answered",
            SettlementReason::ClosedAsIdle => "closed-idle",
            SettlementReason::SurplusResponse => "surplus-response",
            SettlementReason::TimeOver => "time-over",
            SettlementReason::ConnectionEnded => "connection-ended",
            SettlementReason::ConnectionGivenUp => "connection-given-up",
        }
    }
}

/// When the request of a call was written. The times are in microseconds of the monotonic clock.
#[derive(Clone, Copy)]
pub(super) struct RequestTiming {
    /// When the request was written completely.
    pub written_at: Micros,
    /// When the response to the call before was received on the connection; `None` on a new connection.
    pub previous_response_at: Option<Micros>,
}

/// A call whose response may be a copy of an earlier one. Dropping it refutes it, because nothing can confirm the response
/// once its connection is given up.
pub(super) struct UnconfirmedCall {
    context: Rc<Context>,
    /// The call, with the attempts whose results are still to be reported.
    call: Call,
    timing: RequestTiming,
    /// The responses that arrived after its request.
    responses: ReceivedResponses,
    /// The result of its response; `None` once it was reported.
    result: Option<CallResult>,
    body_bytes: usize,
    /// Why the response is refuted if the call is dropped.
    refutation: SettlementReason,
}

impl UnconfirmedCall {
    /// A call whose response has this result.
    pub fn new(
        context: &Rc<Context>,
        call: Call,
        timing: RequestTiming,
        responses: ReceivedResponses,
        result: CallResult,
    ) -> Self {
        let size = |body: &[u8]| body.len() + MESSAGE_OVERHEAD_BYTES;
        let body_bytes = call.attempts.iter().map(|attempt| size(&attempt.message.request.body)).sum();
        context.gauges.unconfirmed_calls.increment();
        context.gauges.unconfirmed_bytes.add(body_bytes);
        let unconfirmed = UnconfirmedCall {
            context: context.clone(),
            call,
            timing,
            responses,
            result: Some(result),
            body_bytes,
            refutation: SettlementReason::ConnectionGivenUp,
        };
        unconfirmed.log_doubt();
        unconfirmed
    }

    fn log_doubt(&self) {
        let status = self.responses.own().map(|own| own.status);
        let reason = match self.responses.last_may_be_copy() {
            true => "equal-to-earlier",
            false => "earlier-call-unconfirmed",
        };
        for attempt in &self.call.attempts {
            info!(self.context.log, "response may be a copy"; "id" => &attempt.message.request.request_id,
                "attempt" => attempt.number, "endpoint" => self.call.endpoint.0, "status" => status,
                "reason" => reason);
        }
    }

    fn log_settlement(&self, settlement: &'static str, reason: SettlementReason) {
        for attempt in &self.call.attempts {
            info!(self.context.log, "unconfirmed response settled"; "id" => &attempt.message.request.request_id,
                "attempt" => attempt.number, "endpoint" => self.call.endpoint.0, "end" => settlement,
                "reason" => reason.name());
        }
    }

    fn facts(&self) -> UnconfirmedFacts {
        let attempts = &self.call.attempts;
        UnconfirmedFacts {
            is_success: self.is_success(),
            times_out_at: attempts.iter().map(|a| a.timeout_at).min().unwrap_or_default(),
            deadline: attempts.iter().map(|a| a.message.request.deadline).min().unwrap_or_default(),
        }
    }

    fn is_success(&self) -> bool {
        self.responses.are_plain_successes()
    }

    /// Reports that the response is the call's own.
    fn confirm(mut self, reason: SettlementReason) {
        if let Some(result) = self.result.take() {
            self.log_settlement("confirmed", reason);
            // The load report and the retry-after were reported when the response arrived.
            self.send(CallResult { report: None, retry_after: None, ..result });
        }
    }

    /// Adds a response that arrived although the call was answered before, and reports the call's end if that is known now.
    /// Returns whether the call can still be confirmed.
    fn add_response(&mut self, response: Response) -> bool {
        self.responses.confirm_earlier_calls();
        let elapsed = self.context.clock.now().saturating_sub(self.timing.written_at);
        self.responses.add_head(&response.head, elapsed);
        self.responses.complete_last(&self.call, response);
        let attribution = self.responses.attribution();
        self.record_strays();
        if matches!(attribution, Attribution::Proven(_)) {
            self.correct();
        }
        matches!(attribution, Attribution::Probable(_))
    }

    /// Records the responses that are not the call's own.
    fn record_strays(&self) {
        for stray in self.responses.strays() {
            let stray = StrayResponse {
                endpoint: Some(self.call.endpoint),
                place: StrayPlace::InCall,
                status: Some(stray.status),
                received_at: self.timing.written_at + stray.elapsed,
                previous_response_at: self.timing.previous_response_at,
                request_written_at: Some(self.timing.written_at),
            };
            stray.record(&self.context);
        }
    }

    /// Reports the result of the response that is proven to be the call's own.
    fn correct(&mut self) {
        let (log, retry_after) = (&self.context.log, self.responses.retry_after());
        let Some(response) = self.responses.own().and_then(|own| own.response) else { return };
        // An unconfirmed response is always on a reused connection.
        let result = response::read_result(log, &self.call, response, retry_after, true);
        if let Some(retry_after) = result.retry_after {
            self.context.endpoint_table.record_retry_after(self.call.endpoint, retry_after);
        }
        self.log_settlement("corrected", SettlementReason::SurplusResponse);
        self.result = None;
        self.send(result);
    }

    /// Reports that the response is not confirmed.
    fn refute(mut self, reason: SettlementReason) {
        self.refutation = reason;
    }

    /// Reports that the response is not confirmed, once the time of the call is over: its message was probably delivered, and an
    /// endpoint that has lost all its connections must not get all their messages again at once.
    fn refute_at_timeout(mut self) {
        self.refutation = SettlementReason::ConnectionEnded;
        let (context, times_out_at) = (self.context.clone(), self.facts().times_out_at);
        let executor = context.executor.clone();
        let refute = async move {
            Timer::at(context.clock.instant_at(times_out_at)).await;
            drop(self);
        };
        executor.spawn(refute).detach();
    }

    fn send(&self, result: CallResult) {
        let completion = self.call.completion(result);
        let delivery = self.context.delivery.clone();
        let send_completion = async move {
            // Sending fails only as the process ends, with no delivery actor left to notify.
            let _ = delivery.send(DeliveryMessage::CallCompleted(completion)).await;
        };
        self.context.executor.spawn(send_completion).detach();
    }
}

impl Drop for UnconfirmedCall {
    fn drop(&mut self) {
        self.context.gauges.unconfirmed_calls.decrement();
        self.context.gauges.unconfirmed_bytes.subtract(self.body_bytes);
        if self.result.take().is_none() {
            return;
        }
        self.log_settlement("not-confirmed", self.refutation);
        let unconfirmed = AttemptResult::from_outcome(Outcome::StaleConnection);
        self.send(CallResult::same_for_all(self.call.attempts.len(), unconfirmed));
    }
}

/// The unconfirmed calls on a connection, in the order of their requests.
#[derive(Default)]
pub(super) struct UnconfirmedCalls {
    calls: VecDeque<UnconfirmedCall>,
}

impl UnconfirmedCalls {
    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Whether the connection may carry a further call: all calls were answered by the same kind of response, so that it
    /// does not matter which response is whose.
    pub fn allow_further_call(&self) -> bool {
        self.calls.iter().all(UnconfirmedCall::is_success)
    }

    /// Adds the call that was sent last.
    pub fn push(&mut self, call: UnconfirmedCall) {
        self.calls.push_back(call);
    }

    /// Confirms the first call, because the connection has carried one more response that can be no copy.
    pub fn confirm_first(&mut self) {
        if let Some(first) = self.calls.pop_front() {
            first.confirm(SettlementReason::LaterResponse);
        }
    }

    /// Ends all calls, because their endpoint has responded to a later one, so that it has answered them all. A response other than a success is not confirmed: it may be that to another of them.
    pub fn end_answered(&mut self) {
        self.end_all_answered(SettlementReason::LaterCallAnswered);
    }

    /// Ends all calls as [`UnconfirmedCalls::end_answered`] does, because their endpoint has closed the connection as idle.
    pub fn end_closed_as_idle(&mut self) {
        self.end_all_answered(SettlementReason::ClosedAsIdle);
    }

    fn end_all_answered(&mut self, reason: SettlementReason) {
        for call in self.calls.drain(..) {
            match call.is_success() {
                true => call.confirm(reason),
                false => call.refute(reason),
            }
        }
    }

    /// Ends all calls, as not confirmed, because their connection has ended.
    pub fn end_with_connection(&mut self) {
        self.calls.drain(..).for_each(UnconfirmedCall::refute_at_timeout);
    }

    /// Handles a response that arrived while no call was in flight, so that one response more than calls has arrived. Several
    /// calls can then be confirmed only if all responses say the same; otherwise they end, as not confirmed.
    pub fn add_response(&mut self, response: Response) {
        match self.calls.len() {
            1 => {
                if !self.calls[0].add_response(response) {
                    self.refute_all(SettlementReason::SurplusResponse);
                }
            }
            _ if response.head.status == 200 && self.allow_further_call() => {}
            _ => self.refute_all(SettlementReason::SurplusResponse),
        }
    }

    fn refute_all(&mut self, reason: SettlementReason) {
        self.calls.drain(..).for_each(|call| call.refute(reason));
    }

    /// When [`UnconfirmedCalls::end_timed_out`] has calls to end, in microseconds of the monotonic clock; `None` without calls.
    pub fn next_timeout(&self, connection_use: ConnectionUse) -> Option<Micros> {
        next_timeout(&self.facts(), connection_use)
    }

    /// Ends the calls whose time is over.
    pub fn end_timed_out(&mut self, connection_use: ConnectionUse, now: Micros) {
        let ends = timed_out_calls(&self.facts(), connection_use, now);
        for (call, end) in std::mem::take(&mut self.calls).into_iter().zip(ends) {
            match end {
                Some(ConfirmationEnd::Confirmed) => call.confirm(SettlementReason::TimeOver),
                Some(ConfirmationEnd::NotConfirmed) => call.refute(SettlementReason::TimeOver),
                None => self.calls.push_back(call),
            }
        }
    }

    fn facts(&self) -> Vec<UnconfirmedFacts> {
        self.calls.iter().map(UnconfirmedCall::facts).collect()
    }
}
