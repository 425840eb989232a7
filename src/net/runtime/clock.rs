//! The monotonic clock, which all decisions and stored times use, and the wall clock, which is used only for display, to
//! align the time slots of several forwarders, and to convert stored times after a reboot.
//!
//! The monotonic clock follows `CLOCK_MONOTONIC`: it shows the same time in every process from boot on, and changes of the
//! wall clock do not affect it. The next process can therefore use a journaled time without conversion. Like the program's
//! timers, the clock stops while the machine is suspended. After a reboot it starts anew, and only the wall clock relates
//! its times to the earlier ones.

use crate::journal::ClockReading;
use crate::Micros;
use rustix::time::{clock_gettime, ClockId};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Holds a UUID that the kernel generates anew at each boot.
const BOOT_ID_FILE: &str = "/proc/sys/kernel/random/boot_id";
/// One minute, which is added to `CLOCK_MONOTONIC` so that subtracting a duration right after boot does not underflow.
const CLOCK_OFFSET_US: Micros = 60_000_000;
/// The furthest timer, one day ahead. A later one would in practice never fire, and its `Instant` could overflow.
const MAX_TIMER_US: Micros = 86_400_000_000;

/// The monotonic clock, in microseconds. Copies show the same time.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    /// The clock's time at `start`.
    start_time: Micros,
    boot_id: u128,
}

impl Clock {
    /// Starts the clock of this process from the present `CLOCK_MONOTONIC` and boot id.
    pub fn start() -> Self {
        let monotonic = clock_gettime(ClockId::Monotonic);
        let monotonic_us = monotonic.tv_sec as Micros * 1_000_000 + monotonic.tv_nsec as Micros / 1_000;
        let start_time = CLOCK_OFFSET_US + monotonic_us;
        Clock { start: Instant::now(), start_time, boot_id: boot_id() }
    }

    /// The current time, in microseconds of this clock.
    pub fn now(&self) -> Micros {
        self.start_time + self.start.elapsed().as_micros() as Micros
    }

    /// The current time with the boot id and the wall clock, from which a later process can convert journaled times even
    /// after a reboot.
    pub fn reading(&self) -> ClockReading {
        ClockReading { boot_id: self.boot_id, monotonic_us: self.now(), wall_us: wall_clock_now() }
    }

    /// Converts a time of this clock into an `Instant` for a timer. A time more than one day ahead is converted as one day
    /// ahead.
    pub fn instant_at(&self, time: Micros) -> Instant {
        self.start
            + Duration::from_micros(time.min(self.now() + MAX_TIMER_US).saturating_sub(self.start_time))
    }

    /// Converts an `Instant` into a time of this clock; an instant before the clock's start counts as its start.
    pub fn time_of(&self, instant: Instant) -> Micros {
        self.start_time + instant.saturating_duration_since(self.start).as_micros() as Micros
    }

    /// How far the wall clock is ahead of this clock, in microseconds; 0 if it is behind.
    pub fn wall_clock_offset(&self) -> Micros {
        wall_clock_now().saturating_sub(self.now())
    }
}

/// The id of the machine's present boot; 0 if it cannot be read.
fn boot_id() -> u128 {
    let text = std::fs::read_to_string(BOOT_ID_FILE).unwrap_or_default();
    let digits: String = text.trim().chars().filter(|c| *c != '-').collect();
    u128::from_str_radix(&digits, 16).unwrap_or(0)
}

/// The wall clock's time, in microseconds since the Unix epoch; 0 if the clock is set to an earlier time.
pub fn wall_clock_now() -> Micros {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as Micros)
}
