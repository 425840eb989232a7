//! Every decision on where, when and whether a message goes. Its types and events are in `src/api.rs`.
//!
//! The ordinary path: a closed/open/half breaker for each destination (each route where they are apart), and
//! a free slot for the waiting destination with the least recent slot time. `docs/design.md`: what departs.
//! No I/O; time
//! and chance come in as arguments.

mod breaker;
mod ending;
mod list;
mod overdue;
mod results;
mod selection;
mod state;
mod tuning;

use crate::api::*;
use crate::time_slots::Turns;
use breaker::Breaker;
use serde::{Deserialize, Serialize};
use state::{destination, Call, Destinations, Endpoint, KeyLine, Message};
use std::collections::BTreeMap;
use tuning::*;

/// The decisions of one sender. Instances share nothing; the same events give the same actions.
#[derive(Default, Serialize, Deserialize)]
pub struct DeliveryPolicy {
    s: Settings,
    endpoints: BTreeMap<EndpointId, Endpoint>,
    destinations: Destinations,
    messages: BTreeMap<MessageId, Message>,
    calls: BTreeMap<u64, Call>,
    lines: BTreeMap<OrderKey, KeyLine>,
    buckets: Vec<(f64, Micros)>, // For each tenant, what is left of its share, and when that was reckoned
    open: usize,
    latency: f64,
    paces: Vec<f64>, // For each class, how long a call lasts as a multiple of its endpoint's mean
    crowded: Vec<(f64, f64)>, // For each kind: share of calls that got no connection; memory that most did
    lost: [f64; 2],  // Share of calls unanswered on fresh and on reused connections
    next_call: u64,
    next_slot: u64,
    subscribed: bool,
    ask_at: Micros,
    armed: Option<Micros>,
    wake: Micros,
    turns: Turns,
    leftovers: bool, // Something is kept that the list does not name any more
    actions: Vec<Action>,
    unwritable: bool, // What outlasts the process cannot be written: no attempt may begin
}

