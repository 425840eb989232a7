//! Estimates of rates: of what happened lately, by counts that decay, and of a reported limit, whose readings are late
//! and noisy. They decide nothing, and time is an argument.

use crate::{LoadReport, Micros};
use serde::{Deserialize, Serialize};

const MICROS_PER_SECOND: f64 = 1e6;

/// How often something happened lately: a count over a time window, which decays when the window grows too long.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct DecayingRate {
    /// Events in the window; not whole once they decay.
    pub count: f64,
    /// Length of the window.
    #[serde(rename = "over")]
    pub window: Micros,
    /// When an event was recorded last, if the caller sets it.
    #[serde(rename = "at")]
    pub updated_at: Micros,
}

impl DecayingRate {
    /// Records events, and the time that has gone by since those before. The count of a window longer than the longest
    /// is scaled down to that.
    pub fn record(&mut self, events: f64, elapsed: Micros, max_window: Micros) {
        self.window += elapsed;
        if self.window > max_window {
            self.count *= max_window as f64 / self.window as f64;
            self.window = max_window;
        }
        self.count += events;
    }

    /// Events a second, over the window and the time since, but no shorter a time than the least. One event at least is
    /// assumed, as a forwarder of many seldom saw more.
    pub fn per_second(&self, elapsed: Micros, min_window: Micros) -> f64 {
        self.count.max(1.0) * MICROS_PER_SECOND / (self.window + elapsed).max(min_window) as f64
    }
}

/// Weight of a new reading of a limit in its average. Readings of one limit were seen to vary by a third.
const LIMIT_SMOOTHING: f64 = 0.3;
/// A reading below this multiple of the average is no noise: the limit itself has changed.
const MIN_NOISE_RATIO: f64 = 0.7;
/// A reading above this multiple of the average is no noise either.
const MAX_NOISE_RATIO: f64 = 1.5;

/// A reported limit: the average of noisy readings, which follows a change of the limit at once. A forwarder that calls
/// seldom would otherwise rely for seconds on a single reading that is a third too high or too low.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct RateLimitEstimate {
    /// The remaining share as last reported, and the average rate; none before the first report.
    #[serde(rename = "held")]
    pub current: Option<LoadReport>,
    #[serde(rename = "last")]
    last_report: Option<LoadReport>,
}

impl RateLimitEstimate {
    /// Takes in the load report of an answer, if it has one. The messages of one call all come back with the same
    /// report, which counts once.
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

/// Whether a reading differs from the average by no more than noise. There is none about a limit of zero.
fn is_noise(average: f64, reading: f64) -> bool {
    let noise = average * MIN_NOISE_RATIO..=average * MAX_NOISE_RATIO;
    average > 0.0 && noise.contains(&reading)
}
