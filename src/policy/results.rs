//! How calls came out: what that says of breakers, pace, connections and the message.

use super::breaker::Breaker;
use super::state::destination;
use super::tuning::*;
use super::{unsure, DeliveryPolicy};
use crate::api::*;

impl DeliveryPolicy {
    /// What any answer tells of its limit and of a wait. Rule 6: a told wait binds in any state, and each
    /// part of a call may tell its own. One millisecond more makes up for what was cut off.
    pub(super) fn hear(&mut self, now: Micros, id: EndpointId, outcome: Outcome, report: Option<LoadReport>) {
        for b in self.records(id) {
            b.limit.observe(report);
            if let Outcome::Rejected(Some(wait)) = outcome {
                b.wait_until = b.wait_until.max(now.saturating_add(wait + MS));
            }
        }
    }

    /// The records that an outcome at an endpoint counts for: its own and, unless routes are apart, that of
    /// its destination.
    pub(super) fn records(&mut self, id: EndpointId) -> impl Iterator<Item = &mut Breaker> {
        let e = self.endpoints.get_mut(&id);
        let of = e.as_ref().map(|e| e.entry.destination);
        let d = of.and_then(|d| self.destinations.get_mut(&d)).filter(|d| !d.apart);
        e.map(|e| &mut e.breaker).into_iter().chain(d.map(|d| &mut d.breaker))
    }

    pub(super) fn take_result(
        &mut self,
        now: Micros,
        of: (MessageId, u32),
        outcome: Outcome,
        took: Micros,
        end: bool,
    ) {
        let (id, attempt) = of;
        let Some(m) = self.messages.get_mut(&id) else { return };
        let Some((_, number)) = m.out.filter(|o| o.0 == attempt) else { return };
        m.out = None;
        let (class, unsure) = (m.class.0, unsure(outcome));
        let (mut sent, mut endpoint) = (now, None);
        if let Some(call) = self.calls.get_mut(&number) {
            (sent, endpoint) = (call.sent, Some(call.endpoint));
            call.parts.retain(|p| p.0 != id);
            let (endpoint, trial, first, reused) = (call.endpoint, call.trial, !call.judged, call.reused);
            let (to, gone) = (call.destination, !self.endpoints.contains_key(&endpoint));
            call.judged = true;
            if call.parts.is_empty() {
                self.calls.remove(&number);
            }
            if let (Outcome::Rejected(Some(wait)), true) = (outcome, gone) {
                // The endpoint has left since; what it told binds its destination, unless routes are apart.
                let d = destination(&mut self.destinations, now, to);
                let until = if d.apart { 0 } else { now.saturating_add(wait + MS) };
                d.breaker.wait_until = d.breaker.wait_until.max(until);
            }
            if first {
                let answered = self.endpoints.get(&endpoint).filter(|_| outcome == Outcome::Ok);
                let ratio = answered.map(|e| (took as f64 / self.mean_latency(e)).min(SUSPECT.0));
                let pace = &mut self.paces[class];
                *pace += LATENCY_GAIN * (ratio.unwrap_or(*pace) - *pace);
                self.judge(now, endpoint, outcome, (sent, trial), took);
                self.learn_connection(endpoint, outcome, reused);
            }
        }
        let m = self.messages.get_mut(&id).unwrap();
        if (unsure || outcome == Outcome::Error) && m.may_have_run.is_none() {
            m.may_have_run = Some((sent, Some(m.sent_zone)));
        }
        if let Some(line) = m.key.filter(|_| unsure).and_then(|k| self.lines.get_mut(&k)) {
            line.rest_until = line.rest_until.max(now + self.s.order_key_pause);
        }
        if m.over {
            self.bury(id);
        } else if end || outcome == Outcome::Ok {
            self.end(id);
        } else {
            let timing = self.timing(&self.messages[&id]);
            let m = self.messages.get_mut(&id).unwrap();
            m.last_until = m.last_until.filter(|_| outcome == Outcome::TimedOut);
            m.unsent += u32::from(outcome == Outcome::NotJournaled);
            if !matches!(outcome, Outcome::NotSent | Outcome::NotJournaled) {
                let cut = matches!(outcome, Outcome::TimedOut | Outcome::Cancelled);
                m.rest_until = timing.next_attempt(m.attempts, sent, now, cut);
                m.avoid = endpoint.filter(|_| cut && timing.hedge_after.is_some());
            }
            destination(&mut self.destinations, now, m.destination).waiting.push(id);
        }
    }

