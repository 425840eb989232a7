//! Calls that are out for too long: which are called off, and which endpoints get nothing more.

use super::state::{Call, Endpoint};
use super::tuning::*;
use super::DeliveryPolicy;
use crate::api::*;

impl DeliveryPolicy {
    /// All slots are taken and a destination that answers waits: calls off the one call that is overdue by
    /// most where nothing has answered since it was sent.
    pub(super) fn make_room(&mut self, now: Micros) {
        if !self.s.may_cancel || self.calls.values().any(|c| c.called_off) {
            return;
        }
        let late = |c: &Call| self.overdue(now, c).filter(|by| *by > CALL_OFF.0 && !self.answered_since(c));
        match self.calls.iter().filter_map(|(n, c)| Some((late(c)?, *n))).max_by(|a, b| a.0.total_cmp(&b.0)) {
            Some((_, number)) => self.call_off(number),
            // Look again soon: a call becomes overdue without any event.
            None => self.wake_at(now + SUSPECT.1 / 2),
        }
    }

    /// Calls off what is long overdue at an endpoint that has answered what was sent later: it hangs on its
    /// connection alone, and would keep a slot and its messages up to the cut.
    pub(super) fn release(&mut self, now: Micros) {
        let late = |c: &Call| self.overdue(now, c).filter(|_| self.s.may_cancel && self.answered_since(c));
        let late: Vec<_> = self.calls.iter().filter_map(|(n, c)| Some((late(c)?, *n))).collect();
        if !late.is_empty() {
            self.wake_at(now + SUSPECT.1 / 4);
        }
        late.iter().filter(|l| l.0 > CALL_OFF.1).for_each(|l| self.call_off(l.1));
    }

    pub(super) fn call_off(&mut self, number: u64) {
        let call = self.calls.get_mut(&number).unwrap();
        call.called_off = true;
        self.actions.extend(call.parts.iter().map(|p| Action::Cancel { id: p.0, attempt: p.1 }));
    }

    /// Something that was sent to its endpoint after this call was answered.
    pub(super) fn answered_since(&self, c: &Call) -> bool {
        self.endpoints.get(&c.endpoint).is_some_and(|e| c.sent < e.breaker.ok_sent)
    }

    /// For how many times the patience a call is out; long work has more, and so has unsafe work.
    pub(super) fn overdue(&self, now: Micros, c: &Call) -> Option<f64> {
        let ep = self.endpoints.get(&c.endpoint).filter(|_| !c.called_off)?;
        let risky = c.parts.iter().any(|p| self.effect(p.0) == Idempotency::NonIdempotent);
        let paces = c.parts.iter().filter_map(|p| Some(self.paces[self.messages.get(&p.0)?.class.0]));
        let allowed = paces.fold(1.0, f64::max) * if risky { SUSPECT.2 } else { 1.0 };
        Some((now - c.sent) as f64 / (self.patience(ep) as f64 * allowed))
    }

    /// Two calls to this endpoint are out for too long and nothing sent after them was answered: a hang, a
    /// silence or a crawl. Nothing more goes there until they end, so that others keep the slots.
    pub(super) fn stalled(&self, now: Micros, e: EndpointId) -> bool {
        let Some(ep) = self.endpoints.get(&e) else { return false };
        let late = |c: &&Call| c.sent >= ep.breaker.ok_sent && now - c.sent > self.patience(ep);
        self.calls.values().filter(|c| c.endpoint == e).filter(late).count() > 1
    }

    pub(super) fn mean_latency(&self, ep: &Endpoint) -> f64 {
        let shared = self.destinations.get(&ep.entry.destination).and_then(|d| d.breaker.latency);
        ep.breaker.latency.or(shared).unwrap_or(self.latency)
    }

    pub(super) fn patience(&self, ep: &Endpoint) -> Micros {
        ((self.mean_latency(ep) * SUSPECT.0) as Micros).max(SUSPECT.1)
    }
}
