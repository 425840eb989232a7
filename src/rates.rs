//! A rate as it is seen, counts over a time that fades, and a limit as it is told, late and with noise. It decides
//! nothing, and time is an argument.

use crate::{LoadReport, Micros};
use serde::{Deserialize, Serialize};

/// A second, in microseconds.
const SECOND: f64 = 1e6;

/// How often something happened lately.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct DecayingRate {
    /// How often, faded.
    pub count: f64,
    /// In how long.
    pub over: Micros,
    /// When it was counted last.
    pub at: Micros,
}

impl DecayingRate {
    /// More of it after so much time; what lies further back than the longest fades.
    pub fn count(&mut self, more: f64, time: Micros, longest: Micros) {
        self.over += time;
        if self.over > longest {
            self.count *= longest as f64 / self.over as f64;
            self.over = longest;
        }
        self.count += more;
    }

    /// With the time since the last, over a span of a least length; one at least, as a forwarder of many seldom saw
    /// more.
    pub fn per_second(&self, since: Micros, least: Micros) -> f64 {
        self.count.max(1.0) * SECOND / (self.over + since).max(least) as f64
    }
}

/// Weight of a new reading of a limit in its average; readings of one limit were seen to spread by a third.
const GAIN: f64 = 0.3;
/// Beyond these multiples of the average a reading is no noise: the limit itself has changed.
const NOISE: (f64, f64) = (0.7, 1.5);

/// A limit as it is told: the average of noisy readings, which follows a change of the limit at once. A forwarder that
/// calls seldom would otherwise go for seconds by a single reading that is a third too high or too low.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct RateLimitEstimate {
    /// The share left as told last, and the rate in the mean; none before the first reading.
    #[serde(rename = "held")]
    pub current: Option<LoadReport>,
    last: Option<LoadReport>,
}

impl RateLimitEstimate {
    /// What an answer tells, if it does. The parts of one call all tell the same, which counts once.
    pub fn observe(&mut self, told: Option<LoadReport>) {
        let Some(told) = told.filter(|_| told != self.last) else { return };
        self.last = Some(told);
        let noise = |held: &LoadReport| {
            let (least, most) = (held.rate * NOISE.0, held.rate * NOISE.1);
            held.rate > 0.0 && (least..=most).contains(&told.rate)
        };
        let rate = self.current.filter(noise).map_or(told.rate, |h| h.rate + GAIN * (told.rate - h.rate));
        self.current = Some(LoadReport { remaining_share: told.remaining_share, rate });
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn after(rates: &[f64]) -> f64 {
        let mut told = RateLimitEstimate::default();
        rates.iter().for_each(|rate| told.observe(Some(LoadReport { remaining_share: 0.5, rate: *rate })));
        told.observe(None);
        told.current.expect("a reading").rate
    }

    #[test]
    fn noise_is_averaged_and_a_change_is_followed_at_once() {
        assert_eq!(after(&[100.0]), 100.0);
        assert!((after(&[100.0, 130.0]) - 109.0).abs() < 1e-9);
        assert!((after(&[100.0, 75.0]) - 92.5).abs() < 1e-9);
        assert_eq!(after(&[100.0, 50.0]), 50.0);
        assert_eq!(after(&[50.0, 100.0]), 100.0);
        // No limit, told or taken away.
        assert_eq!((after(&[0.0, 0.0, 80.0]), after(&[80.0, 0.0])), (80.0, 0.0));
    }

    /// Guards against a call of ten messages that counts as ten readings.
    #[test]
    fn what_each_part_of_a_call_repeats_counts_once() {
        assert_eq!(after(&[100.0, 130.0, 130.0, 130.0]), after(&[100.0, 130.0]));
    }
}
