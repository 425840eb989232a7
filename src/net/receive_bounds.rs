//! Bounds for what a client's connection receives: how much of a request it may hold, and how often it is read. A small request
//! is received without asking. A larger one holds a permit of the memory budget, for which slower and larger ones are ended if
//! needed, and is received in turns with the others, so that hundreds of them delay no other task.

use super::connection_registry::{ConnectionRegistry, HeldBytes};
use super::turns::{Turn, Turns};
use crate::memory::plan::SMALL_REQUEST_BYTES;
use crate::memory::{MemoryBudget, MemoryPermit, MemoryUser};
use async_io::Timer;
use futures_lite::future;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How often a connection is read for one request before further receptions are in turns.
const READS_WITHOUT_TURN: u32 = 2;
/// A reception of fewer bytes is small: the next one waits, so that more arrives until then.
const SMALL_RECEPTION_BYTES: usize = 256;
/// The pause after the first small reception in turns. Each pause is twice the one before.
const FIRST_PAUSE: Duration = Duration::from_millis(5);
/// The longest pause.
const LONGEST_PAUSE: Duration = Duration::from_millis(40);

/// How long it may take until the requests fit into a smaller share.
const SHRINK_TIMEOUT: Duration = Duration::from_millis(100);

/// What all connections of clients share for their requests.
pub struct RequestMemory {
    /// The budget of the process.
    pub budget: Rc<MemoryBudget>,
    /// The connections whose requests may be ended.
    pub registry: Rc<ConnectionRegistry>,
    /// The turns in which large or slow requests are received.
    pub turns: Turns,
}

impl RequestMemory {
    /// Creates the shared state of connections, of which there are none yet.
    pub fn new(budget: Rc<MemoryBudget>) -> Self {
        RequestMemory { budget, registry: Rc::default(), turns: Turns::default() }
    }

    /// Ends the largest and slowest requests until the others fit into a share that has become smaller. Returns after a short
    /// time in any case, as complete requests are not ended.
    pub async fn until_within_share(&self) {
        let (budget, started_at) = (&self.budget, Instant::now());
        let is_over = || budget.used_bytes(MemoryUser::Requests) > budget.share_bytes(MemoryUser::Requests);
        while is_over() && started_at.elapsed() < SHRINK_TIMEOUT {
            self.registry.evict_largest_and_slowest_request(Instant::now());
            future::yield_now().await;
        }
    }

    /// Ends the largest and slowest request if less than a quarter of the memory for requests is left.
    fn keep_reserve(&self) {
        let share = self.budget.share_bytes(MemoryUser::Requests);
        if self.budget.used_bytes(MemoryUser::Requests) > share - share / 4 {
            self.registry.evict_largest_and_slowest_request(Instant::now());
        }
    }
}

/// The bounds of one connection.
pub struct ReceiveBounds {
    memory: Rc<RequestMemory>,
    /// What the present request holds beyond [`SMALL_REQUEST_BYTES`].
    permit: MemoryPermit,
    /// The bytes of the permit, as the registry sees them.
    held: HeldBytes,
    /// How often the connection was read for the present request.
    reads: u32,
    /// The pause before the next reception; zero after one that was not small.
    pause: Duration,
}

impl ReceiveBounds {
    /// The bounds of a connection that has received nothing.
    pub fn new(memory: Rc<RequestMemory>) -> Self {
        let permit = memory.budget.empty_permit(MemoryUser::Requests);
        ReceiveBounds { memory, permit, held: HeldBytes::default(), reads: 0, pause: Duration::ZERO }
    }

    /// The bytes that the present request holds, for the registry.
    pub fn held(&self) -> HeldBytes {
        self.held.clone()
    }

    /// Returns the permit of the present request, and begins to count for the next one.
    pub fn end_request(&mut self) -> MemoryPermit {
        self.held.set(0);
        (self.reads, self.pause) = (0, Duration::ZERO);
        self.permit.take()
    }

    /// Waits until the connection may hold more than the `held` bytes in its buffer; returns how many more.
    pub async fn until_room_behind(&mut self, held: usize) -> usize {
        if held >= self.buffer_limit() {
            self.reserve(held.max(SMALL_REQUEST_BYTES)).await;
        }
        self.buffer_limit() - held
    }

    fn buffer_limit(&self) -> usize {
        SMALL_REQUEST_BYTES + self.permit.bytes()
    }

    /// Waits until the connection may hold a body of `length` bytes besides what it holds already.
    pub async fn until_room_for(&mut self, length: usize) {
        if length > SMALL_REQUEST_BYTES / 2 {
            self.reserve(length).await;
        }
    }

    /// Reserves memory. If there is none left, the largest and slowest requests are ended.
    async fn reserve(&mut self, bytes: usize) {
        loop {
            let released = self.memory.budget.listen(MemoryUser::Requests);
            if self.permit.grow(bytes).is_ok() {
                self.held.set(self.permit.bytes());
                return self.memory.keep_reserve();
            }
            self.memory.registry.evict_largest_and_slowest_request(Instant::now());
            released.await;
        }
    }

    /// Records that the connection was read, and how many bytes were received.
    pub fn record_reception(&mut self, bytes: usize) {
        self.reads = self.reads.saturating_add(1);
        let is_small = bytes < SMALL_RECEPTION_BYTES && self.reads > READS_WITHOUT_TURN;
        self.pause = match is_small {
            true => (2 * self.pause).clamp(FIRST_PAUSE, LONGEST_PAUSE),
            false => Duration::ZERO,
        };
    }

    /// Waits for the next turn, as for discarding what a connection still receives.
    pub async fn turn(&self) -> Turn {
        self.memory.turns.next().await
    }

    /// Waits for the turn of the next reception; `None` if the request needs no turns so far.
    pub async fn next_turn(&mut self) -> Option<Turn> {
        if self.reads < READS_WITHOUT_TURN {
            return None;
        }
        let pause = std::mem::take(&mut self.pause);
        if !pause.is_zero() {
            Timer::after(pause).await;
            // A pause that was served counts for the length of the next one.
            self.pause = pause;
        }
        Some(self.memory.turns.next().await)
    }
}
