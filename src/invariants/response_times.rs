//! How long an endpoint takes for its responses, as far as it is known which response belongs to which call.

use crate::Micros;

/// After a response that may be a copy, the call's own is awaited at least this long, in microseconds.
const MIN_DOUBT: Micros = 50_000;
/// After a response that may be a copy, the call's own is awaited at most this long, in microseconds.
const MAX_DOUBT: Micros = 1_000_000;
/// The call's own response is awaited for this multiple of the time that the slowest recent one took.
const SLOWEST_MULTIPLE: Micros = 2;
/// Of the slowest time, this share is forgotten with each faster response.
const SLOWEST_DECAY_DIVISOR: Micros = 8;
/// The number of responses from which on a response can be implausibly fast.
const MIN_SAMPLES: u32 = 5;
/// An endpoint that has responded within this time, in microseconds, has no implausibly fast responses, since the
/// scheduling of processes alone varies by as much.
const MIN_FASTEST: Micros = 20_000;
/// A response is implausibly fast if it took less than the fastest so far divided by this.
const IMPLAUSIBLE_DIVISOR: Micros = 2;

/// The times that an endpoint took for successful responses, from the end of the request to the head of the response, in
/// microseconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct ResponseTimes {
    samples: u32,
    fastest: Micros,
    /// The slowest recent one.
    slowest: Micros,
}

impl ResponseTimes {
    /// Adds the time of a successful response.
    pub fn record(&mut self, elapsed: Micros) {
        self.fastest = if self.samples == 0 { elapsed } else { self.fastest.min(elapsed) };
        self.slowest = elapsed.max(self.slowest - self.slowest / SLOWEST_DECAY_DIVISOR);
        self.samples = self.samples.saturating_add(1);
    }

    /// Whether a successful response after this time is too fast for this endpoint, so that it is probably a copy of an
    /// earlier one.
    pub fn is_implausible(&self, elapsed: Micros) -> bool {
        self.samples >= MIN_SAMPLES
            && self.fastest >= MIN_FASTEST
            && elapsed < self.fastest / IMPLAUSIBLE_DIVISOR
    }

    /// When the doubt about a response ends: by then the call's own response would have arrived as well. All times are in
    /// microseconds of the monotonic clock.
    pub fn doubt_ends_at(&self, written_at: Micros, received_at: Micros) -> Micros {
        let own_expected_by = written_at + SLOWEST_MULTIPLE * self.slowest;
        own_expected_by.clamp(received_at + MIN_DOUBT, received_at + MAX_DOUBT)
    }
}
