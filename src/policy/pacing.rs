//! Pacing: how many calls a second this forwarder may send, by the reported limit or weight, by what was
//! delivered so far and by rejections.

use super::admission::{Admission, AdmissionControl};
use super::constants::*;
use crate::api::*;
use crate::rates::{DecayingRate, RateLimitEstimate};
use serde::{Deserialize, Serialize};

/// A token bucket; each call takes one token.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(super) struct TokenBucket {
    pub(super) tokens: f64,
    #[serde(rename = "refilled")]
    pub(super) refilled_at: Micros,
}

impl TokenBucket {
    /// Keeps no more than this many tokens, and refills from a time on.
    pub(super) fn limit_to(&mut self, tokens: f64, refilled_at: Micros) {
        self.tokens = self.tokens.min(tokens);
        self.refilled_at = refilled_at;
    }

    fn refill(&mut self, now: Micros, tokens_per_us: f64) {
        let capacity = (tokens_per_us * BURST_US).max(1.0);
        let elapsed = now.saturating_sub(self.refilled_at) as f64;
        self.tokens = (self.tokens + tokens_per_us * elapsed).min(capacity);
        self.refilled_at = now;
    }
}

/// What the rate of calls to a destination or an endpoint is reckoned from.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(super) struct Pacer {
    /// Calls that succeeded while it was healthy.
    delivered: DecayingRate,
    /// Messages that were received for it.
    #[serde(rename = "asked")]
    demand: DecayingRate,
    /// Calls a second by the endpoint list; 0 if it does not say.
    pub(super) weight: f64,
    /// No call before this, by a retry-after or the backoff after a rejection without one.
    #[serde(rename = "wait_until")]
    pub(super) paused_until: Micros,
    /// The pause after the next rejection without a retry-after.
    pub(super) backoff: Micros,
    #[serde(rename = "paused_at")]
    pub(super) last_rejected_at: Micros,
    #[serde(flatten)]
    pub(super) bucket: TokenBucket,
    /// Cut by rejections, raised by successes; multiplies the rate.
    #[serde(rename = "trim")]
    pub(super) rate_factor: f64,
    pub(super) limit: RateLimitEstimate,
}

impl Pacer {
    pub(super) fn new(now: Micros) -> Self {
        Pacer {
            demand: DecayingRate { updated_at: now, ..DecayingRate::default() },
            backoff: BACKOFF_INITIAL,
            bucket: TokenBucket { tokens: 2.0, refilled_at: now },
            rate_factor: 1.0,
            ..Pacer::default()
        }
    }

    /// Part of a message was received for it.
    pub(super) fn record_demand(&mut self, now: Micros, messages: f64, settings: &Settings) {
        self.demand.record(messages, now - self.demand.updated_at, settings.slow_start);
        self.demand.updated_at = now;
    }

    /// A call was delivered after the destination was healthy for so long.
    pub(super) fn record_success(&mut self, healthy_for: Micros, settings: &Settings) {
        self.delivered.record(1.0, healthy_for, settings.slow_start);
        self.backoff = BACKOFF_INITIAL;
        self.rate_factor = (self.rate_factor * RATE_FACTOR_GAIN).min(RATE_FACTOR_MAX);
    }

    /// Lowers the rate for a rejection that stands for so many.
    pub(super) fn cut_rate(&mut self, stands_for: f64) {
        let cut = self.rate_factor * RATE_FACTOR_CUT.powf(stands_for);
        self.rate_factor = cut.max(RATE_FACTOR_MIN.powf(stands_for));
    }

    /// Calls a second that all forwarders together may send, as far as it is known.
    pub(super) fn fleet_rate(&self, settings: &Settings) -> Option<f64> {
        let reported = self.limit.current.map(|limit| limit.rate).filter(|rate| *rate > 0.0);
        let listed = Some(self.weight).filter(|w| *w > 0.0 && settings.weights != WeightSource::Off);
        reported.or(listed)
    }

    /// Seconds in which each forwarder may make one call; 0 if that is not known.
    pub(super) fn even_interval_s(&self, settings: &Settings) -> f64 {
        self.fleet_rate(settings).map_or(0.0, |rate| settings.forwarders as f64 / rate)
    }

    /// This forwarder's even share of the fleet's rate; 0 if that is not known.
    pub(super) fn even_rate(&self, settings: &Settings) -> f64 {
        self.fleet_rate(settings).map_or(0.0, |rate| rate / settings.forwarders as f64)
    }

    /// The least rate at which calls go even if the limit is lower, but not after recent rejections.
    fn min_rate(&self, now: Micros, settings: &Settings, has_limit: bool) -> f64 {
        let recently_rejected = now < self.last_rejected_at + REJECTION_MEMORY_BACKOFFS * self.backoff;
        if self.rate_factor < 1.0 && (has_limit || recently_rejected) {
            return 0.0;
        }
        MIN_FLEET_RATE / self.fleet_rate(settings).map_or(3.0, |_| settings.forwarders as f64)
    }
}

impl AdmissionControl {
    /// Calls a second that count as this forwarder's own: the rate it delivered while the destination was
    /// healthy, which the destination can take however traffic is spread over forwarders, or its even share
    /// if that is more.
    pub(super) fn own_rate(&self, now: Micros, settings: &Settings) -> f64 {
        let delivered = self.pacer.delivered.per_second(self.circuit.healthy_for(now), OPEN_TIMEOUT);
        let fleet_rate = self.pacer.fleet_rate(settings);
        fleet_rate.map_or(delivered, |rate| delivered.max(rate / settings.forwarders as f64))
    }

    /// Calls a second that this forwarder may send.
    pub(super) fn rate(&mut self, now: Micros, settings: &Settings) -> f64 {
        if let Some(rate) = self.slow_start_rate(now, settings) {
            return rate;
        }
        let pacer = &self.pacer;
        let limit = pacer.limit.current.filter(|limit| limit.rate > 0.0);
        let is_low = limit.is_some_and(|limit| limit.remaining_share < LOW_REMAINING_SHARE);
        let overcommit = if is_low { 1.0 } else { OVERCOMMIT_RATIO };
        let min_rate = pacer.min_rate(now, settings, limit.is_some());
        let demand = &pacer.demand;
        let demanded = demand.count.min(1.0) * demand.per_second(now - demand.updated_at, OPEN_TIMEOUT);
        let wanted = (self.own_rate(now, settings).max(demanded) * overcommit).max(min_rate);
        // Rejections take away what a forwarder had beyond its even share: that share is its own.
        (wanted * pacer.rate_factor).max(pacer.even_rate(settings) * SLOW_START_UTILIZATION)
    }

    /// Refills the token bucket and says when it holds a token.
    pub(super) fn check_pace(&mut self, now: Micros, settings: &Settings) -> Admission {
        let tokens_per_us = self.rate(now, settings) / SECOND as f64;
        let bucket = &mut self.pacer.bucket;
        bucket.refill(now, tokens_per_us);
        // A token that is short by a rounding error of the refill counts.
        if bucket.tokens >= 1.0 - 1e-6 {
            return Admission::Admitted;
        }
        let wait = ((1.0 - bucket.tokens).max(0.0) / tokens_per_us).ceil() as Micros;
        Admission::NotBefore(now.saturating_add(wait))
    }
}
