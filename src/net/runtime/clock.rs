//! The monotonic clock of all decisions and of stored times, and the wall clock, which is only shown and aligns forwarders with
//! each other.
//!
//! The clock counts as `CLOCK_MONOTONIC` does: alike in all processes since the machine's boot, whatever is done to the wall clock.
//! So a journaled time is read by the next process as it stands. It does not count while the machine sleeps, as no timer of the
//! program does. Across a boot there is only the wall clock.

use crate::journal::ClockReading;
use crate::Micros;
use rustix::time::{clock_gettime, ClockId};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The file with the id of the machine's boot.
const BOOT_ID_FILE: &str = "/proc/sys/kernel/random/boot_id";
/// The clock is ahead of the machine's by a minute, so that spans can be subtracted from the times of a machine that has just
/// booted.
const AHEAD_OF_MACHINE: Micros = 60_000_000;
/// A timer is at most a day away: a later one is as good as never, and its `Instant` might overflow.
const MAX_TIMER: Micros = 86_400_000_000;

/// The monotonic clock, in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    /// The time at `start`.
    start_time: Micros,
    boot_id: u128,
}

impl Clock {
    /// The clock of this process.
    pub fn start() -> Self {
        let machine = clock_gettime(ClockId::Monotonic);
        let machine_time = machine.tv_sec as Micros * 1_000_000 + machine.tv_nsec as Micros / 1_000;
        let start_time = AHEAD_OF_MACHINE + machine_time;
        Clock { start: Instant::now(), start_time, boot_id: boot_id() }
    }

    /// The time now.
    pub fn now(&self) -> Micros {
        self.start_time + self.start.elapsed().as_micros() as Micros
    }

    /// The time now, in a form that another process can read.
    pub fn moment(&self) -> ClockReading {
        ClockReading { boot_id: self.boot_id, monotonic_us: self.now(), wall_us: wall() }
    }

    /// A time of this clock as an `Instant`, for timers.
    pub fn at(&self, time: Micros) -> Instant {
        self.start + Duration::from_micros(time.min(self.now() + MAX_TIMER).saturating_sub(self.start_time))
    }

    /// The time of an `Instant`.
    pub fn time_of(&self, instant: Instant) -> Micros {
        self.start_time + instant.saturating_duration_since(self.start).as_micros() as Micros
    }

    /// How far the wall clock is ahead of this clock.
    pub fn behind_wall(&self) -> Micros {
        wall().saturating_sub(self.now())
    }
}

/// The id of the machine's boot; 0 where it cannot be read.
fn boot_id() -> u128 {
    let text = std::fs::read_to_string(BOOT_ID_FILE).unwrap_or_default();
    let digits: String = text.trim().chars().filter(|c| *c != '-').collect();
    u128::from_str_radix(&digits, 16).unwrap_or(0)
}

/// The wall clock, in microseconds of Unix time.
pub fn wall() -> Micros {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as Micros)
}
