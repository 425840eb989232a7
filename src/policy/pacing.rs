//! The pacer: the data from which the rate of calls is computed (reported limit, listed weight, recent
//! deliveries, rejections), and the token bucket that enforces it.

use super::constants::*;
use crate::api::*;
use crate::rates::{DecayingRate, RateLimitEstimate};
use serde::{Deserialize, Serialize};

/// A token bucket. Each call takes one token.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(super) struct TokenBucket {
    pub(super) tokens: f64,
    #[serde(rename = "refilled")]
    pub(super) refilled_at: Micros,
}

impl TokenBucket {
    /// Discards the tokens above a number, and starts refilling at the given time.
    pub(super) fn limit_to(&mut self, tokens: f64, refilled_at: Micros) {
        self.tokens = self.tokens.min(tokens);
        self.refilled_at = refilled_at;
    }

    pub(super) fn refill(&mut self, now: Micros, tokens_per_us: f64) {
        let capacity = (tokens_per_us * BURST_US).max(1.0);
        let elapsed = now.saturating_sub(self.refilled_at) as f64;
        self.tokens = (self.tokens + tokens_per_us * elapsed).min(capacity);
        self.refilled_at = now;
    }
}

/// The data from which the rate of calls to a destination or an endpoint is computed.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(super) struct Pacer {
    /// The rate of successful calls, counted over the time in which the destination was healthy.
    pub(super) delivered: DecayingRate,
    /// The rate at which messages are received for the destination or the endpoint.
    #[serde(rename = "asked")]
    pub(super) demand: DecayingRate,
    /// The calls per second that the endpoint list gives for all forwarders; 0 if it gives none.
    pub(super) weight: f64,
    /// No call may be sent before this time, because of a retry-after or the backoff after a rejection
    /// without one.
    #[serde(rename = "wait_until")]
    pub(super) paused_until: Micros,
    /// The length of the pause after the next rejection without a retry-after.
    pub(super) backoff: Micros,
    #[serde(rename = "paused_at")]
    pub(super) last_rejected_at: Micros,
    #[serde(flatten)]
    pub(super) bucket: TokenBucket,
    /// A factor applied to the rate, which rejections lower and successes raise.
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

    /// Records the receipt of a message. `messages` is 1, or a fraction where several endpoints with limits
    /// of their own share the demand.
    pub(super) fn record_demand(&mut self, now: Micros, messages: f64, settings: &Settings) {
        self.demand.record(messages, now - self.demand.updated_at, settings.slow_start_duration);
        self.demand.updated_at = now;
    }

    /// Records a successful call. `healthy_for` is how long the destination was healthy since the success
    /// before.
    pub(super) fn record_success(&mut self, healthy_for: Micros, settings: &Settings) {
        self.delivered.record(1.0, healthy_for, settings.slow_start_duration);
        self.backoff = BACKOFF_INITIAL;
        self.rate_factor = (self.rate_factor * RATE_FACTOR_GAIN).min(RATE_FACTOR_MAX);
    }

    /// Lowers the rate after a rejection. `counted_rejections` is the number of rejections for which it
    /// counts.
    pub(super) fn cut_rate(&mut self, counted_rejections: f64) {
        let reduced_factor = self.rate_factor * RATE_FACTOR_CUT.powf(counted_rejections);
        self.rate_factor = reduced_factor.max(RATE_FACTOR_MIN.powf(counted_rejections));
    }

    /// The calls per second that all forwarders together may send; `None` if that is unknown.
    pub(super) fn fleet_rate(&self, settings: &Settings) -> Option<f64> {
        let reported = self.limit.current.map(|limit| limit.rate).filter(|rate| *rate > 0.0);
        let listed = Some(self.weight).filter(|w| *w > 0.0 && settings.weights != WeightSource::Off);
        reported.or(listed)
    }

    /// The number of seconds in which each forwarder may make one call; 0 if that is unknown.
    pub(super) fn even_interval_s(&self, settings: &Settings) -> f64 {
        self.fleet_rate(settings).map_or(0.0, |rate| settings.forwarders as f64 / rate)
    }

    /// This forwarder's even share of the fleet's rate, in calls per second; 0 if that is unknown.
    pub(super) fn even_rate(&self, settings: &Settings) -> f64 {
        self.fleet_rate(settings).map_or(0.0, |rate| rate / settings.forwarders as f64)
    }

    /// The calls per second that are always allowed, even if the limit is lower. After recent rejections this
    /// is 0.
    pub(super) fn min_rate(&self, now: Micros, settings: &Settings, has_limit: bool) -> f64 {
        let recently_rejected = now < self.last_rejected_at + REJECTION_MEMORY_BACKOFFS * self.backoff;
        if self.rate_factor < 1.0 && (has_limit || recently_rejected) {
            return 0.0;
        }
        MIN_FLEET_RATE / self.fleet_rate(settings).map_or(3.0, |_| settings.forwarders as f64)
    }
}
