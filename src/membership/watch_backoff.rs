//! Backoff between attempts to open the watch of the pushed endpoint list. It keeps a fleet that has lost all its watches at
//! once from overloading the platform with new ones. It does no I/O; random draws are arguments.

use crate::Micros;

/// The request rate that the whole fleet may cause together. Each forwarder's share of it sets the forwarder's first pause
/// after a rejection. The pause doubles with each further rejection and is shortened at random by up to half, before it is
/// limited by `MAX_REQUEST_INTERVAL`: a fleet that is too large for the rate then keeps the spread of its first pauses.
const FLEET_REQUESTS_PER_SECOND: f64 = 10.0;
/// The shortest first pause after a rejection, which applies to small fleets.
const MIN_FIRST_REJECTION_PAUSE: Micros = 250_000;
/// The longest time from a rejected request to the next one. A change of the list counts as received 6 s after the platform
/// could be asked for it; the rest of that time is for the response.
pub const MAX_REQUEST_INTERVAL: Micros = 3_500_000;
/// The longest time from the last data on a silent watch to the request for the next watch, if an earlier request was rejected
/// meanwhile. A change that the silent watch missed counts as received 6 s after its last data.
const MAX_SILENCE_TO_REQUEST: Micros = 4_600_000;
/// The shortest pause to which a slow rejection shortens the next one.
const MIN_PAUSE: Micros = 250_000;
/// The first pause after a watch failed. It doubles with each further failure up to the maximum, and is shortened at random
/// by up to half. It is short because a list that the agent has counts as received even while no watch is open, and because
/// refused connections put no load on the agent.
const FIRST_FAILURE_PAUSE: Micros = 20_000;
/// The longest pause after a watch failed.
const MAX_FAILURE_PAUSE: Micros = 1_000_000;
/// Limit of the doublings, so that the shift cannot overflow.
const MAX_DOUBLINGS: u32 = 16;

/// A rejected request for a watch.
#[derive(Clone, Copy, Debug, Default)]
pub struct Rejection {
    /// The `Retry-After` of the response.
    pub retry_after: Option<Micros>,
    /// The time from the request to its response.
    pub answered_after: Micros,
    /// The time since the last data on the current watch, if that watch is silent.
    pub silent_for: Option<Micros>,
}

impl Rejection {
    /// The longest pause after which the next request is early enough to learn of changes in time.
    fn longest_pause(&self) -> Micros {
        let longest = MAX_REQUEST_INTERVAL.saturating_sub(self.answered_after);
        // Once the time of the silent watch is over, only that of the rejected request counts.
        let left_of_silence =
            self.silent_for.and_then(|silent_for| MAX_SILENCE_TO_REQUEST.checked_sub(silent_for));
        longest.min(left_of_silence.unwrap_or(longest)).max(MIN_PAUSE)
    }
}

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
            first_rejection_pause: first_pause.max(MIN_FIRST_REJECTION_PAUSE),
            rejections: 0,
            failures: 0,
        }
    }

    /// Resets the backoff, as a watch has received a list.
    pub fn received(&mut self) {
        (self.rejections, self.failures) = (0, 0);
    }

    /// Records that a watch was rejected. Returns the delay before the next one in microseconds, from a random draw from 0 to
    /// 1. A `Retry-After` is obeyed as far as changes are still learned in time.
    pub fn after_rejection(&mut self, rejection: &Rejection, draw: f64) -> Micros {
        self.rejections += 1;
        let longest = rejection.longest_pause();
        let Some(retry_after) = rejection.retry_after else { return self.next_pause(draw).min(longest) };
        // A random part is added, so that the whole fleet does not come back at the same moment.
        let pause = retry_after.saturating_add(self.next_pause(draw) / 2);
        if pause > longest && self.rejections == 1 {
            return with_jitter(longest, draw);
        }
        pause.min(longest)
    }

    /// The pause after the present number of rejections. The first one is drawn from zero up, because the whole fleet may have
    /// been rejected at the same moment.
    fn next_pause(&self, draw: f64) -> Micros {
        if self.rejections == 1 {
            let longest = self.first_rejection_pause.min(MAX_REQUEST_INTERVAL);
            return (longest as f64 * draw) as Micros;
        }
        with_jitter(doubled_pause(self.first_rejection_pause, self.rejections - 2), draw)
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
