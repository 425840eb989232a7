//! The two clocks: a monotonic one for every decision, and the wall clock for what outlasts the process.

use crate::Micros;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Counts microseconds from the program's start on; it never goes back.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    first: Micros,
}

/// What the clock shows as it starts: spans can be taken off early times.
const FIRST: Micros = 60_000_000;

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Clock { start: Instant::now(), first: FIRST }
    }

    /// A clock that goes on from one of another process, which showed a time at a time of the wall clock.
    pub fn go_on(shown: Micros, at_wall: Micros) -> Self {
        Clock { start: Instant::now(), first: shown + wall().saturating_sub(at_wall) }
    }

    /// Now.
    pub fn now(&self) -> Micros {
        self.first + self.start.elapsed().as_micros() as Micros
    }

    /// When a point of this clock comes.
    pub fn at(&self, time: Micros) -> Instant {
        // A far point is as good as never.
        self.start + Duration::from_micros(time.min(self.now() + 86_400_000_000).saturating_sub(self.first))
    }

    /// A point of this clock on the wall clock.
    pub fn to_wall(&self, time: Micros) -> Micros {
        (wall() + time).saturating_sub(self.now())
    }

    /// A point of the wall clock on this one; past ones are now.
    pub fn from_wall(&self, time: Micros) -> Micros {
        self.now() + time.saturating_sub(wall())
    }

    /// A past point of the wall clock on this one; what this one can't show is its beginning, what is to come is now.
    pub fn since_wall(&self, time: Micros) -> Micros {
        self.now().saturating_sub(wall().saturating_sub(time))
    }
}

/// The wall clock, in microseconds of Unix time.
pub fn wall() -> Micros {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as Micros)
}
