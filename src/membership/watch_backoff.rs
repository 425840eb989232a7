//! When a watch of the pushed list is opened next: backoff from a platform that may be rejecting callers, so that a whole fleet
//! that lost its watches at once does not keep it from answering any. It does no I/O; random draws are arguments.

use crate::Micros;

/// What the whole fleet may ask in a second: one forwarder's share of it sets its first pause after a rejection, which is
/// doubled with each further one up to the longest, and drawn up to half shorter.
const FLEET_REQUESTS_PER_SECOND: f64 = 10.0;
/// The first pause after a rejection, in a small fleet.
const MIN_FIRST_REJECTION_PAUSE: Micros = 250_000;
/// The longest pause after a rejection.
const MAX_REJECTION_PAUSE: Micros = 15_000_000;
/// All may be rejected at once: the next watches are spread over this part of the first pause.
const FIRST_REJECTION_SPREAD: f64 = 0.6;
/// The first pause after a watch that broke, doubled with each further one up to the longest, and drawn up to half shorter. What
/// the agent has counts as received meanwhile, so it is short; an agent that refuses connections is not loaded by them.
const FIRST_FAILURE_PAUSE: Micros = 20_000;
/// The longest pause after a watch that broke.
const MAX_FAILURE_PAUSE: Micros = 1_000_000;
/// The pause is doubled no more often than that, so that the shift cannot overflow.
const MAX_DOUBLINGS: u32 = 16;

/// How the last watches went.
#[derive(Clone, Copy, Debug)]
pub struct WatchBackoff {
    first_rejection_pause: Micros,
    /// Watches in a row that were rejected.
    rejections: u32,
    /// Watches in a row that broke.
    failures: u32,
}

impl WatchBackoff {
    /// The backoff of one of so many forwarders.
    pub fn new(forwarders: usize) -> Self {
        let first_pause = (forwarders as f64 / FLEET_REQUESTS_PER_SECOND * 1e6) as Micros;
        WatchBackoff {
            first_rejection_pause: first_pause.clamp(MIN_FIRST_REJECTION_PAUSE, MAX_REJECTION_PAUSE),
            rejections: 0,
            failures: 0,
        }
    }

    /// Something was received by a watch: backoff starts anew.
    pub fn received(&mut self) {
        (self.rejections, self.failures) = (0, 0);
    }

    /// A watch was rejected; returns how long the next one waits, in microseconds, from the Retry-After of the platform and a
    /// random draw from 0 to 1.
    pub fn after_rejection(&mut self, retry_after: Option<Micros>, draw: f64) -> Micros {
        self.rejections += 1;
        if self.rejections == 1 && retry_after.is_none() {
            return (self.first_rejection_pause as f64 * FIRST_REJECTION_SPREAD * draw) as Micros;
        }
        let doublings = self.rejections.max(2) - 2;
        let pause = doubled(self.first_rejection_pause, doublings).min(MAX_REJECTION_PAUSE);
        let pause = up_to_half_shorter(pause, draw);
        // After a Retry-After each waits a little longer than that, as not all of them must come at once.
        retry_after.map_or(pause, |retry_after| retry_after.saturating_add(pause / 2))
    }

    /// A watch broke, or could not be opened; returns how long the next one waits, in microseconds, from a random draw from 0 to
    /// 1.
    pub fn after_failure(&mut self, draw: f64) -> Micros {
        let pause = doubled(FIRST_FAILURE_PAUSE, self.failures).min(MAX_FAILURE_PAUSE);
        self.failures += 1;
        up_to_half_shorter(pause, draw)
    }
}

fn doubled(first: Micros, doublings: u32) -> Micros {
    first.saturating_mul(1 << doublings.min(MAX_DOUBLINGS))
}

/// A pause shortened by up to a half, by a random draw from 0 to 1.
pub(super) fn up_to_half_shorter(pause: Micros, draw: f64) -> Micros {
    (pause as f64 * (1.0 - draw / 2.0)) as Micros
}
