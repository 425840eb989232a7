//! Since when something that is read now may have lain unread. A process that is stopped, starved or busy reads late, and the
//! time of a request counts from its sending. It reads no clock itself.

use super::stall_detector::HEARTBEAT;
use crate::Micros;
use std::cell::Cell;

/// The heartbeat in the clock's unit.
const HEARTBEAT_MICROS: Micros = HEARTBEAT.as_micros() as Micros;
/// A heartbeat that is later than this shows that the process has read late.
const LATENESS_TOLERANCE: Micros = 50_000;

/// The earliest arrival of what is read now, by heartbeats that come late.
#[derive(Debug)]
pub struct ArrivalBound {
    last_heartbeat: Cell<Micros>,
    /// The last heartbeat before those that were late; `None` once one has come in time, as all that was ready at the late one
    /// before it has been read by then.
    unread_since: Cell<Option<Micros>>,
}

impl ArrivalBound {
    /// The bound of a process that runs at this time.
    pub fn new(now: Micros) -> Self {
        ArrivalBound { last_heartbeat: Cell::new(now), unread_since: Cell::new(None) }
    }

    fn is_late(&self, now: Micros) -> bool {
        now.saturating_sub(self.last_heartbeat.get()) > HEARTBEAT_MICROS + LATENESS_TOLERANCE
    }

    /// A heartbeat of the process, due every [`HEARTBEAT`].
    pub fn heartbeat(&self, now: Micros) {
        let late = self.is_late(now);
        let since = self.unread_since.get().unwrap_or(self.last_heartbeat.get());
        self.unread_since.set(late.then_some(since));
        self.last_heartbeat.set(now);
    }

    /// The earliest time at which something may have arrived that is read now.
    pub fn earliest_arrival(&self, now: Micros) -> Micros {
        match self.unread_since.get() {
            Some(since) => since,
            None if self.is_late(now) => self.last_heartbeat.get(),
            None => now,
        }
    }
}
