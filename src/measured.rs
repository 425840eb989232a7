//! A rate as it is seen: counts over a time that fades. It decides nothing, and time is an argument.

use crate::Micros;
use serde::{Deserialize, Serialize};

/// A second, in microseconds.
const SECOND: f64 = 1e6;

/// How often something happened lately.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Measured {
    /// How often, faded.
    pub count: f64,
    /// In how long.
    pub over: Micros,
    /// When it was counted last.
    pub at: Micros,
}

impl Measured {
    /// More of it after so much time; what lies further back than the longest fades.
    pub fn count(&mut self, more: f64, time: Micros, longest: Micros) {
        self.over += time;
        if self.over > longest {
            self.count *= longest as f64 / self.over as f64;
            self.over = longest;
        }
        self.count += more;
    }

    /// With the time since the last, over a span of a least length; one at least, as a courier of many seldom saw
    /// more.
    pub fn per_second(&self, since: Micros, least: Micros) -> f64 {
        self.count.max(1.0) * SECOND / (self.over + since).max(least) as f64
    }
}