    pub(super) fn judge(
        &mut self,
        now: Micros,
        id: EndpointId,
        outcome: Outcome,
        call: (Micros, bool),
        took: Micros,
    ) {
        let to = self.endpoints.get(&id).map_or(0, |e| e.entry.destination.0);
        let turn = self.turns.at(now.saturating_add(self.s.wall_clock_offset), self.s.forwarder_index, to);
        let (sent, trial) = call;
        let (s, all, took) = (std::mem::take(&mut self.s), self.latency, took as f64);
        let mut log = Vec::new();
        for b in self.records(id) {
            b.trial &= !trial;
            let before = b.status;
            b.ok_sent = b.ok_sent.max(if outcome == Outcome::Ok { sent } else { 0 });
            // What was sent later was answered: its connection is dead or its work long, not the endpoint.
            let alone = matches!(outcome, Outcome::TimedOut | Outcome::Cancelled) && sent < b.ok_sent;
            match outcome {
                _ if alone => {}
                Outcome::Ok => b.succeed(now, &s),
                Outcome::Rejected(told) => b.refused(now, sent, told.is_some(), trial, &s, turn),
                // A connection that was dead already says nothing of the destination; the next call does.
                Outcome::NotSent | Outcome::NotJournaled | Outcome::StaleConnection => {}
                _ => b.fail(now, trial, &s, turn, outcome == Outcome::Reset),
            };
            let mean = b.latency.unwrap_or(all);
            if outcome == Outcome::Ok || outcome == Outcome::TimedOut && took > mean && !alone {
                b.latency = Some(mean + LATENCY_GAIN * (took - mean));
            }
            if before != b.status && b.status != BreakerState::HalfOpen {
                let (state, count) = (b.status, b.failure_count);
                log.push(format!("breaker {state:?}: at {} failures {count}: {outcome:?}", id.0));
            }
        }
        self.s = s;
        self.actions.extend(log.pop().map(Action::Log));
        if outcome == Outcome::Ok {
            self.latency += LATENCY_GAIN / 4.0 * (took - all);
        }
    }

    /// Guards against idle connections that die unnoticed (a firewall, a partner that drops them): calls on
    /// reused ones go unanswered far more often. And against endpoints whose connections are all taken by
    /// the idle ones of many forwarders: once one was not made, those of that kind are given back for a
    /// while.
    pub(super) fn learn_connection(&mut self, id: EndpointId, outcome: Outcome, reused: Option<bool>) {
        if outcome == Outcome::NotJournaled {
            return;
        }
        let answered = matches!(outcome, Outcome::Ok | Outcome::Rejected(_) | Outcome::Error);
        // One that breaks at once costs no more than the next call: nothing is to be learnt from it.
        let reused = reused.filter(|_| outcome != Outcome::StaleConnection);
        if let Some(reused) = reused.filter(|_| answered || unsure(outcome)) {
            let share = &mut self.lost[usize::from(reused)];
            *share += STALE.1 * (f64::from(!answered) - *share);
            if answered && !reused {
                self.lost[1] *= STALE.2;
            }
        }
        let Some(e) = self.endpoints.get_mut(&id) else { return };
        e.reusable = answered;
        let Some((share, level)) = self.crowded.get_mut(e.entry.kind.0) else { return };
        let unmade = outcome == Outcome::ConnectFailed;
        *share += STALE.1 * (f64::from(unmade) - *share);
        let crowded = unmade && (*share * UNMADE_COSTS > self.s.connection_cost || *level > CROWDED.1);
        *level = if crowded { 1.0 } else { *level * CROWDED.0 };
        if *level > CROWDED.1 && !self.calls.values().any(|c| c.endpoint == id) {
            e.reusable = false;
            self.actions.push(Action::CloseIdle { endpoint: id });
        }
    }
}
