//! Whether this process was stalled of late: stopped by a signal, starved, or on a machine that slept. What arrived meanwhile
//! lies unread in the sockets' buffers, and is binding all the same. It reads no clock itself.

use super::clock::Clock;
use crate::Micros;
use async_io::Timer;
use std::cell::Cell;
use std::time::Duration;

/// Time between two heartbeats. A stall shorter than the grace of a drain less this goes undetected and does no harm.
pub const HEARTBEAT: Duration = Duration::from_millis(100);
/// The same in the clock's unit.
const HEARTBEAT_MICROS: Micros = HEARTBEAT.as_micros() as Micros;
/// A heartbeat that is later than this shows that the process was stalled.
const STALL_THRESHOLD: Micros = 100_000;
/// After a stall nothing new is sent for so long: what arrived during the stall is read first.
const CATCH_UP: Micros = 30_000;
/// Time between two looks of a call that waits until the process has caught up.
const CATCH_UP_POLL: Duration = Duration::from_millis(5);

/// A stall, and the time after it in which the process catches up.
#[derive(Clone, Copy, Debug)]
struct Stall {
    /// The last heartbeat before it.
    since: Micros,
    /// What arrived meanwhile has been read by then.
    caught_up_at: Micros,
}

/// Detects stalls by heartbeats that come late.
#[derive(Debug)]
pub struct StallDetector {
    last_heartbeat: Cell<Micros>,
    last_stall: Cell<Option<Stall>>,
    /// The length of a stall that is not logged yet.
    unlogged: Cell<Option<Micros>>,
}

impl StallDetector {
    /// A detector of a process that runs at this time.
    pub fn new(now: Micros) -> Self {
        StallDetector {
            last_heartbeat: Cell::new(now),
            last_stall: Cell::new(None),
            unlogged: Cell::new(None),
        }
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
        let unfinished = self.last_stall.get().filter(|stall| last_heartbeat < stall.caught_up_at);
        let since = unfinished.map_or(last_heartbeat, |stall| stall.since);
        self.last_stall.set(Some(Stall { since, caught_up_at: now + CATCH_UP }));
    }

    fn ongoing(&self, now: Micros) -> Option<Stall> {
        self.detect(now);
        self.last_stall.get().filter(|stall| now < stall.caught_up_at)
    }

    /// The earliest time at which something that is read now may have arrived.
    pub fn arrived_since(&self, now: Micros) -> Micros {
        self.ongoing(now).map_or(now, |stall| stall.since)
    }

    /// All that arrived before this time has been read.
    pub fn heartbeat(&self, now: Micros) {
        self.detect(now);
        self.last_heartbeat.set(now);
    }

    /// Whether what arrived during a stall has been read, or there was none.
    pub fn is_caught_up(&self, now: Micros) -> bool {
        self.ongoing(now).is_none()
    }

    /// Returns once the process has caught up. Guards against a call to an endpoint whose drain or `retry_after` lies unread in
    /// a socket's buffer, as after SIGSTOP and SIGCONT.
    pub async fn until_caught_up(&self, clock: &Clock) {
        while !self.is_caught_up(clock.now()) {
            Timer::after(CATCH_UP_POLL).await;
        }
    }

    /// The length of a stall that was not taken before, to be logged.
    pub fn take_unlogged(&self) -> Option<Micros> {
        self.unlogged.take()
    }
}
