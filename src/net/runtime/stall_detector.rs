//! Detects that this process recently did not run: it was stopped by a signal, starved of processor time, or the machine was
//! suspended. Data that arrived meanwhile waits unread in the socket buffers, and a drain or a `retry_after` in it
//! applies from its arrival, not from when it is read. The detector reads no clock itself: its callers pass the time.

use super::clock::Clock;
use crate::Micros;
use async_io::Timer;
use std::cell::Cell;
use std::time::Duration;

/// The interval between two heartbeats. A stall that is shorter than the drain grace minus this interval can go undetected,
/// which does no harm.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);
/// The interval between two catch-up passes.
pub const CATCH_UP_PASS_INTERVAL: Duration = Duration::from_millis(5);
const HEARTBEAT_INTERVAL_US: Micros = HEARTBEAT_INTERVAL.as_micros() as Micros;
/// A heartbeat that is later than this shows that the process has read its sockets late.
const LATENESS_TOLERANCE_US: Micros = 50_000;
/// A heartbeat that is later than this shows a stall: calls wait until the process has caught up.
const STALL_THRESHOLD_US: Micros = 100_000;
/// The number of catch-up passes, each of which reads all that is ready, after which the process has caught up. Passes are
/// counted because elapsed time proves nothing: the process may be held up again.
const CATCH_UP_PASSES: u32 = 6;

/// A period in which the process did not run. The process has not yet read everything that arrived in it.
#[derive(Clone, Copy, Debug)]
struct Lateness {
    /// The time of the last heartbeat before the period: what arrived from then on may still be unread.
    since: Micros,
    /// The number of catch-up passes that are still to be made.
    passes_left: u32,
    /// The period was long enough that calls must wait.
    is_stall: bool,
}

/// Detects from late heartbeats that the process did not run. All times are in microseconds of [`Clock`].
#[derive(Debug)]
pub struct StallDetector {
    last_heartbeat: Cell<Micros>,
    /// `None` if the process has caught up or was never late.
    lateness: Cell<Option<Lateness>>,
    /// The length of the latest stall, until it is taken for the log.
    unlogged_stall: Cell<Option<Micros>>,
}

impl StallDetector {
    /// Creates a detector for a process that has read everything up to `now`.
    pub fn new(now: Micros) -> Self {
        StallDetector {
            last_heartbeat: Cell::new(now),
            lateness: Cell::new(None),
            unlogged_stall: Cell::new(None),
        }
    }

    /// Detects whether the process was late. Each public method calls this first, so that a stall is noticed by whichever
    /// task runs first after it.
    fn detect(&self, now: Micros) {
        let last_heartbeat = self.last_heartbeat.get();
        let since_heartbeat = now.saturating_sub(last_heartbeat);
        if since_heartbeat <= HEARTBEAT_INTERVAL_US + LATENESS_TOLERANCE_US {
            return;
        }
        self.last_heartbeat.set(now);
        let is_stall = since_heartbeat > HEARTBEAT_INTERVAL_US + STALL_THRESHOLD_US;
        if is_stall {
            self.unlogged_stall.set(Some(since_heartbeat));
        }
        let detected = Lateness { since: last_heartbeat, passes_left: CATCH_UP_PASSES, is_stall };
        let lateness = match self.lateness.get() {
            // A stall before the process has caught up: data that arrived in the earlier period may still be unread too.
            Some(earlier) if is_stall => Lateness { since: earlier.since, ..detected },
            Some(earlier) => earlier,
            None => detected,
        };
        self.lateness.set(Some(lateness));
    }

    /// The earliest time at which data that is read now may have arrived.
    pub fn earliest_arrival(&self, now: Micros) -> Micros {
        self.detect(now);
        self.lateness.get().map_or(now, |lateness| lateness.since)
    }

    /// Records that the process runs at `now`. Unless the process is late, it has read all that arrived before.
    pub fn heartbeat(&self, now: Micros) {
        self.detect(now);
        self.last_heartbeat.set(now);
    }

    /// Records a catch-up pass of a process that was late; one is due every [`CATCH_UP_PASS_INTERVAL`]. A pass is a
    /// heartbeat, too.
    pub fn catch_up_pass(&self, now: Micros) {
        self.heartbeat(now);
        let Some(lateness) = self.lateness.get() else { return };
        let passes_left = lateness.passes_left.saturating_sub(1);
        self.lateness.set((passes_left > 0).then_some(Lateness { passes_left, ..lateness }));
    }

    /// Whether the process has read all that arrived while it did not run; also true if it was never late.
    pub fn is_caught_up(&self, now: Micros) -> bool {
        self.detect(now);
        self.lateness.get().is_none()
    }

    /// Whether calls may be sent: there was no stall, or the process has caught up since.
    pub fn allows_calls(&self, now: Micros) -> bool {
        self.detect(now);
        self.lateness.get().is_none_or(|lateness| !lateness.is_stall)
    }

    /// Returns once calls may be sent. Guards against a call to an endpoint whose drain or `retry_after` is still unread in
    /// a socket buffer, for example after SIGSTOP and SIGCONT.
    pub async fn until_calls_allowed(&self, clock: &Clock) {
        while !self.allows_calls(clock.now()) {
            Timer::after(CATCH_UP_PASS_INTERVAL).await;
        }
    }

    /// Returns the length of the latest stall in microseconds, for the log; `None` if there was no stall since the last
    /// call.
    pub fn take_unlogged_stall(&self) -> Option<Micros> {
        self.unlogged_stall.take()
    }
}
