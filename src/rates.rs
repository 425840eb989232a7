//! Estimates of rates: the recent rate of an event, from a decaying count, and a reported rate limit, whose
//! readings are late and noisy. This module decides nothing, and the time is passed in.

use crate::{LoadReport, Micros};
use serde::{Deserialize, Serialize};

const MICROS_PER_SECOND: f64 = 1e6;

/// The recent rate of an event: a count over a time window. When the window exceeds its longest length, the
/// count decays.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct DecayingRate {
    /// The number of events in the window. It is fractional once it has decayed.
    pub count: f64,
    /// The length of the window, in microseconds.
    #[serde(rename = "over")]
    pub window: Micros,
    /// When an event was last recorded; 0 if the caller does not set it.
    #[serde(rename = "at")]
    pub updated_at: Micros,
}

impl DecayingRate {
    /// Records events and the time `elapsed` since the events before, in microseconds. If the window becomes
    /// longer than `max_window`, it is cut to that length and the count is scaled down in proportion.
    pub fn record(&mut self, events: f64, elapsed: Micros, max_window: Micros) {
        self.window += elapsed;
        if self.window > max_window {
            self.count *= max_window as f64 / self.window as f64;
            self.window = max_window;
        }
        self.count += events;
    }

    /// The events per second, over the window and the time `elapsed` since its end, together at least
    /// `min_window`. The count is taken as one at least, because a forwarder of a large fleet has often seen
    /// no event.
    pub fn per_second(&self, elapsed: Micros, min_window: Micros) -> f64 {
        self.count.max(1.0) * MICROS_PER_SECOND / (self.window + elapsed).max(min_window) as f64
    }
}

/// The weight of a new reading in the average of a limit. Readings of the same limit were seen to vary by a
/// third.
const LIMIT_SMOOTHING: f64 = 0.3;
/// A reading below this multiple of the average is not noise: the limit itself has changed.
const MIN_NOISE_RATIO: f64 = 0.7;
/// A reading above this multiple of the average is not noise either.
const MAX_NOISE_RATIO: f64 = 1.5;

/// An estimate of a reported rate limit: the average of noisy readings, which follows a change of the limit
/// at once. Without the average, a forwarder that seldom calls would rely for seconds on a single reading
/// that is a third too high or too low.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct RateLimitEstimate {
    /// The last reported remaining share together with the average rate; `None` before the first report.
    #[serde(rename = "held")]
    pub current: Option<LoadReport>,
    #[serde(rename = "last")]
    last_report: Option<LoadReport>,
}

impl RateLimitEstimate {
    /// Updates the estimate from the load report of a response; `None`, for a response without one, changes
    /// nothing. All messages of a call come with the same report, which counts once.
    pub fn observe(&mut self, report: Option<LoadReport>) {
        let Some(report) = report.filter(|_| report != self.last_report) else { return };
        self.last_report = Some(report);
        let rate = match self.current.filter(|average| is_noise(average.rate, report.rate)) {
            Some(average) => average.rate + LIMIT_SMOOTHING * (report.rate - average.rate),
            None => report.rate,
        };
        self.current = Some(LoadReport { remaining_share: report.remaining_share, rate });
    }
}

/// Whether a reading differs from the average by no more than noise. Around an average of zero nothing counts
/// as noise.
fn is_noise(average: f64, reading: f64) -> bool {
    let noise = average * MIN_NOISE_RATIO..=average * MAX_NOISE_RATIO;
    average > 0.0 && noise.contains(&reading)
}
