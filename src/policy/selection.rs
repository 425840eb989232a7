//! Which message goes next, and where: a free slot goes to the waiting destination with the least recent slot
//! time.

use super::breaker::Gate;
use super::state::{destination, Call, Endpoint, KeyLine};
use super::tuning::*;
use super::{longest_cut, DeliveryPolicy};
use crate::api::*;
use crate::routes::Timing;
use std::collections::BTreeSet;

impl DeliveryPolicy {
    /// A free slot goes to the waiting destination with the least recent slot time.
    pub(super) fn dispatch(&mut self, now: Micros) {
        let waiting = self.messages.values().filter(|m| !m.over && m.out.is_none()).map(|m| m.destination);
        let mut order: BTreeSet<_> = waiting.map(|d| (self.destinations[&d].last_slot, d)).collect();
        while let Some((_, id)) = order.pop_first() {
            let Some((e, first, trial)) = self.pick(now, id) else { continue };
            if self.calls.len() >= self.s.max_concurrent_calls {
                self.make_room(now);
                return;
            }
            self.send(now, id, e, first, trial);
            self.next_slot += 1;
            let d = destination(&mut self.destinations, now, id);
            d.last_slot = self.next_slot;
            if !d.waiting.is_empty() {
                order.insert((self.next_slot, id));
            }
        }
    }

    /// The next call to a destination, if its breaker, pace and endpoints allow one.
    pub(super) fn pick(&mut self, now: Micros, id: DestinationId) -> Option<(EndpointId, MessageId, bool)> {
        let d = self.destinations.get_mut(&id)?;
        let (ids, apart) = (d.endpoints.clone(), d.apart);
        let (mut whole_trial, mut careful) = (false, false);
        if !apart {
            match d.breaker.pass(now, &self.s) {
                Gate::Until(at) => {
                    self.wake_at(at);
                    return None;
                }
                gate => whole_trial = gate == Gate::Trial,
            }
            careful = d.breaker.suspect();
            if !whole_trial && careful && self.calls.values().any(|c| c.destination == id) {
                return None;
            }
        }
        let mut candidates = Vec::new();
        for e in &ids {
            let stalled = self.stalled(now, *e);
            let busy = self.calls.values().filter(|c| c.endpoint == *e).count();
            let Some(ep) = self.endpoints.get_mut(e) else { continue };
            if ep.entry.lifecycle != Lifecycle::Listed {
                continue;
            }
            let b = &mut ep.breaker;
            let paced = apart || b.outage || b.cold_since.is_some();
            let mut trial = whole_trial;
            if !paced {
                // What was called while nothing paced it is no debt: it would be paid off after an outage.
                b.tokens = b.tokens.max(0.0);
            }
            match if paced { b.pass(now, &self.s) } else { b.gate(now) } {
                Gate::Until(at) if !whole_trial => {
                    self.wake_at(at);
                    continue;
                }
                gate => trial |= gate == Gate::Trial,
            }
            let suspect = ep.breaker.suspect();
            if !whole_trial && (stalled || suspect && !trial && busy > 0) {
                continue;
            }
            // A trial of the whole destination goes to any endpoint, the least suspect first.
            let crossing = self.s.cross_zone_cost > 0.0 && ep.entry.zone != self.s.zone;
            let toll =
                self.s.zone_costs.get(ep.entry.zone.0).filter(|_| apart).map_or(0, |t| (t * GRAIN) as i64);
            let load = 4 * ep.breaker.failure_count.min(9) as usize + 2 * busy + usize::from(crossing);
            candidates.push(((toll, load, NEVER - ep.last_used, *e), trial, trial || careful || suspect));
        }
        candidates.sort();
        let first = |c: ((_, _, _, EndpointId), bool, bool)| {
            Some((c.0 .3, self.choose(now, id, c.0 .3, c.2, None)?, c.1))
        };
        candidates.into_iter().find_map(first)
    }

    /// The message that gains most by going now: by worth lost over the time that the queue takes; while a
    /// destination is suspect, the cheapest to lose first. A call holds only messages of one time-out.
    pub(super) fn choose(
        &self,
        now: Micros,
        id: DestinationId,
        e: EndpointId,
        careful: bool,
        like: Option<Timing>,
    ) -> Option<MessageId> {
        let d = &self.destinations[&id];
        let horizon = self.drain_time(now, d).clamp(HORIZON.0, HORIZON.1);
        let rank = |w: &&MessageId| {
            let m = &self.messages[w];
            let effect =
                if careful { self.s.classes[m.class.0].idempotency } else { Idempotency::Idempotent };
            let (value, later) = (self.worth_at(m, now), self.worth_at(m, now + horizon));
            (effect, -((value - later + PRESENT * value) * GRAIN) as i64, m.deadline, **w)
        };
        let fits = |w: &MessageId| like.is_none_or(|t| self.timing(&self.messages[w]).timeout == t.timeout);
        d.waiting.iter().filter(|w| fits(w) && self.may_send(now, **w, e)).min_by_key(rank).copied()
    }

