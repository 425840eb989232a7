//! The queue of simulation events, in the order of virtual time.

use cedarbridge::{Lifecycle, LoadReport, Micros, Outcome};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// The low bits of a heap key that hold the slot; the sequence number is in the bits above. A run never has 2^24 events
/// queued at once.
const SLOT_BITS: u32 = 24;

/// An event of the simulation.
pub(super) enum SimulationEvent {
    /// A client connects to send the request with this index.
    Request { index: usize, retry_of: Option<usize>, first_tried: Micros },
    /// The forwarder takes a policy step.
    PolicyStep(usize),
    /// A timer of the forwarder's policy expires.
    Timer(usize),
    /// The last byte of the call arrives at its endpoint; void if the call's version has changed.
    CallArrives(usize, u32),
    /// A call, or one attempt of it, ends; void if the call's version has changed.
    CallEnds {
        call: usize,
        version: u32,
        attempt_index: Option<usize>,
        outcome: Outcome,
        report: Option<LoadReport>,
    },
    /// A planned fault starts or ends.
    FaultChange,
    /// The forwarder learns a change of the endpoint list.
    ListChange { forwarder: usize, endpoint: usize, lifecycle: Lifecycle },
    /// The fleet gets the planned size with this index.
    FleetSize(usize),
    /// The forwarder reloads its settings.
    SettingsUpdate(usize),
    /// The planned stop with this index begins.
    Stop(usize),
    /// A draining forwarder checks whether its process can end.
    DrainCheck { forwarder: usize, since: Micros, restart_delay: Micros },
    /// The forwarder's process is ready.
    Start(usize),
    /// The figures sample open messages and breakers.
    Sample,
}

/// A queue of events, ordered by time; events of the same time come out in the order in which they were pushed.
#[derive(Default)]
pub(super) struct EventQueue {
    heap: BinaryHeap<Reverse<(Micros, u64)>>,
    slots: Vec<Option<SimulationEvent>>,
    free_slots: Vec<usize>,
    last_sequence: u64,
}

fn slot_of(key: u64) -> usize {
    (key & ((1 << SLOT_BITS) - 1)) as usize
}

impl EventQueue {
    /// Queues an event for a time.
    pub(super) fn push(&mut self, time: Micros, event: SimulationEvent) {
        let slot = self.free_slots.pop().unwrap_or_else(|| {
            self.slots.push(None);
            self.slots.len() - 1
        });
        self.slots[slot] = Some(event);
        self.last_sequence += 1;
        self.heap.push(Reverse((time, self.last_sequence << SLOT_BITS | slot as u64)));
    }

    /// Removes the next event and returns it with its time; `None` if the queue is empty.
    pub(super) fn pop(&mut self) -> Option<(Micros, SimulationEvent)> {
        loop {
            let Reverse((time, key)) = self.heap.pop()?;
            let slot = slot_of(key);
            if let Some(event) = self.slots[slot].take() {
                self.free_slots.push(slot);
                return Some((time, event));
            }
        }
    }

    /// The next event, if its time is `now`.
    pub(super) fn peek_at(&self, now: Micros) -> Option<&SimulationEvent> {
        let Reverse((time, key)) = self.heap.peek()?;
        self.slots[slot_of(*key)].as_ref().filter(|_| *time == now)
    }
}
