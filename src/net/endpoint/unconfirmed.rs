//! Unconfirmed calls: calls that were answered by a response that may be a copy of an earlier one on their connection. The
//! delivery actor knows of the response, so that the slot of the call is free and the connection may carry the next call,
//! but the attempt stays in flight until its response is confirmed or corrected, or its time is over. The rules are in
//! [`confirmation`](crate::invariants::confirmation).

use super::received::ReceivedResponses;
use super::response::{self, Response};
use crate::invariants::confirmation::{Settled, Settlement, Unconfirmed, UnconfirmedQueue};
use crate::invariants::CallResponses;
use crate::net::call::{AttemptResult, Call, CallResult};
use crate::net::messages::{DeliveryMessage, EndSettlement};
use crate::net::stray_response::{StrayPlace, StrayResponse};
use crate::net::Context;
use crate::{Micros, Outcome};
use async_io::Timer;
use slog::info;
use std::cell::Cell;
use std::rc::Rc;

/// What an unconfirmed message takes in memory and in the journal besides its body, in bytes.
const MESSAGE_OVERHEAD_BYTES: usize = 512;
/// The inverse of the share of the journal that the messages of unconfirmed calls may take. While they take more, calls use no
/// connection on which a response may still be corrected.
const UNCONFIRMED_JOURNAL_DIVISOR: u64 = 8;
/// The inverse of the share of the journal that messages may take that have ended unconfirmed. While they take more, each is
/// reported once it has ended.
const UNCONFIRMED_ENDS_JOURNAL_DIVISOR: u64 = 16;
/// How long before its deadline an unconfirmed end is reported, in microseconds, so that the report is in time even if it has
/// to be sent again.
const REPORT_MARGIN: Micros = 250_000;

/// What settled an unconfirmed call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SettlementReason {
    /// A later response on the connection can be no copy.
    LaterResponse,
    /// A later call on the connection was answered.
    LaterCallAnswered,
    /// One response more than calls has arrived.
    SurplusResponse,
    /// The time of the call, or of its message, is over.
    TimeOver,
    /// Too many messages are unconfirmed.
    TooManyUnconfirmed,
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
            SettlementReason::SurplusResponse => "surplus-response",
            SettlementReason::TimeOver => "time-over",
            SettlementReason::TooManyUnconfirmed => "too-many",
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

/// A call whose response may be a copy of an earlier one.
pub(super) struct UnconfirmedCall {
    context: Rc<Context>,
    /// The call, with the attempts whose results are still to be reported.
    call: Call,
    timing: RequestTiming,
    /// The responses that arrived after its request.
    responses: ReceivedResponses,
    /// The result of its response.
    result: CallResult,
    body_bytes: usize,
    /// Whether its messages have ended, as its time is over.
    has_ended: Cell<bool>,
}

impl Unconfirmed for UnconfirmedCall {
    fn responses(&self) -> &CallResponses {
        self.responses.facts()
    }

    fn is_batch(&self) -> bool {
        self.call.attempts.len() > 1
    }

    fn times_out_at(&self) -> Micros {
        self.call.attempts.iter().map(|attempt| attempt.timeout_at).min().unwrap_or_default()
    }

