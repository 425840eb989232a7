//! Whether this process was stalled of late: stopped by a signal, starved, or on a machine that slept. What arrived meanwhile
//! lies unread in the sockets' buffers, and is binding all the same. It reads no clock itself.

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
/// A heartbeat that is later than this shows that the process was stalled.
const STALL_THRESHOLD: Micros = 100_000;
/// After a stall nothing new is sent for so many laps, in each of which all that is ready is read. A span of time would say
/// nothing of that: the process may be held up once more.
const CATCH_UP_LAPS: u32 = 6;

/// A stall with which the process has not caught up.
#[derive(Clone, Copy, Debug)]
struct Stall {
    /// The last heartbeat before it.
    since: Micros,
    laps_left: u32,
}

/// Detects stalls by heartbeats that come late.
#[derive(Debug)]
pub struct StallDetector {
    last_heartbeat: Cell<Micros>,
    /// `None` while the process has caught up.
    stall: Cell<Option<Stall>>,
    /// The length of a stall that is not logged yet.
    unlogged: Cell<Option<Micros>>,
}

impl StallDetector {
    /// A detector of a process that runs at this time.
    pub fn new(now: Micros) -> Self {
        StallDetector { last_heartbeat: Cell::new(now), stall: Cell::new(None), unlogged: Cell::new(None) }
    }

    /// Detects a stall, whoever asks first after it.
    fn detect(&self, now: Micros) {
        let last_heartbeat = self.last_heartbeat.get();
        let silence = now.saturating_sub(last_heartbeat);
        if silence <= HEARTBEAT_MICROS + STALL_THRESHOLD {
            return;
        }
        self.last_heartbeat.set(now);
        self.unlogged.set(Some(silence));
        // A second stall before the process had caught up with the first: what arrived in the first may be unread too.
        let since = self.stall.get().map_or(last_heartbeat, |stall| stall.since);
        self.stall.set(Some(Stall { since, laps_left: CATCH_UP_LAPS }));
    }

    /// The earliest time at which something that is read now may have arrived.
    pub fn arrived_since(&self, now: Micros) -> Micros {
        self.detect(now);
        self.stall.get().map_or(now, |stall| stall.since)
    }

    /// All that arrived before this time has been read.
    pub fn heartbeat(&self, now: Micros) {
        self.detect(now);
        self.last_heartbeat.set(now);
    }

    /// A lap of a process that catches up, made every [`LAP`].
    pub fn lap(&self, now: Micros) {
        self.detect(now);
        let Some(stall) = self.stall.get() else { return };
        let laps_left = stall.laps_left.saturating_sub(1);
        self.stall.set((laps_left > 0).then_some(Stall { laps_left, ..stall }));
    }

    /// Whether what arrived during a stall has been read, or there was none.
    pub fn is_caught_up(&self, now: Micros) -> bool {
        self.detect(now);
        self.stall.get().is_none()
    }

    /// Returns once the process has caught up. Guards against a call to an endpoint whose drain or `retry_after` lies unread in
    /// a socket's buffer, as after SIGSTOP and SIGCONT.
    pub async fn until_caught_up(&self, clock: &Clock) {
        while !self.is_caught_up(clock.now()) {
            Timer::after(LAP).await;
        }
    }

    /// The length of a stall that was not taken before, to be logged.
    pub fn take_unlogged(&self) -> Option<Micros> {
        self.unlogged.take()
    }
}
