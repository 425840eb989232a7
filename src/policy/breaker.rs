//! The record kept for a destination, a route apart or an endpoint: its closed/open/half breaker, its pace,
//! and what is known of
//! its limit. It decides whether a call may go now, and is told how calls came out.

use super::tuning::*;
use crate::api::*;
use crate::rates::{DecayingRate, RateLimitEstimate};
use crate::time_slots::Turn;
use serde::{Deserialize, Serialize};

#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Gate {
    Go,
    Trial,
    Until(Micros),
}

/// The record kept for a destination, a route apart or an endpoint.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(super) struct Breaker {
    pub(super) status: BreakerState,
    pub(super) failure_count: u32,
    pub(super) next_attempt: Micros,
    pub(super) trial: bool, // The one trial of a half breaker is out
    pub(super) last_ok: Micros,
    /// The last send that was answered: what went before it has no dead endpoint to wait for
    pub(super) ok_sent: Micros,
    pub(super) outage: bool, // Failures were seen that may be an outage, and no success since
    pub(super) gap: Micros,  // From the last opening to NextAttempt
    /// Seconds from one call to the next by which all forwarders' calls at its return fit together
    pub(super) spread: f64,
    pub(super) delivered: DecayingRate, // Calls that succeeded while all was well
    pub(super) asked: DecayingRate,     // Messages that came for it
    pub(super) weight: f64,
    pub(super) cold_since: Option<Micros>,
    pub(super) wait_until: Micros, // Told wait, or the pause after a refusal without one
    pub(super) backoff: Micros,
    pub(super) paused_at: Micros,
    pub(super) trouble_since: Option<Micros>, // The first failure or refusal since the last success
    pub(super) tokens: f64,
    pub(super) refilled: Micros,
    pub(super) trim: f64,
    pub(super) limit: RateLimitEstimate,
    pub(super) latency: Option<f64>,
}

impl Breaker {
    pub(super) fn new(now: Micros) -> Self {
        let known = Breaker { last_ok: now, refilled: now, backoff: BACKOFF.0, ..Breaker::default() };
        let asked = DecayingRate { at: now, ..DecayingRate::default() };
        Breaker { tokens: 2.0, trim: 1.0, asked, ..known }
    }

    pub(super) fn gate(&mut self, now: Micros) -> Gate {
        if now < self.wait_until {
            return Gate::Until(self.wait_until);
        }
        if self.status == BreakerState::Open && now >= self.next_attempt {
            (self.status, self.trial) = (BreakerState::HalfOpen, false);
        }
        match self.status {
            BreakerState::Closed => Gate::Go,
            BreakerState::Open => Gate::Until(self.next_attempt),
            BreakerState::HalfOpen if self.trial => Gate::Until(NEVER),
            BreakerState::HalfOpen => Gate::Trial,
        }
    }

    /// The breaker and, but for the first trial, the pace.
    pub(super) fn pass(&mut self, now: Micros, s: &Settings) -> Gate {
        let gate = self.gate(now);
        if !(gate == Gate::Go || gate == Gate::Trial && !self.outage) {
            return gate;
        }
        match self.paced(now, s) {
            Gate::Go => gate,
            until => until,
        }
    }

    /// Failed or in an outage, and not yet known to be well again.
    pub(super) fn suspect(&self) -> bool {
        self.failure_count > 0 || self.outage
    }

    pub(super) fn succeed(&mut self, now: Micros, s: &Settings) {
        let well = self.trouble_since.unwrap_or(now).saturating_sub(self.last_ok);
        self.delivered.count(1.0, well, s.slow_start);
        self.failure_count = 0;
        self.last_ok = now;
        self.trouble_since = None;
        self.backoff = BACKOFF.0;
        self.trim = (self.trim * TRIM_GAIN).min(TRIM_RANGE.1);
        if self.outage {
            self.outage = false;
            // It came back at some time since the last trial, half way on average.
            self.cold_since = Some(now - self.gap.saturating_sub(TIMEOUT) / 2);
            self.trim = self.trim.min(1.0);
            self.tokens = self.tokens.min(0.0); // BURST of the cold pace is saved up, none by a large fleet
            self.refilled = if self.gap > TIMEOUT * 5 / 4 { now } else { self.refilled };
        }
        if self.status == BreakerState::Open {
            self.next_attempt = self.next_attempt.min(now);
        } else if self.status == BreakerState::HalfOpen {
            self.status = BreakerState::Closed;
        }
    }

    pub(super) fn fail(&mut self, now: Micros, trial: bool, s: &Settings, turn: Turn, reset: bool) {
        let since = *self.trouble_since.get_or_insert(now);
        self.failure_count += 1;
        let threshold = FAILURE_THRESHOLD + u32::from(reset);
        let closed = self.status == BreakerState::Closed && self.failure_count >= threshold;
        // In a large fleet second calls are as many as first ones, and a returning destination has them all
        // at once (i105e10, h5b9e5b, h27bdc7): one that seldom calls takes a turn first. Also against short
        // jams; a stray loss there costs it that turn.
        if self.status == BreakerState::Closed
            && !closed
            && self.share(now, s) * (TIMEOUT as f64) < SECOND as f64
        {
            let rest = turn.again(self.round(now, TIMEOUT, s), 0);
            self.wait_until = self.wait_until.max(now + rest);
            (self.outage, self.gap) = (true, rest);
        }
        if closed || self.status == BreakerState::HalfOpen && trial {
            self.status = BreakerState::Open;
            self.outage = true;
            let round = self.round(now, now - since + TIMEOUT, s).max(TIMEOUT as f64);
            self.gap = turn.again(round, SOONEST);
            self.next_attempt = now + self.gap;
        }
    }

