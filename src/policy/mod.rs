//! The delivery policy: decides where, when and whether a message is sent. Its types and events are defined
//! in `src/api.rs`.
//!
//! In the ordinary case each destination (or each endpoint, where its kind says so) has a circuit breaker. A
//! free call slot, one of [`Settings::max_concurrent_calls`], goes to the waiting destination that was
//! dispatched to least recently. `docs/design.md` describes the exceptions. The policy does no I/O; the time
//! and the random seed are passed in.
//!
//! Comments and `tests/rules.rs` refer to the rules of delivery by these numbers:
//!
//! 1. Each message has exactly one final result, in time. After it, nothing more is sent for the message.
//! 2. No side effect happens twice. Once a non-idempotent message may have taken effect, it is not sent
//!    again. A message with an idempotency key is then sent again only within its deduplication window, and
//!    only to endpoints that drop the repeat.
//! 3. Nothing is sent to a draining or removed endpoint.
//! 4. A destination in slow start is not overloaded.
//! 5. Messages with the same order key are delivered in order, one at a time.
//! 6. A retry-after is obeyed.
//!
//! An attempt has taken effect if the endpoint has processed the message. It may still run if the endpoint
//! may process the message later.

mod admission;
mod call_rate;
mod circuit_breaker;
mod connection_reuse;
mod constants;
mod endpoint_list;
mod enqueue;
mod expiry;
mod load_shedding;
mod outcomes;
mod pacing;
mod records;
mod retry;
mod selection;
mod sending;
mod slow_start;
mod stuck_calls;

use crate::api::*;
use crate::time_slots::SlotAllocator;
use connection_reuse::{ConnectionLoss, ConnectionScarcity};
use constants::*;
use records::{Call, Destination, Destinations, Endpoint, KeyQueue, Message, QuotaBucket};
use retry::AttemptResult;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The delivery policy of one forwarder. Instances share no state, and the same events produce the same
/// actions.
#[derive(Default, Serialize, Deserialize)]
pub struct DeliveryPolicy {
    #[serde(rename = "s")]
    settings: Settings,
    endpoints: BTreeMap<EndpointId, Endpoint>,
    destinations: Destinations,
    messages: BTreeMap<MessageId, Message>,
    /// The calls in flight, by call number.
    calls: BTreeMap<u64, Call>,
    /// The calls that were answered by a response that may be a copy of an earlier one, by call number. They
    /// occupy no slot; the attempts of their messages are in flight.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    answered_calls: BTreeMap<u64, Call>,
    #[serde(rename = "lines")]
    order_keys: BTreeMap<OrderKey, KeyQueue>,
    /// The quota of each tenant, indexed by [`TenantId`].
    #[serde(rename = "buckets")]
    tenant_quotas: Vec<QuotaBucket>,
    /// The number of messages that are not complete.
    #[serde(rename = "open")]
    open_messages: usize,
    /// Mean time from the decision on a call to its success, over all endpoints, in microseconds.
    #[serde(rename = "latency")]
    mean_latency_us: f64,
    /// Indexed by [`ClassId`]: the average duration of a call, as a multiple of the mean latency of its
    /// endpoint.
    #[serde(rename = "paces")]
    class_durations: Vec<f64>,
    /// Indexed by [`KindId`].
    #[serde(rename = "crowded")]
    connection_scarcity: Vec<ConnectionScarcity>,
    #[serde(rename = "lost")]
    connection_loss: ConnectionLoss,
    next_call: u64,
    /// The number of calls dispatched so far.
    #[serde(rename = "next_slot")]
    dispatch_count: u64,
    /// Updates of the endpoint list arrive through a subscription, so it need not be polled.
    subscribed: bool,
    #[serde(rename = "ask_at")]
    next_poll_at: Micros,
    /// When the pending timer fires; `None` if no timer is pending.
    #[serde(rename = "armed")]
    timer_at: Option<Micros>,
    /// The earliest time for which the current step has requested another step; [`NEVER`] if it has requested
    /// none.
    #[serde(rename = "wake")]
    next_wake: Micros,
    #[serde(rename = "turns")]
    slots: SlotAllocator,
    /// Some endpoints or destinations are still kept although the endpoint list no longer names them.
    #[serde(rename = "leftovers")]
    retains_removed: bool,
    actions: Vec<Action>,
    /// The journal cannot be written, so no attempt may start.
    #[serde(rename = "unwritable")]
    journal_unwritable: bool,
}

