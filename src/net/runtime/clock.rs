//! The program's clock, for every decision and for what outlasts the process, and the wall clock, which is only shown and
//! aligns forwarders with each other.
//!
//! The program's clock counts as `CLOCK_MONOTONIC` does: alike in all processes since the machine was started, whatever is done
//! to the wall clock. So a time that the journal keeps is read by the next process as it stands. It does not count while the
//! machine sleeps, as no timer of the program does. Beyond a start of the machine the wall clock is all there is.

use crate::journal::ClockReading;
use crate::Micros;
use rustix::time::{clock_gettime, ClockId};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Names the machine's boot; a new one with each.
const BOOT_ID: &str = "/proc/sys/kernel/random/boot_id";
/// What the clock shows beyond the machine's own: spans can be taken off the times of a machine that was just started.
const AHEAD: Micros = 60_000_000;
/// A point further away than this is as good as never.
const FAR: Micros = 86_400_000_000;

/// Counts microseconds; it never goes back.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    first: Micros,
    boot: u128,
}

impl Clock {
    /// The clock, for all of this process.
    pub fn start() -> Self {
        let shown = clock_gettime(ClockId::Monotonic);
        let first = AHEAD + shown.tv_sec as Micros * 1_000_000 + shown.tv_nsec as Micros / 1_000;
        Clock { start: Instant::now(), first, boot: boot() }
    }

    /// Now.
    pub fn now(&self) -> Micros {
        self.first + self.start.elapsed().as_micros() as Micros
    }

    /// Now, in a form that another process can read.
    pub fn moment(&self) -> ClockReading {
        ClockReading { boot_id: self.boot, monotonic_us: self.now(), wall_us: wall() }
    }

    /// When a point of this clock comes.
    pub fn at(&self, time: Micros) -> Instant {
        self.start + Duration::from_micros(time.min(self.now() + FAR).saturating_sub(self.first))
    }

    /// How far the wall clock is ahead of this one.
    pub fn behind_wall(&self) -> Micros {
        wall().saturating_sub(self.now())
    }
}

/// The number of the machine's boot; 0 where it cannot be read.
fn boot() -> u128 {
    let text = std::fs::read_to_string(BOOT_ID).unwrap_or_default();
    let digits: String = text.trim().chars().filter(|c| *c != '-').collect();
    u128::from_str_radix(&digits, 16).unwrap_or(0)
}

/// The wall clock, in microseconds of Unix time.
pub fn wall() -> Micros {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as Micros)
}