impl DeliveryPolicy {
    /// A forwarder that knows nothing yet. The seed spreads its trials; give each forwarder its own.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.check()?;
        let buckets = vec![(f64::MAX, 0); settings.tenants.len()];
        let crowded = vec![(0.0, 0.0); settings.kinds.len()];
        let paces = vec![1.0; settings.classes.len()];
        let known = DeliveryPolicy { s: settings, buckets, crowded, paces, ..DeliveryPolicy::default() };
        Ok(DeliveryPolicy { latency: FIRST_LATENCY, turns: Turns::new(seed), ..known })
    }

    /// Takes a batch of events, then makes one dispatch pass.
    pub fn step(&mut self, now: Micros, events: &[Event], actions: &mut Vec<Action>) {
        self.wake = NEVER;
        self.armed = self.armed.filter(|t| *t > now);
        for event in events {
            self.take(now, event);
        }
        self.ask(now);
        self.release(now);
        self.sweep(now);
        self.shed(now);
        if !self.unwritable {
            self.dispatch(now);
        }
        if self.wake != NEVER && self.armed.is_none_or(|t| self.wake < t) {
            let at = self.wake.max(now + 1);
            self.armed = Some(at);
            self.actions.push(Action::Timer { delay: at - now, token: at });
        }
        actions.append(&mut self.actions);
    }

    /// What operators are shown of each destination; of routes apart, the worst.
    pub fn shown(&self, now: Micros) -> impl Iterator<Item = DestinationStatus> + '_ {
        self.destinations.iter().map(move |(id, d)| {
            let apart = d.endpoints.iter().filter(|_| d.apart).filter_map(|e| self.endpoints.get(e));
            let all = apart.map(|e| &e.breaker).chain([&d.breaker]);
            let b = all.max_by_key(|b| b.status).unwrap_or(&d.breaker);
            let out = self.calls.values().filter(|c| c.destination == *id).count();
            let (held, wait, cold) =
                (d.waiting.len(), b.wait_until.saturating_sub(now), b.cold_since.is_some());
            let (destination, status, latency, limit) = (*id, b.status, b.latency, b.limit.current);
            DestinationStatus {
                destination,
                breaker: status,
                waiting: held,
                in_flight: out,
                retry_after: wait,
                warming_up: cold,
                latency,
                limit,
            }
        })
    }

    fn wake_at(&mut self, at: Micros) {
        self.wake = self.wake.min(at);
    }

    fn take(&mut self, now: Micros, event: &Event) {
        match event {
            Event::EndpointList(news) => self.take_list(now, news),
            Event::Settings(settings) => self.s = (**settings).clone(),
            Event::JournalStatus { writable } => self.unwritable = !writable,
            Event::Message(m) => self.take_message(now, m),
            Event::AttemptEnded { id, attempt, endpoint, outcome, elapsed, ended, report } => {
                self.hear(now, *endpoint, *outcome, *report);
                self.take_result(now, (*id, *attempt), *outcome, *elapsed, *ended);
            }
            Event::RetryAfter { endpoint, retry_after: wait } => {
                self.hear(now, *endpoint, Outcome::Rejected(Some(*wait)), None)
            }
            Event::Withdrawn { id } => self.end(*id),
            Event::Started { .. } | Event::HealthChecked { .. } | Event::Timer { .. } => {}
        }
    }

    fn take_message(&mut self, now: Micros, m: &NewMessage) {
        if self.messages.contains_key(&m.id) || m.class.0 >= self.s.classes.len() {
            return;
        }
        let class = &self.s.classes[m.class.0];
        let deadline = now.saturating_add(m.time_left);
        // Less time left than the aim: wanted only for so long, and no repeat unless it says so.
        let first = !m.failed_over
            && !m.client_retry
            && (self.s.clients_mark_retries || m.time_left <= class.latency_objective);
        let born = if first { now } else { deadline.saturating_sub(class.deadline) };
        let mut worth = class.priority_weight;
        if let Some(tenant) = m.tenant.filter(|t| t.0 < self.buckets.len()) {
            let per_us = self.s.tenants[tenant.0].quota_per_s / self.s.forwarders as f64 / SECOND as f64;
            let b = &mut self.buckets[tenant.0];
            *b = ((b.0 + per_us * (now - b.1) as f64).min(1.0 + per_us * SECOND as f64), now);
            if b.0 >= 1.0 {
                b.0 -= 1.0;
            } else {
                worth *= self.s.over_quota_weight;
            }
        }
        // A dead forwarder's keyed message counts as sent when first handed in, unless its journal tells
        // more.
        let may_have_run =
            (m.failed_over && class.idempotency == Idempotency::WithKey).then_some((born, None));
        let may_have_run = m.first_attempt.map(|(at, zone)| (at, Some(zone))).or(may_have_run);
        let key = m.key.filter(|_| class.ordered);
        if let Some(k) = key {
            self.lines.entry(k).or_default().queue.push_back(m.id);
        }
        let d = destination(&mut self.destinations, now, m.destination);
        d.waiting.push(m.id);
        let part = if d.apart { 1.0 / d.endpoints.len().max(1) as f64 } else { 1.0 };
        let longest = self.s.slow_start;
        let asked = |b: &mut Breaker| {
            b.asked.count(part, now - b.asked.at, longest);
            b.asked.at = now;
        };
        asked(&mut d.breaker);
        for e in &d.endpoints {
            self.endpoints.get_mut(e).into_iter().for_each(|e| asked(&mut e.breaker));
        }
        let known =
            Message { class: m.class, worth, key, born, deadline, may_have_run, ..Message::default() };
        let known = Message { restored: m.restored, ..known };
        let (destination, attempts) = (m.destination, m.attempts);
        self.messages.insert(m.id, Message { destination, attempts, ..known });
        self.open += 1;
    }

    fn effect(&self, id: MessageId) -> Idempotency {
        self.messages.get(&id).map_or(Idempotency::Idempotent, |m| self.s.classes[m.class.0].idempotency)
    }
}

/// The longest that an attempt may be out where its route says nothing; an unsafe one is lost when it is cut.
pub fn longest_cut(effect: Idempotency) -> Micros {
    CUT.2 * if effect == Idempotency::NonIdempotent { 2 } else { 1 }
}

/// The attempt may still be running.
fn unsure(outcome: Outcome) -> bool {
    matches!(outcome, Outcome::TimedOut | Outcome::Reset | Outcome::StaleConnection | Outcome::Cancelled)
}