    /// The time in which each forwarder may call once, so that the calls of all that have met trouble for
    /// that
    /// age fit: as many as messages came in it, but not more than there are.
    pub(super) fn round(&mut self, now: Micros, age: Micros, s: &Settings) -> f64 {
        let age = age as f64 / SECOND as f64;
        self.spread = age.max(self.base(s).map_or(0.0, |b| 1.0 / b)).min(1.0 / self.share(now, s));
        self.spread / (s.slow_start_floor * s.overload_multiple * COLD_PACE) * SECOND as f64
    }

    /// Called back: it was out by the list's word and may have been restarted meanwhile.
    pub(super) fn return_cold(&mut self, now: Micros, s: &Settings) {
        self.round(now, TIMEOUT, s);
        (self.cold_since, self.tokens, self.refilled) = (Some(now), self.tokens.min(1.0), now);
    }

    /// A refusal as full; a failure only if nothing else came for one Timeout.
    pub(super) fn refused(
        &mut self,
        now: Micros,
        sent: Micros,
        told: bool,
        trial: bool,
        s: &Settings,
        turn: Turn,
    ) {
        let since = *self.trouble_since.get_or_insert(now);
        // Refusals of calls that were out together count once. A large fleet would come again at once: each
        // takes a turn within the time in which all may call once, a longer one if refused again.
        if sent >= self.paused_at {
            self.paused_at = now;
            let period = self.period(s) * SECOND as f64;
            let stands_for = (period / BACKOFF.0 as f64).max(1.0);
            self.trim = (self.trim * TRIM_CUT.powf(stands_for)).max(TRIM_RANGE.0.powf(stands_for));
            let pause = if told { 0 } else { self.backoff };
            let round = if !self.outage && self.cold_since.is_none() && since == now {
                period.min(CLUMP)
            } else {
                self.round(now, now - since + TIMEOUT / 2, s)
            };
            let turns = stands_for > 1.0 && 2.0 * period > pause as f64;
            let wait = if turns { turn.once(round) } else { pause };
            self.wait_until = self.wait_until.max(now) + wait;
            // What a pause saves up would go all at once at its end, and be refused again.
            if !self.outage {
                (self.tokens, self.refilled) = (self.tokens.min(1.0), self.wait_until);
            }
            self.backoff = if told { self.backoff } else { (2 * self.backoff).min(BACKOFF.1) };
        }
        if trial || now - since >= TIMEOUT {
            self.fail(now, trial, s, turn, false);
        }
    }

    /// Share of its capacity that a returning destination can be counted on to have; None when warm.
    pub(super) fn cold_share(&mut self, now: Micros, s: &Settings) -> Option<f64> {
        if self.outage {
            return Some(s.slow_start_floor);
        }
        self.cold_since = self.cold_since.filter(|t| now < t + s.slow_start);
        let since = self.cold_since?;
        Some(s.slow_start_floor + (1.0 - s.slow_start_floor) * (now - since) as f64 / s.slow_start as f64)
    }

    /// Calls a second that all forwarders together may send, as far as it is told.
    pub(super) fn base(&self, s: &Settings) -> Option<f64> {
        let told = self.limit.current.map(|l| l.rate).filter(|r| *r > 0.0);
        told.or(Some(self.weight).filter(|w| *w > 0.0 && s.weights != WeightSource::Off))
    }

    /// Seconds in which each forwarder may make one call.
    pub(super) fn period(&self, s: &Settings) -> f64 {
        self.base(s).map_or(0.0, |b| s.forwarders as f64 / b)
    }

    /// This forwarder's part of that: what it has had delivered while all was well, which its destination can
    /// take at any spread of the traffic over forwarders, or the even part if that is told and more.
    pub(super) fn share(&self, now: Micros, s: &Settings) -> f64 {
        let well = self.trouble_since.unwrap_or(now).saturating_sub(self.last_ok);
        let own = self.delivered.per_second(well, TIMEOUT);
        self.base(s).map_or(own, |b| own.max(b / s.forwarders as f64))
    }

    /// Calls a second that this forwarder may send.
    pub(super) fn rate(&mut self, now: Micros, s: &Settings) -> f64 {
        let known = self.limit.current.filter(|l| l.rate > 0.0);
        // Refusals trim what a forwarder had beyond its even part of what is told: that part is its own.
        let even = self.base(s).map_or(0.0, |b| b / s.forwarders as f64);
        if let Some(share) = self.cold_share(now, s) {
            return share * s.overload_multiple * COLD_PACE * (self.trim.min(1.0) / self.spread).max(even);
        }
        let crammed = self.trim < 1.0 && (known.is_some() || now < self.paused_at + CRAMMED * self.backoff);
        let least = if crammed { 0.0 } else { LONE_PACE / self.base(s).map_or(3.0, |_| s.forwarders as f64) };
        let spread = if known.is_some_and(|l| l.remaining_share < LOW_LEFT) { 1.0 } else { SPREAD };
        let wanted = self.asked.count.min(1.0) * self.asked.per_second(now - self.asked.at, TIMEOUT);
        ((self.share(now, s).max(wanted) * spread).max(least) * self.trim).max(even * COLD_PACE)
    }

    /// When the pace allows the next call.
    pub(super) fn paced(&mut self, now: Micros, s: &Settings) -> Gate {
        let per_us = self.rate(now, s) / SECOND as f64;
        let most = (per_us * BURST).max(1.0);
        self.tokens = (self.tokens + per_us * now.saturating_sub(self.refilled) as f64).min(most);
        self.refilled = now;
        let next = now.saturating_add(((1.0 - self.tokens).max(0.0) / per_us).ceil() as Micros);
        if self.tokens >= 1.0 - 1e-6 {
            Gate::Go
        } else {
            Gate::Until(next)
        }
    }
}