    fn report_at(&self) -> Micros {
        let deadline = self.call.attempts.iter().map(|attempt| attempt.message.request.deadline).min();
        deadline.unwrap_or_default().saturating_sub(REPORT_MARGIN)
    }
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
            result,
            body_bytes,
            has_ended: Cell::new(false),
        };
        unconfirmed.log_doubt();
        unconfirmed
    }

    fn log_doubt(&self) {
        let status = self.responses.own().map(|own| own.status);
        let reason = match self.responses.facts().last_may_be_copy() {
            true => "equal-to-earlier",
            false => "earlier-call-unconfirmed",
        };
        for attempt in &self.call.attempts {
            info!(self.context.log, "response may be a copy"; "id" => &attempt.message.request.request_id,
                "attempt" => attempt.number, "endpoint" => self.call.endpoint.0, "status" => status,
                "reason" => reason);
        }
    }

    /// Adds a response that arrived although the call was answered before.
    fn add_response(&mut self, response: Response) {
        let elapsed = self.context.clock.now().saturating_sub(self.timing.written_at);
        self.responses.add_head(&self.call, &response.head, elapsed);
        self.responses.complete_last(&self.call, response);
        self.record_strays();
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

    /// Notifies the delivery actor that the messages of the call have ended, as its time is over.
    fn end(&self) {
        self.has_ended.set(true);
        let gauges = &self.context.gauges;
        gauges.unconfirmed_calls.decrement();
        gauges.unconfirmed_bytes.subtract(self.body_bytes);
        gauges.unconfirmed_end_bytes.add(self.body_bytes);
        self.notify(vec![DeliveryMessage::CallCompleted(self.call.completion(self.ended_result()))]);
    }

    /// The result by which the messages of the call end unconfirmed.
    fn ended_result(&self) -> CallResult {
        CallResult::ended_unconfirmed(self.call.attempts.len(), self.responses.facts().unproven_outcome())
    }

    fn settle(self, settlement: Settlement, reason: SettlementReason) {
        self.log_settlement(settlement, reason);
        let has_ended = self.has_ended.get();
        let completed = |result: CallResult| DeliveryMessage::CallCompleted(self.call.completion(result));
        let end_settled = |settlement: EndSettlement| DeliveryMessage::EndSettled {
            messages: self.call.attempts.iter().map(|attempt| attempt.message.id).collect(),
            settlement,
        };
        let messages = match settlement {
            Settlement::Confirmed | Settlement::Corrected(_) if has_ended => {
                vec![end_settled(EndSettlement::Confirmed)]
            }
            // The load report and the retry-after were reported when the response arrived.
            Settlement::Confirmed => {
                let result = self.result.clone();
                vec![completed(CallResult { report: None, retry_after: None, unconfirmed: false, ..result })]
            }
            Settlement::Corrected(index) => vec![completed(self.corrected_result(index))],
            Settlement::Unsettled if has_ended => vec![end_settled(EndSettlement::Unsettled)],
            Settlement::Unsettled => {
                vec![completed(self.ended_result()), end_settled(EndSettlement::Unsettled)]
            }
            Settlement::MayHaveRun => {
                let may_have_run = AttemptResult::from_outcome(Outcome::StaleConnection);
                let completion = completed(CallResult::same_for_all(self.call.attempts.len(), may_have_run));
                if reason == SettlementReason::ConnectionEnded {
                    return self.notify_at_timeout(completion);
                }
                vec![completion]
            }
        };
        self.notify(messages);
    }

    fn log_settlement(&self, settlement: Settlement, reason: SettlementReason) {
        let end = match settlement {
            Settlement::Confirmed => "confirmed",
            Settlement::Corrected(_) => "corrected",
            Settlement::Unsettled => "unsettled",
            Settlement::MayHaveRun => "may-have-run",
        };
        for attempt in &self.call.attempts {
            info!(self.context.log, "unconfirmed response settled"; "id" => &attempt.message.request.request_id,
                "attempt" => attempt.number, "endpoint" => self.call.endpoint.0, "end" => end,
                "reason" => reason.name());
        }
    }

    /// The result of the response that is proven to be the call's own.
    fn corrected_result(&self, index: usize) -> CallResult {
        let (log, retry_after) = (&self.context.log, self.responses.retry_after());
        let Some(response) = self.responses.response(index) else { return self.ended_result() };
        // An unconfirmed response is always on a reused connection.
        response::read_result(log, &self.call, response, retry_after, true)
    }

    /// Sends the message once the time of the call is over: an endpoint that has lost all its connections must not get all their
    /// messages again at once.
    fn notify_at_timeout(self, message: DeliveryMessage) {
        let (context, times_out_at) = (self.context.clone(), self.times_out_at());
        let executor = context.executor.clone();
        let notify = async move {
            Timer::at(context.clock.instant_at(times_out_at)).await;
            self.notify(vec![message]);
        };
        executor.spawn(notify).detach();
    }

    fn notify(&self, messages: Vec<DeliveryMessage>) {
        let delivery = self.context.delivery.clone();
        let send_messages = async move {
            for message in messages {
                // Sending fails only as the process ends, with no delivery actor left to notify.
                let _ = delivery.send(message).await;
            }
        };
        self.context.executor.spawn(send_messages).detach();
    }
}

