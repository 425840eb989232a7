//! Every decision on where, when and whether a message goes. Its types and events are in `src/api.rs`.
//!
//! The ordinary path: a circuit breaker for each destination (or for each endpoint of it, by its kind), and a
//! free call slot for the waiting destination that was dispatched to least recently. `docs/design.md` says
//! what departs from it. No I/O; time and chance come in as arguments.

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

/// The decisions of one forwarder. Instances share nothing; the same events give the same actions.
#[derive(Default, Serialize, Deserialize)]
pub struct DeliveryPolicy {
    #[serde(rename = "s")]
    settings: Settings,
    endpoints: BTreeMap<EndpointId, Endpoint>,
    destinations: Destinations,
    messages: BTreeMap<MessageId, Message>,
    /// The calls in flight, by number.
    calls: BTreeMap<u64, Call>,
    #[serde(rename = "lines")]
    order_keys: BTreeMap<OrderKey, KeyQueue>,
    /// By tenant.
    #[serde(rename = "buckets")]
    tenant_quotas: Vec<QuotaBucket>,
    /// Messages that are not complete.
    #[serde(rename = "open")]
    open_messages: usize,
    /// Over all endpoints.
    #[serde(rename = "latency")]
    mean_latency_us: f64,
    /// By class: how long a call lasts, as a multiple of its endpoint's mean latency.
    #[serde(rename = "paces")]
    class_durations: Vec<f64>,
    /// By kind of destination.
    #[serde(rename = "crowded")]
    connection_scarcity: Vec<ConnectionScarcity>,
    #[serde(rename = "lost")]
    connection_loss: ConnectionLoss,
    next_call: u64,
    /// Calls dispatched so far.
    #[serde(rename = "next_slot")]
    dispatch_count: u64,
    /// Updates of the endpoint list come by themselves.
    subscribed: bool,
    #[serde(rename = "ask_at")]
    next_poll_at: Micros,
    /// When the timer fires that was asked for last.
    #[serde(rename = "armed")]
    timer_at: Option<Micros>,
    /// When the next step is due without any event, as far as this one knows.
    #[serde(rename = "wake")]
    next_wake: Micros,
    #[serde(rename = "turns")]
    slots: SlotAllocator,
    /// Something is kept that the endpoint list does not name any more.
    #[serde(rename = "leftovers")]
    keeps_removed: bool,
    actions: Vec<Action>,
    /// Nothing can be journaled: no attempt may begin.
    #[serde(rename = "unwritable")]
    journal_unwritable: bool,
}

impl DeliveryPolicy {
    /// A forwarder that has seen nothing yet. The seed spreads its trial calls; give each forwarder its own.
    ///
    /// # Errors
    ///
    /// If the settings make no sense.
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

    /// Takes a batch of events, then sends what may go; appends what the caller is to do.
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

    /// What operators are shown of each destination; where each endpoint has its own breaker, the worst one.
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
        let all = endpoints.map(|e| &e.admission).chain([&destination.admission]);
        let worst = all.max_by_key(|a| a.circuit.state).unwrap_or(&destination.admission);
        DestinationStatus {
            destination: id,
            breaker: worst.circuit.state,
            waiting: destination.waiting.len(),
            in_flight: self.calls.values().filter(|c| c.destination == id).count(),
            retry_after: worst.pacer.paused_until.saturating_sub(now),
            warming_up: worst.slow_start.is_active(),
            latency: worst.mean_latency_us,
            limit: worst.pacer.limit.current,
        }
    }

    /// Asks for a step at a time, unless one is due sooner.
    fn wake_at(&mut self, at: Micros) {
        self.next_wake = self.next_wake.min(at);
    }

    /// Asks for a timer, unless one fires in time.
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
            Event::AttemptEnded { id, attempt, endpoint, outcome, elapsed, ended, report } => {
                self.observe_load_report(*endpoint, *report);
                if let Outcome::Rejected(Some(retry_after)) = outcome {
                    self.observe_retry_after(now, *endpoint, *retry_after);
                }
                let result = AttemptResult {
                    id: *id,
                    attempt: *attempt,
                    outcome: *outcome,
                    elapsed: *elapsed,
                    completes_message: *ended,
                };
                self.on_attempt_ended(now, result);
            }
            Event::RetryAfter { endpoint, retry_after } => {
                self.observe_retry_after(now, *endpoint, *retry_after);
            }
            Event::Withdrawn { id } => self.complete(*id),
            Event::Started { .. } | Event::HealthChecked { .. } | Event::Timer { .. } => {}
        }
    }

    /// What a repeat of a message may do; of one that is not known any more, nothing.
    fn idempotency(&self, id: MessageId) -> Idempotency {
        let class = self.messages.get(&id).map(|m| &self.settings.classes[m.class.0]);
        class.map_or(Idempotency::Idempotent, |class| class.idempotency)
    }
}

/// The longest timeout of an attempt where its route says nothing. It is twice as long for a non-idempotent
/// message, which is lost when its attempt times out.
pub fn max_attempt_timeout(idempotency: Idempotency) -> Micros {
    ATTEMPT_TIMEOUT_MAX * if idempotency == Idempotency::NonIdempotent { 2 } else { 1 }
}

/// The attempt may still be running.
fn may_still_run(outcome: Outcome) -> bool {
    matches!(outcome, Outcome::TimedOut | Outcome::Reset | Outcome::StaleConnection | Outcome::Cancelled)
}
