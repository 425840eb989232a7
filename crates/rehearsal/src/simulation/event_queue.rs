//! The queue of what happens in a simulated day, in the order of virtual time.

use cedarbridge::{Lifecycle, LoadReport, Micros, Outcome};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Bits of a heap key that hold the slot; the sequence number stands above them. No day has 2^24 events queued at once.
const SLOT_BITS: u32 = 24;

/// What happens at a moment of the day.
pub(super) enum SimulationEvent {
    Request {
        first: usize,
        retry_of: Option<usize>,
        first_tried: Micros,
    },
    PolicyStep(usize),
    Timer(usize),
    CallArrives(usize, u32),
    CallEnds {
        call: usize,
        version: u32,
        attempt_index: Option<usize>,
        outcome: Outcome,
        report: Option<LoadReport>,
    },
    FaultChange,
    ListChange {
        forwarder: usize,
        endpoint: usize,
        lifecycle: Lifecycle,
    },
    FleetSize(usize),
    SettingsUpdate(usize),
    Stop(usize),
    DrainCheck {
        forwarder: usize,
        since: Micros,
        back: Micros,
    },
    Start(usize),
    Sample,
}

/// Events by time; events of one moment come in the order in which they were queued.
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
    /// Queues an event.
    pub(super) fn push(&mut self, time: Micros, event: SimulationEvent) {
        let slot = self.free_slots.pop().unwrap_or_else(|| {
            self.slots.push(None);
            self.slots.len() - 1
        });
        self.slots[slot] = Some(event);
        self.last_sequence += 1;
        self.heap.push(Reverse((time, self.last_sequence << SLOT_BITS | slot as u64)));
    }

    /// Takes the next event with its time.
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

    /// The next event, if it happens at this moment.
    pub(super) fn peek_at(&self, now: Micros) -> Option<&SimulationEvent> {
        let Reverse((time, key)) = self.heap.peek()?;
        self.slots[slot_of(*key)].as_ref().filter(|_| *time == now)
    }
}
