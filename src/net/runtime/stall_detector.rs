//! Whether this process ran late of late: stopped by a signal, starved, or on a machine that slept. What arrived meanwhile lies
//! unread in the sockets' buffers, and is binding all the same. It reads no clock itself.

use super::clock::Clock;
use crate::Micros;
use async_io::Timer;
use std::cell::Cell;
use std::time::Duration;

/// Time between two heartbeats. A stall shorter than the grace of a drain less this goes undetected and does no harm.
pub const HEARTBEAT: Duration = Duration::from_millis(100);
/// Time between two laps of a process that catches up.
pub const LAP: Duration = Duration::from_millis(5);
/// The heartbeat in the clock's unit.
const HEARTBEAT_MICROS: Micros = HEARTBEAT.as_micros() as Micros;
/// A heartbeat that is later than this shows that the process has read late.
const LATENESS_TOLERANCE: Micros = 50_000;
/// A heartbeat that is later than this shows a stall: calls wait until the process has caught up.
const STALL_THRESHOLD: Micros = 100_000;
/// After so many laps, in each of which all that is ready is read, the process has caught up. A span of time would say nothing of
/// that: the process may be held up once more.
const CATCH_UP_LAPS: u32 = 6;

/// A time in which the process did not run, and with which it has not caught up.
#[derive(Clone, Copy, Debug)]
struct Lateness {
    /// The last heartbeat before it: what arrived from then on may be unread.
    since: Micros,
    laps_left: u32,
    /// It was so long that calls wait.
    is_stall: bool,
}

/// Detects by heartbeats that come late that the process did not run.
#[derive(Debug)]
pub struct StallDetector {
    last_heartbeat: Cell<Micros>,
    /// `None` while the process has caught up.
    lateness: Cell<Option<Lateness>>,
    /// The length of a stall that is not logged yet.
    unlogged: Cell<Option<Micros>>,
}

impl StallDetector {
    /// A detector of a process that runs at this time.
    pub fn new(now: Micros) -> Self {
        StallDetector { last_heartbeat: Cell::new(now), lateness: Cell::new(None), unlogged: Cell::new(None) }
    }

    /// Detects that the process was late, whoever asks first after it.
    fn detect(&self, now: Micros) {
        let last_heartbeat = self.last_heartbeat.get();
        let silence = now.saturating_sub(last_heartbeat);
        if silence <= HEARTBEAT_MICROS + LATENESS_TOLERANCE {
            return;
        }
        self.last_heartbeat.set(now);
        let is_stall = silence > HEARTBEAT_MICROS + STALL_THRESHOLD;
        if is_stall {
            self.unlogged.set(Some(silence));
        }
        let fresh = Lateness { since: last_heartbeat, laps_left: CATCH_UP_LAPS, is_stall };
        let lateness = match self.lateness.get() {
            // Late once more before the process had caught up: what arrived in the first lateness may be unread too.
            Some(earlier) if is_stall => Lateness { since: earlier.since, ..fresh },
            Some(earlier) => earlier,
            None => fresh,
        };
        self.lateness.set(Some(lateness));
    }

    /// The earliest time at which something that is read now may have arrived.
    pub fn arrived_since(&self, now: Micros) -> Micros {
        self.detect(now);
        self.lateness.get().map_or(now, |lateness| lateness.since)
    }

    /// All that arrived before this time has been read, unless the process is late.
    pub fn heartbeat(&self, now: Micros) {
        self.detect(now);
        self.last_heartbeat.set(now);
    }

    /// A lap of a process that catches up, made every [`LAP`]. It is a heartbeat, too.
    pub fn lap(&self, now: Micros) {
        self.heartbeat(now);
        let Some(lateness) = self.lateness.get() else { return };
        let laps_left = lateness.laps_left.saturating_sub(1);
        self.lateness.set((laps_left > 0).then_some(Lateness { laps_left, ..lateness }));
    }

    /// Whether what arrived while the process did not run has been read, or it was never late.
    pub fn is_caught_up(&self, now: Micros) -> bool {
        self.detect(now);
        self.lateness.get().is_none()
    }

    /// Whether calls may be sent: there was no stall, or the process has caught up with it.
    pub fn allows_calls(&self, now: Micros) -> bool {
        self.detect(now);
        self.lateness.get().is_none_or(|lateness| !lateness.is_stall)
    }

    /// Returns once calls may be sent. Guards against a call to an endpoint whose drain or `retry_after` lies unread in a socket's
    /// buffer, as after SIGSTOP and SIGCONT.
    pub async fn until_calls_allowed(&self, clock: &Clock) {
        while !self.allows_calls(clock.now()) {
            Timer::after(LAP).await;
        }
    }

    /// The length of a stall that was not taken before, to be logged.
    pub fn take_unlogged(&self) -> Option<Micros> {
        self.unlogged.take()
    }
}