impl Drop for UnconfirmedCall {
    fn drop(&mut self) {
        let gauges = &self.context.gauges;
        if self.has_ended.get() {
            return gauges.unconfirmed_end_bytes.subtract(self.body_bytes);
        }
        gauges.unconfirmed_calls.decrement();
        gauges.unconfirmed_bytes.subtract(self.body_bytes);
    }
}

/// The unconfirmed calls on a connection. Dropping them settles them, because nothing can confirm their responses once the
/// connection is given up.
#[derive(Default)]
pub(super) struct UnconfirmedCalls {
    queue: UnconfirmedQueue<UnconfirmedCall>,
}

impl UnconfirmedCalls {
    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Whether the time of a call is not over, so that a further response may still correct its result.
    pub fn has_correctable_calls(&self) -> bool {
        self.queue.has_correctable_calls()
    }

    /// Adds the call that was sent last.
    pub fn push(&mut self, call: UnconfirmedCall) {
        settle(self.queue.push(call), SettlementReason::LaterResponse);
    }

    /// Confirms the calls that are answered, because the connection has carried so many responses that can be no copies.
    pub fn confirm_answered(&mut self, answered_calls: usize) {
        settle(self.queue.confirm_answered(answered_calls), SettlementReason::LaterResponse);
    }

    /// Confirms all calls, because their endpoint has responded to a later one.
    pub fn confirm_all(&mut self) {
        settle(self.queue.confirm_all(), SettlementReason::LaterCallAnswered);
    }

    /// Settles all calls, because their connection has ended.
    pub fn end_with_connection(&mut self) {
        settle(self.queue.settle_all(), SettlementReason::ConnectionEnded);
    }

    /// Handles a response that arrived while no call was in flight.
    pub fn add_surplus(&mut self, response: Response, answered_calls: usize) {
        let says_ended = matches!(response.head.status, 200 | 410);
        if let Some(call) = self.queue.only_call_mut() {
            call.add_response(response);
        }
        let settled = self.queue.settle_by_surplus(says_ended, answered_calls);
        settle(settled, SettlementReason::SurplusResponse);
    }

    /// When [`UnconfirmedCalls::end_due`] has something to do, in microseconds of the monotonic clock; `None` without calls.
    pub fn next_change_at(&self) -> Option<Micros> {
        self.queue.next_change_at()
    }

    /// Ends the messages of the calls whose time is over, and settles the calls whose end is to be reported now.
    pub fn end_due(&mut self, context: &Context) {
        let now = context.clock.now();
        settle(self.queue.settle_due(now), SettlementReason::TimeOver);
        self.queue.end_timed_out(now).into_iter().for_each(UnconfirmedCall::end);
        let ended_bytes = context.gauges.unconfirmed_end_bytes.get() as u64;
        if ended_bytes >= context.config().journal_limit_bytes() / UNCONFIRMED_ENDS_JOURNAL_DIVISOR {
            settle(self.queue.settle_ended(), SettlementReason::TooManyUnconfirmed);
        }
    }
}

impl Drop for UnconfirmedCalls {
    fn drop(&mut self) {
        settle(self.queue.settle_all(), SettlementReason::ConnectionGivenUp);
    }
}

/// Whether the messages of unconfirmed calls take more of the journal than they may.
pub(super) fn are_too_many(context: &Context) -> bool {
    let unconfirmed_bytes = context.gauges.unconfirmed_bytes.get() as u64;
    unconfirmed_bytes >= context.config().journal_limit_bytes() / UNCONFIRMED_JOURNAL_DIVISOR
}

fn settle(settled: Vec<Settled<UnconfirmedCall>>, reason: SettlementReason) {
    settled.into_iter().for_each(|settled| settled.call.settle(settled.settlement, reason));
}
