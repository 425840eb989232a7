//! When a message is over: what can no longer be delivered, what is given up to keep room, and what waiting
//! costs.

use super::breaker::Breaker;
use super::state::{Destination, Message};
use super::tuning::*;
use super::DeliveryPolicy;
use crate::api::*;
use crate::routes::Timing;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

impl DeliveryPolicy {
    /// What our own file says of a message's attempts.
    pub(super) fn timing(&self, m: &Message) -> Timing {
        let kind = |d| self.destinations.get(&d).and_then(|d: &Destination| d.kind);
        let plan = self.s.routes.as_ref();
        plan.map_or(Timing::default(), |p| p.timing(m.destination, kind(m.destination), m.class))
    }

    /// The time at which a message is over; not put off any more once its last attempt has run up to it.
    pub(super) fn end_of(&self, m: &Message) -> Micros {
        let end = self.timing(m).ends_at(m.born, m.deadline);
        m.last_until.map_or(end, |t| end.min(t))
    }

    /// The time up to which a message may still be sent.
    pub(super) fn last_send(&self, m: &Message) -> Micros {
        let class = &self.s.classes[m.class.0];
        let end = self.end_of(m).saturating_sub(HOPELESS + 2 * self.s.min_step_interval);
        match (class.idempotency, m.may_have_run) {
            (_, None) | (Idempotency::Idempotent, _) => end,
            (Idempotency::WithKey, Some((t, _))) => {
                end.min(t + class.deduplication_window.saturating_sub(self.s.min_step_interval))
            }
            (Idempotency::NonIdempotent, Some(_)) => 0,
        }
    }

    /// Nothing more is owed for a message.
    pub(super) fn end(&mut self, id: MessageId) {
        let Some(m) = self.messages.get_mut(&id).filter(|m| !m.over) else { return };
        m.over = true;
        self.open -= 1;
        self.bury(id);
    }

    /// Forgets a message that is over once none of its attempts is out; its key's next one has the turn.
    pub(super) fn bury(&mut self, id: MessageId) {
        let Some(m) = self.messages.get(&id) else { return };
        if let Some(d) = self.destinations.get_mut(&m.destination) {
            d.waiting.retain(|w| *w != id);
        }
        if m.out.is_some() {
            return;
        }
        if let Some(line) = m.key.and_then(|k| self.lines.get_mut(&k)) {
            line.queue.retain(|w| *w != id);
        }
        self.messages.remove(&id);
    }

    /// Gives the final answer to a message that is given up: the one place that refuses or fails (rule 2:
    /// refused only if no attempt may have run, or if it is safe to repeat).
    pub(super) fn give_up(&mut self, now: Micros, id: MessageId, reason: AbandonReason) {
        let Some(m) = self.messages.get(&id).filter(|m| !m.over && m.out.is_none()) else { return };
        if m.may_have_run.is_none() || self.effect(id) == Idempotency::Idempotent {
            let wait = self.expected_wait(now, m.destination).min(self.s.max_retry_after);
            let retry_after = (self.s.may_send_retry_after && wait > 0).then_some(wait);
            self.actions.push(Action::Reject { id, retry_after, reason });
        } else {
            self.actions.push(Action::Fail { id, reason });
        }
        self.end(id);
    }

