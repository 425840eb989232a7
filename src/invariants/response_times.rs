//! How long an endpoint takes for its responses, as far as it is known which response belongs to which call. From this
//! follows how long the call's own response is awaited behind one that may be a copy.

use crate::Micros;

/// After a response that may be a copy, the call's own is awaited at least this long, in microseconds.
const MIN_DOUBT: Micros = 50_000;
/// After a response that may be a copy, the call's own is awaited at most this long, in microseconds.
const MAX_DOUBT: Micros = 1_000_000;
/// The call's own response is awaited for this multiple of the time that the slowest recent one took.
const SLOWEST_MULTIPLE: Micros = 2;
/// Of the slowest time, this share is forgotten with each faster response.
const SLOWEST_DECAY_DIVISOR: Micros = 64;
/// The number of responses from which on it is known how long an endpoint takes.
const MIN_SAMPLES: u32 = 5;
/// The part of the fastest time, in percent, after which a response can be expected.
const EXPECTED_AFTER_PERCENT: Micros = 80;
/// A copy that the next request sets off comes within this time after the request, in microseconds.
const MAX_COPY_DELAY_AFTER_REQUEST: Micros = 25_000;
/// A copy that is late by itself comes within this time after the response that it copies, in microseconds.
const MAX_COPY_DELAY_AFTER_RESPONSE: Micros = 100_000;
/// An endpoint that has responded within this time, in microseconds, has no implausibly fast responses, since the
/// scheduling of processes alone varies by as much.
const MIN_FASTEST: Micros = 20_000;
/// A response is implausibly fast if it took less than the fastest so far divided by this.
const IMPLAUSIBLE_DIVISOR: Micros = 4;

/// When a response was received. Its times are in microseconds of the monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct ResponseTiming {
    /// When the request was written.
    pub written_at: Micros,
    /// When the response was received.
    pub received_at: Micros,
    /// When the response to the call before was received on the connection; `None` on a new connection.
    pub previous_response_at: Option<Micros>,
}

impl ResponseTiming {
    fn elapsed(&self) -> Micros {
        self.received_at.saturating_sub(self.written_at)
    }

    /// Whether it came so soon after the request, or after the response before, that it may well be a copy of that one.
    fn may_be_copy(&self) -> bool {
        let is_near = |previous| self.received_at < previous + MAX_COPY_DELAY_AFTER_RESPONSE;
        self.elapsed() < MAX_COPY_DELAY_AFTER_REQUEST || self.previous_response_at.is_some_and(is_near)
    }
}

/// The times that an endpoint took for its responses.
#[derive(Clone, Copy, Debug, Default)]
pub struct ResponseTimes {
    successes: TimeRange,
    others: TimeRange,
}

impl ResponseTimes {
    /// Adds a response with this status that took this time, in microseconds.
    pub fn record(&mut self, status: u16, elapsed: Micros) {
        match is_success(status) {
            true => self.successes.record(elapsed),
            false => self.others.record(elapsed),
        }
    }

    /// These times, or those of `all` endpoints together where too few are known.
    pub fn or(self, all: ResponseTimes) -> ResponseTimes {
        ResponseTimes { successes: self.successes.or(all.successes), others: self.others.or(all.others) }
    }

    /// Whether a response is too fast for this endpoint, so that it is probably a copy of an earlier one. Only a successful
    /// one can be, as it takes work, and only while a copy is likely: an endpoint that was slow so far may recover.
    pub fn is_implausible(&self, status: u16, elapsed: Micros) -> bool {
        let TimeRange { fastest, .. } = self.successes;
        is_success(status)
            && self.successes.is_known()
            && fastest >= MIN_FASTEST
            && elapsed < (fastest / IMPLAUSIBLE_DIVISOR).min(MAX_COPY_DELAY_AFTER_REQUEST)
    }

    /// Whether the call's own response with this status could be expected at this time, so that a copy is unlikely.
    pub fn is_expected(&self, status: u16, timing: &ResponseTiming) -> bool {
        let range = if is_success(status) { &self.successes } else { &self.others };
        let is_early = timing.elapsed() < range.fastest * EXPECTED_AFTER_PERCENT / 100;
        range.is_known() && !is_early && !timing.may_be_copy()
    }

    /// When the doubt about a response ends, in microseconds of the monotonic clock. If the response could not be expected
    /// yet, the call's own would have arrived by then as well.
    pub fn doubt_ends_at(&self, status: u16, timing: &ResponseTiming) -> Micros {
        let (earliest, latest) = (timing.received_at + MIN_DOUBT, timing.received_at + MAX_DOUBT);
        if self.is_expected(status, timing) {
            return earliest;
        }
        match self.successes.samples {
            0 => latest,
            _ => (timing.written_at + SLOWEST_MULTIPLE * self.successes.slowest).clamp(earliest, latest),
        }
    }
}

/// The range of the times that responses took, in microseconds.
#[derive(Clone, Copy, Debug, Default)]
struct TimeRange {
    samples: u32,
    fastest: Micros,
    /// The slowest recent one.
    slowest: Micros,
}

impl TimeRange {
    fn record(&mut self, elapsed: Micros) {
        self.fastest = if self.samples == 0 { elapsed } else { self.fastest.min(elapsed) };
        self.slowest = elapsed.max(self.slowest - self.slowest / SLOWEST_DECAY_DIVISOR);
        self.samples = self.samples.saturating_add(1);
    }

    fn or(self, all: TimeRange) -> TimeRange {
        if self.is_known() {
            self
        } else {
            all
        }
    }

    fn is_known(&self) -> bool {
        self.samples >= MIN_SAMPLES
    }
}

fn is_success(status: u16) -> bool {
    (200..300).contains(&status)
}
