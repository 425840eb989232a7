//! How long an endpoint takes for its responses, as far as it is known which response belongs to which call. From this
//! follows how long a connection rests after a response that may be a copy, so that the next call is rarely written while
//! the call's own response is still due. No result of a call depends on these times.

use crate::Micros;

/// After a response that may be a copy, the connection rests at least this long, in microseconds.
const MIN_REST: Micros = 50_000;
/// After a response that may be a copy, the connection rests at most this long, in microseconds.
const MAX_REST: Micros = 1_000_000;
/// The call's own response is expected within this multiple of the time that the slowest recent one took.
const SLOWEST_MULTIPLE: Micros = 2;
/// Of the slowest time, this share is forgotten with each faster response.
const SLOWEST_DECAY_DIVISOR: Micros = 64;
/// The number of responses from which on it is known how long an endpoint takes.
const MIN_SAMPLES: u32 = 5;
/// The part of the fastest time, in percent, after which a response can be expected.
const EXPECTED_AFTER_PERCENT: Micros = 80;
/// A copy that the next request sets off mostly comes within this time after the request, in microseconds.
const USUAL_COPY_DELAY_AFTER_REQUEST: Micros = 25_000;
/// A copy that is late by itself mostly comes within this time after the response that it copies, in microseconds.
const USUAL_COPY_DELAY_AFTER_RESPONSE: Micros = 100_000;

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
    fn is_usual_for_copies(&self) -> bool {
        let is_near = |previous| self.received_at < previous + USUAL_COPY_DELAY_AFTER_RESPONSE;
        self.elapsed() < USUAL_COPY_DELAY_AFTER_REQUEST || self.previous_response_at.is_some_and(is_near)
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

    /// Until when a connection rests after a response that may be a copy, in microseconds of the monotonic clock. If the
    /// response could not be expected yet, the call's own would usually have arrived by then as well.
    pub fn rests_until(&self, status: u16, timing: &ResponseTiming) -> Micros {
        let (earliest, latest) = (timing.received_at + MIN_REST, timing.received_at + MAX_REST);
        if self.is_expected(status, timing) {
            return earliest;
        }
        match self.successes.samples {
            0 => latest,
            _ => (timing.written_at + SLOWEST_MULTIPLE * self.successes.slowest).clamp(earliest, latest),
        }
    }

    /// Whether the call's own response with this status could be expected at this time, so that a copy is unlikely.
    fn is_expected(&self, status: u16, timing: &ResponseTiming) -> bool {
        let range = if is_success(status) { &self.successes } else { &self.others };
        let is_early = timing.elapsed() < range.fastest * EXPECTED_AFTER_PERCENT / 100;
        range.is_known() && !is_early && !timing.is_usual_for_copies()
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
