//! Backoff between attempts to open the watch of the pushed endpoint list. It keeps a fleet that has lost all its watches at
//! once from overloading the platform with new ones. It does no I/O; random draws are arguments.

use crate::Micros;

/// The request rate that the whole fleet may cause together. Each forwarder's share of it sets the forwarder's first pause
/// after a rejection. The pause doubles with each further rejection up to the maximum, and is shortened at random by up to
/// half.
const FLEET_REQUESTS_PER_SECOND: f64 = 10.0;
/// The shortest first pause after a rejection, which applies to small fleets.
const MIN_FIRST_REJECTION_PAUSE: Micros = 250_000;
/// The longest pause after a rejection.
const MAX_REJECTION_PAUSE: Micros = 15_000_000;
/// After a first rejection without `Retry-After`, the pause is drawn from zero to this part of the first pause: the whole
/// fleet may have been rejected at the same moment.
const FIRST_REJECTION_SPREAD: f64 = 0.6;
/// The first pause after a watch failed. It doubles with each further failure up to the maximum, and is shortened at random
/// by up to half. It is short because a list that the agent has counts as received even while no watch is open, and because
/// refused connections put no load on the agent.
const FIRST_FAILURE_PAUSE: Micros = 20_000;
/// The longest pause after a watch failed.
const MAX_FAILURE_PAUSE: Micros = 1_000_000;
/// Limit of the doublings, so that the shift cannot overflow.
const MAX_DOUBLINGS: u32 = 16;

/// The backoff state of a forwarder's watches.
#[derive(Clone, Copy, Debug)]
pub struct WatchBackoff {
    first_rejection_pause: Micros,
    /// Consecutive watches that the platform rejected.
    rejections: u32,
    /// Consecutive watches that failed.
    failures: u32,
}

impl WatchBackoff {
    /// Creates the backoff of one forwarder in a fleet of the given size.
    pub fn new(forwarders: usize) -> Self {
        let first_pause = (forwarders as f64 / FLEET_REQUESTS_PER_SECOND * 1e6) as Micros;
        WatchBackoff {
            first_rejection_pause: first_pause.clamp(MIN_FIRST_REJECTION_PAUSE, MAX_REJECTION_PAUSE),
            rejections: 0,
            failures: 0,
        }
    }

    /// Resets the backoff, as a watch has received a list.
    pub fn received(&mut self) {
        (self.rejections, self.failures) = (0, 0);
    }

    /// Records that a watch was rejected. Returns the delay before the next one in microseconds, from the platform's
    /// `Retry-After` and a random draw from 0 to 1.
    pub fn after_rejection(&mut self, retry_after: Option<Micros>, draw: f64) -> Micros {
        self.rejections += 1;
        if self.rejections == 1 && retry_after.is_none() {
            return (self.first_rejection_pause as f64 * FIRST_REJECTION_SPREAD * draw) as Micros;
        }
        let doublings = self.rejections.max(2) - 2;
        let pause = doubled_pause(self.first_rejection_pause, doublings).min(MAX_REJECTION_PAUSE);
        let pause = with_jitter(pause, draw);
        // A random part is added to Retry-After, so that the whole fleet does not come back at the same moment.
        retry_after.map_or(pause, |retry_after| retry_after.saturating_add(pause / 2))
    }

    /// Records that a watch broke or could not be opened. Returns the delay before the next one in microseconds, from a
    /// random draw from 0 to 1.
    pub fn after_failure(&mut self, draw: f64) -> Micros {
        let pause = doubled_pause(FIRST_FAILURE_PAUSE, self.failures).min(MAX_FAILURE_PAUSE);
        self.failures += 1;
        with_jitter(pause, draw)
    }
}

fn doubled_pause(first: Micros, doublings: u32) -> Micros {
    first.saturating_mul(1 << doublings.min(MAX_DOUBLINGS))
}

/// Shortens a pause by up to half, by a random draw from 0 to 1.
pub(super) fn with_jitter(pause: Micros, draw: f64) -> Micros {
    (pause as f64 * (1.0 - draw / 2.0)) as Micros
}