    /// The guard that every send passes: rules 1 (not over), 2 (no effect twice), 3 (drains), 5 (order)
    /// and 6 (told waits).
    pub(super) fn may_send(&self, now: Micros, id: MessageId, e: EndpointId) -> bool {
        let (Some(m), Some(ep)) = (self.messages.get(&id), self.endpoints.get(&e)) else { return false };
        let Some(d) = self.destinations.get(&m.destination) else { return false };
        let class = &self.s.classes[m.class.0];
        let scoped = class.idempotency == Idempotency::WithKey && class.dedup_scope == DedupScope::Zone;
        let in_scope = !scoped || m.may_have_run.is_none_or(|(_, z)| z.is_none_or(|z| z == ep.entry.zone));
        let front = |l: &KeyLine| l.queue.front() == Some(&id) && (now >= l.rest_until || m.attempts > 0);
        let due = m.key.and_then(|k| self.lines.get(&k)).is_none_or(front);
        let most = self.timing(m).max_attempts(self.s.max_attempts);
        let open = !m.over && m.out.is_none() && m.attempts - m.unsent < most && now < self.last_send(m);
        // A copy goes elsewhere, if there is an elsewhere.
        let well =
            |o: &Endpoint| o.entry.lifecycle == Lifecycle::Listed && o.breaker.status == BreakerState::Closed;
        let others = || d.endpoints.iter().filter(|o| **o != e).filter_map(|o| self.endpoints.get(o));
        let open = open && now >= m.rest_until && (m.avoid != Some(e) || !others().any(well));
        let listed = ep.entry.destination == m.destination && ep.entry.lifecycle == Lifecycle::Listed;
        let waited = now >= ep.breaker.wait_until && (d.apart || now >= d.breaker.wait_until);
        open && in_scope && due && listed && waited
    }

    pub(super) fn send(
        &mut self,
        now: Micros,
        id: DestinationId,
        e: EndpointId,
        first: MessageId,
        trial: bool,
    ) {
        let number = self.next_call;
        self.next_call += 1;
        // Booked against the pace and, if it is a trial, against the half breakers.
        self.endpoints.get_mut(&e).unwrap().last_used = now;
        for b in self.records(e) {
            b.tokens -= 1.0;
            b.trial |= trial;
        }
        let alone = self.calls.values().all(|c| c.endpoint != e);
        let mut reused = alone.then(|| self.endpoints[&e].reusable);
        if reused == Some(true) && self.lost[1] - self.lost[0] > STALE.0 {
            self.actions.push(Action::CloseIdle { endpoint: e });
            reused = Some(false);
        }
        let most = if trial { 1 } else { self.destinations[&id].per_call };
        let ep = &self.endpoints[&e];
        let (zone, mean) = (ep.entry.zone, self.mean_latency(ep));
        let mut next = Some(first);
        let mut parts = Vec::new();
        while let Some(m) = next {
            let (timing, end) = (self.timing(&self.messages[&m]), self.end_of(&self.messages[&m]));
            let send_by = self.last_send(&self.messages[&m]);
            let message = self.messages.get_mut(&m).unwrap();
            let longest = longest_cut(self.s.classes[message.class.0].idempotency);
            let adaptive = ((mean * CUT.0) as Micros).clamp(CUT.1, CUT.2) * (longest / CUT.2);
            let up = end.saturating_sub(self.s.min_step_interval);
            let cut_at = (now + timing.attempt_timeout(adaptive)).min(up);
            let last = cut_at == up;
            message.last_until = last.then_some(end);
            message.out = Some((message.attempts, number));
            parts.push((m, message.attempts));
            message.attempts += 1;
            message.sent_zone = zone;
            self.destinations.get_mut(&id).unwrap().waiting.retain(|w| *w != m);
            self.actions.push(Action::Send {
                id: m,
                endpoint: e,
                call: number,
                timeout_at: cut_at,
                send_by,
                final_attempt: last,
            });
            let like = Some(timing);
            next = if parts.len() < most { self.choose(now, id, e, false, like) } else { None };
        }
        let call = Call { endpoint: e, destination: id, sent: now, trial, parts, reused, ..Call::default() };
        self.calls.insert(number, call);
    }
}