impl DeliveryPolicy {
    /// Creates the policy of a forwarder that has received no event yet. The seed randomizes the times of its
    /// trial calls where the forwarder has no index in the fleet, so each forwarder needs its own seed.
    ///
    /// # Errors
    ///
    /// Returns an error if a setting is out of range.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.check()?;
        Ok(DeliveryPolicy {
            tenant_quotas: vec![QuotaBucket::full(); settings.tenants.len()],
            connection_scarcity: vec![ConnectionScarcity::default(); settings.kinds.len()],
            class_durations: vec![1.0; settings.classes.len()],
            mean_latency_us: INITIAL_LATENCY_US,
            slots: SlotAllocator::new(seed),
            settings,
            ..DeliveryPolicy::default()
        })
    }

    /// Processes a batch of events, then dispatches the messages that may be sent now. Appends to `actions`
    /// what the caller has to do. `now` must not be earlier than in the step before.
    pub fn step(&mut self, now: Micros, events: &[Event], actions: &mut Vec<Action>) {
        self.next_wake = NEVER;
        self.timer_at = self.timer_at.filter(|at| *at > now);
        for event in events {
            self.apply(now, event);
        }
        self.poll_endpoint_list(now);
        self.cancel_isolated_calls(now);
        self.abandon_undeliverable(now);
        self.shed_load(now);
        if !self.journal_unwritable {
            self.dispatch(now);
        }
        self.set_timer(now);
        actions.append(&mut self.actions);
    }

    /// Returns the status of each destination, for operators. Where each endpoint has its own circuit
    /// breaker, the status is that of the endpoint whose breaker is in the worst state.
    pub fn status(&self, now: Micros) -> impl Iterator<Item = DestinationStatus> + '_ {
        self.destinations.iter().map(move |(id, destination)| self.destination_status(now, *id, destination))
    }

    fn destination_status(
        &self,
        now: Micros,
        id: DestinationId,
        destination: &Destination,
    ) -> DestinationStatus {
        let per_endpoint = destination.endpoints.iter().filter(|_| destination.per_endpoint_breaker);
        let endpoints = per_endpoint.filter_map(|e| self.endpoints.get(e));
        let admissions = endpoints.map(|e| &e.admission).chain([&destination.admission]);
        let worst = admissions.max_by_key(|a| a.circuit.state).unwrap_or(&destination.admission);
        DestinationStatus {
            destination: id,
            breaker: worst.circuit.state,
            waiting: destination.waiting.len(),
            in_flight: self.calls.values().filter(|c| c.destination == id).count(),
            retry_after: worst.pacer.paused_until.saturating_sub(now),
            in_slow_start: worst.slow_start.is_active(),
            mean_latency_us: worst.mean_latency_us,
            rate_limit: worst.pacer.limit.current,
        }
    }

    /// Requests a step at the given time, unless an earlier one is already requested.
    fn wake_at(&mut self, at: Micros) {
        self.next_wake = self.next_wake.min(at);
    }

    /// Starts a timer for the next requested step, unless a pending timer fires in time.
    fn set_timer(&mut self, now: Micros) {
        if self.next_wake == NEVER || self.timer_at.is_some_and(|at| self.next_wake >= at) {
            return;
        }
        let at = self.next_wake.max(now + 1);
        self.timer_at = Some(at);
        self.actions.push(Action::Timer { delay: at - now, token: at });
    }

    fn apply(&mut self, now: Micros, event: &Event) {
        match event {
            Event::EndpointList(update) => self.on_endpoint_list(now, update),
            Event::Settings(settings) => self.settings = (**settings).clone(),
            Event::JournalStatus { writable } => self.journal_unwritable = !writable,
            Event::Message(message) => self.enqueue(now, message),
            Event::AttemptEnded { id, attempt, endpoint, outcome, elapsed, completes_message, report } => {
                self.observe_load_report(*endpoint, *report);
                if let Outcome::Rejected(Some(retry_after)) = outcome {
                    self.observe_retry_after(now, *endpoint, *retry_after);
                }
                let result = AttemptResult {
                    id: *id,
                    attempt: *attempt,
                    outcome: *outcome,
                    elapsed: *elapsed,
                    completes_message: *completes_message,
                };
                self.on_attempt_ended(now, result);
            }
            Event::CallAnswered { id, attempt, endpoint, outcome, elapsed, report } => {
                self.observe_load_report(*endpoint, *report);
                if let Outcome::Rejected(Some(retry_after)) = outcome {
                    self.observe_retry_after(now, *endpoint, *retry_after);
                }
                let result = AttemptResult {
                    id: *id,
                    attempt: *attempt,
                    outcome: *outcome,
                    elapsed: *elapsed,
                    completes_message: false,
                };
                self.on_call_answered(now, &result);
            }
            Event::RetryAfter { endpoint, retry_after } => {
                self.observe_retry_after(now, *endpoint, *retry_after);
            }
            Event::Withdrawn { id } => self.complete(*id),
            Event::ResponseStarted { .. } | Event::HealthChecked { .. } | Event::Timer { .. } => {}
        }
    }

    /// The idempotency of a message's class. A message that is no longer known counts as idempotent.
    fn idempotency(&self, id: MessageId) -> Idempotency {
        let class = self.messages.get(&id).map(|m| &self.settings.classes[m.class.0]);
        class.map_or(Idempotency::Idempotent, |class| class.idempotency)
    }
}

/// The longest timeout of an attempt whose route sets none, in microseconds. It is twice as long for a
/// non-idempotent message, because such a message cannot be retried after a timeout.
pub fn max_attempt_timeout(idempotency: Idempotency) -> Micros {
    ATTEMPT_TIMEOUT_MAX * if idempotency == Idempotency::NonIdempotent { 2 } else { 1 }
}

/// Whether the endpoint may still be processing an attempt that ended with this outcome.
fn may_still_run(outcome: Outcome) -> bool {
    matches!(outcome, Outcome::TimedOut | Outcome::Reset | Outcome::StaleConnection | Outcome::Cancelled)
}
