//! The request ids that are in use, by which duplicates of a message are rejected: those of open messages, and for some time
//! those of messages that have ended, as an id that comes again is no new message.

use crate::memory::MemoryPermit;
use crate::Micros;
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::collections::{HashMap, HashSet, VecDeque};
use std::rc::Rc;

/// What an ended id takes in memory besides its text, in bytes.
const ENDED_ID_OVERHEAD_BYTES: usize = 96;

/// The id of a message that has ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedId {
    /// The client's id of the message.
    pub request_id: Rc<str>,
    /// Until when the id is in use, in microseconds of the monotonic clock.
    pub until: Micros,
}

/// The request ids in use. An id is in use as long as its message is open or its delivery report pending, and then until the
/// time for which it is remembered, unless too many others end meanwhile.
#[derive(Debug)]
pub struct RequestIds {
    state: RefCell<State>,
}

#[derive(Debug)]
struct State {
    use_counts: HashMap<String, usize>,
    ended: HashSet<Rc<str>>,
    /// The ended ids in the order in which their messages ended.
    forgotten_next: VecDeque<EndedId>,
    /// What the ended ids hold.
    memory: MemoryPermit,
}

impl RequestIds {
    /// Creates a set without ids. `memory` is a permit of the user whose share the ended ids may hold.
    pub fn new(memory: MemoryPermit) -> Self {
        let (ended, forgotten_next) = Default::default();
        RequestIds {
            state: RefCell::new(State { use_counts: HashMap::new(), ended, forgotten_next, memory }),
        }
    }

    /// Whether a message with this id is open, has a pending delivery report, or has ended not long ago.
    pub fn in_use(&self, request_id: &str, now: Micros) -> bool {
        let mut state = self.state.borrow_mut();
        state.forget_expired(now);
        state.use_counts.contains_key(request_id) || state.ended.contains(request_id)
    }

    /// Marks an id as in use. It can be acquired several times at once.
    pub fn acquire(&self, request_id: &str) {
        *self.state.borrow_mut().use_counts.entry(request_id.to_owned()).or_default() += 1;
    }

    /// Releases an id. It is in use until it was released as often as it was acquired.
    pub fn release(&self, request_id: &str) {
        let use_counts = &mut self.state.borrow_mut().use_counts;
        let Some(count) = use_counts.get_mut(request_id) else { return };
        *count -= 1;
        if *count == 0 {
            use_counts.remove(request_id);
        }
    }

    /// Remembers the id of a message that has ended. If too many are remembered, the oldest ones are forgotten.
    pub fn remember(&self, ended: EndedId, now: Micros) {
        let mut state = self.state.borrow_mut();
        state.forget_expired(now);
        if ended.until > now && !state.ended.contains(&ended.request_id) && state.make_room_for(&ended) {
            state.ended.insert(ended.request_id.clone());
            state.forgotten_next.push_back(ended);
        }
    }

    /// The ids of ended messages that are remembered.
    pub fn ended(&self) -> Vec<EndedId> {
        self.state.borrow().forgotten_next.iter().cloned().collect()
    }
}

impl State {
    fn forget_expired(&mut self, now: Micros) {
        while self.forgotten_next.front().is_some_and(|ended| ended.until <= now) {
            self.forget_oldest();
        }
    }

    /// Reserves memory for an id; returns false if there is none, even without any other id.
    fn make_room_for(&mut self, ended: &EndedId) -> bool {
        while self.memory.grow(size(ended)).is_err() {
            if !self.forget_oldest() {
                return false;
            }
        }
        true
    }

    fn forget_oldest(&mut self) -> bool {
        let Some(oldest) = self.forgotten_next.pop_front() else { return false };
        self.ended.remove(&oldest.request_id);
        self.memory.shrink_to(self.memory.bytes() - size(&oldest));
        true
    }
}

fn size(ended: &EndedId) -> usize {
    ended.request_id.len() + ENDED_ID_OVERHEAD_BYTES
}