    /// Ends what can no longer be delivered, at once.
    pub(super) fn sweep(&mut self, now: Micros) {
        self.lines.retain(|_, l| !l.queue.is_empty() || now < l.rest_until);
        let (mut lost, mut wake) = (Vec::new(), NEVER);
        for (id, m) in self.messages.iter().filter(|(_, m)| !m.over && m.out.is_none()) {
            let end = self.last_send(m);
            let blocked = self.destinations.get(&m.destination).map_or(0, |d| self.blocked_until(d));
            let spent = m.attempts - m.unsent >= self.timing(m).max_attempts(self.s.max_attempts);
            let reason = match () {
                () if now >= end => Some(AbandonReason::DeadlineExceeded),
                () if spent => Some(AbandonReason::AttemptsExhausted),
                () if blocked >= end => Some(AbandonReason::DestinationUnavailable),
                () => None,
            };
            if let Some(reason) = reason {
                lost.push((*id, reason));
            } else {
                let rest = m.key.and_then(|k| self.lines.get(&k)).map_or(0, |l| l.rest_until);
                let rest = rest.max(m.rest_until);
                wake = wake.min(if rest > now { rest.min(end) } else { end });
            }
        }
        self.wake_at(wake);
        for (id, reason) in lost {
            self.give_up(now, id, reason);
        }
    }

    /// Keeps room for what comes in: beyond it, what is expected to earn least is refused at once.
    pub(super) fn shed(&mut self, now: Micros) {
        let room =
            self.s.max_open_messages - (self.s.max_open_messages / RESERVE).min(self.s.max_open_messages - 1);
        while self.open > room {
            // What a restart found was taken on long ago: its client does not come again unasked.
            let may_go = |m: &Message| !m.over && m.out.is_none() && !m.restored;
            let held = || self.messages.iter().filter(|(_, m)| may_go(m));
            let to: BTreeSet<_> = held().map(|(_, m)| m.destination).collect();
            let waits: BTreeMap<_, _> = to.iter().map(|d| (*d, self.expected_wait(now, *d))).collect();
            let earns = |m: &Message| (self.worth_at(m, now + waits[&m.destination]) * GRAIN) as i64;
            let least = held().map(|(id, m)| (earns(m), Reverse(*id))).min();
            let Some((_, Reverse(id))) = least else { break };
            self.give_up(now, id, AbandonReason::CapacityExceeded);
        }
    }

    /// Until when nothing at all can go to a destination.
    pub(super) fn blocked_until(&self, d: &Destination) -> Micros {
        let of =
            |b: &Breaker| b.wait_until.max(if b.status == BreakerState::Open { b.next_attempt } else { 0 });
        if d.apart {
            let known = d.endpoints.iter().filter_map(|e| self.endpoints.get(e));
            let listed = known.filter(|e| e.entry.lifecycle == Lifecycle::Listed);
            listed.map(|e| of(&e.breaker)).min().unwrap_or(0)
        } else {
            of(&d.breaker)
        }
    }

    /// A guess of how long a new message for a destination would wait.
    pub(super) fn expected_wait(&self, now: Micros, id: DestinationId) -> Micros {
        let of = |d| self.blocked_until(d).saturating_sub(now) + self.drain_time(now, d);
        self.destinations.get(&id).map_or(0, of)
    }

    pub(super) fn drain_time(&self, now: Micros, d: &Destination) -> Micros {
        let listed = d.endpoints.iter().filter_map(|e| self.endpoints.get(e));
        let rate = if d.apart {
            listed.map(|e| e.breaker.clone().rate(now, &self.s)).sum::<f64>() * d.per_call as f64
        } else {
            d.breaker.clone().rate(now, &self.s)
        };
        (d.waiting.len() as f64 / rate.max(0.1) * SECOND as f64) as Micros
    }

    /// Worth of a message if it were answered at a time.
    pub(super) fn worth_at(&self, m: &Message, at: Micros) -> f64 {
        let c = &self.s.classes[m.class.0];
        let age = at.saturating_sub(m.born);
        if age <= c.latency_objective {
            return m.worth;
        } else if at >= m.deadline {
            return 0.0;
        }
        let late = (age - c.latency_objective) as f64;
        let left = match self.s.decay {
            Decay::Linear => {
                1.0 - (1.0 - c.weight_at_deadline) * late / (c.deadline - c.latency_objective).max(1) as f64
            }
            Decay::Halving => 0.5f64.powf(late / c.latency_objective.max(1) as f64).max(c.weight_at_deadline),
        };
        m.worth * left
    }
}
