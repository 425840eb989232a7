//! The eviction order of connections: which one is closed first when the connection limit is reached, and which request is
//! ended first when the memory for requests is used up. The registry only notifies the evicted connection, which then closes
//! itself.

use async_channel::{Receiver, Sender};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The order of eviction by the state of a connection: the first variant is evicted first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EvictionPriority {
    /// Its last response was written.
    Lingering,
    /// It has not sent any request yet.
    NoRequestYet,
    /// It has been served before and is between two requests.
    Idle,
    /// A part of a request was received.
    Reading,
}

impl EvictionPriority {
    /// The name of the state in counters.
    pub fn name(self) -> &'static str {
        match self {
            EvictionPriority::Lingering => "lingering",
            EvictionPriority::NoRequestYet => "no-request-yet",
            EvictionPriority::Idle => "idle",
            EvictionPriority::Reading => "reading",
        }
    }
}

/// Why a connection was evicted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Eviction {
    /// The connection limit is reached.
    ConnectionLimit,
    /// The memory for requests is used up, and this connection's request is the largest and slowest.
    MemoryLimit,
}

/// The bytes that the request of a connection holds beyond what each connection may hold; the connection keeps it up to date.
pub type HeldBytes = Rc<Cell<usize>>;

/// A connection's position in the eviction order. Among connections of equal priority, the earliest registered is
/// evicted first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct EvictionKey {
    priority: EvictionPriority,
    number: u64,
}

/// A connection that may be evicted.
struct Evictable {
    evict: Sender<Eviction>,
    /// What the request that is received on it holds; `None` if none is received.
    held: Option<HeldBytes>,
    since: Instant,
}

impl Evictable {
    /// How much the request holds times how long it has taken so far; `None` if it holds nothing.
    fn weight(&self, now: Instant) -> Option<u128> {
        let held = self.held.as_ref().map(|held| held.get()).filter(|held| *held > 0)?;
        let age = now.saturating_duration_since(self.since).max(Duration::from_micros(1));
        Some(held as u128 * age.as_micros())
    }
}

/// All connections that may be evicted, in eviction order.
#[derive(Default)]
pub struct ConnectionRegistry {
    evictable: RefCell<BTreeMap<EvictionKey, Evictable>>,
    last_number: Cell<u64>,
    evictions_pending: Cell<usize>,
}

impl ConnectionRegistry {
    /// Registers a connection as evictable until the registration is dropped.
    pub fn register(self: &Rc<Self>, priority: EvictionPriority) -> Registration {
        self.insert(priority, None)
    }

    /// Registers a connection on which a request is received, until the registration is dropped. `held` is what the request
    /// holds meanwhile.
    pub fn register_request(self: &Rc<Self>, held: HeldBytes) -> Registration {
        self.insert(EvictionPriority::Reading, Some(held))
    }

    fn insert(self: &Rc<Self>, priority: EvictionPriority, held: Option<HeldBytes>) -> Registration {
        let (evict, evicted) = async_channel::bounded(1);
        self.last_number.set(self.last_number.get() + 1);
        let key = EvictionKey { priority, number: self.last_number.get() };
        let evictable = Evictable { evict, held, since: Instant::now() };
        self.evictable.borrow_mut().insert(key, evictable);
        Registration { registry: self.clone(), key, evicted }
    }

    /// The number of connections that were evicted and have not dropped their registration yet.
    pub fn evictions_pending(&self) -> usize {
        self.evictions_pending.get()
    }

    /// Evicts the first connection in eviction order. Returns false if none is evictable, as all are being served.
    pub fn evict_one(&self) -> bool {
        let first = self.evictable.borrow().first_key_value().map(|(key, _)| *key);
        first.is_some_and(|key| self.evict(key, Eviction::ConnectionLimit))
    }

    /// Evicts the connection whose request is received and has held the most for the longest time. Returns false if no such
    /// request holds anything.
    pub fn evict_largest_and_slowest_request(&self, now: Instant) -> bool {
        let evictable = self.evictable.borrow();
        let weights = evictable.iter().filter_map(|(key, entry)| Some((entry.weight(now)?, *key)));
        let heaviest = weights.max();
        drop(evictable);
        heaviest.is_some_and(|(_, key)| self.evict(key, Eviction::MemoryLimit))
    }

    fn evict(&self, key: EvictionKey, reason: Eviction) -> bool {
        let Some(evicted) = self.evictable.borrow_mut().remove(&key) else { return false };
        // The channel has room, as a connection is evicted once.
        let _ = evicted.evict.try_send(reason);
        self.evictions_pending.set(self.evictions_pending.get() + 1);
        true
    }
}

/// The registration of an evictable connection, which ends when this is dropped.
pub struct Registration {
    registry: Rc<ConnectionRegistry>,
    key: EvictionKey,
    evicted: Receiver<Eviction>,
}

impl Registration {
    /// Returns once this connection is evicted, and why.
    pub async fn evicted(&self) -> Eviction {
        // The sender sends the reason before it is dropped.
        self.evicted.recv().await.unwrap_or(Eviction::ConnectionLimit)
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        if self.registry.evictable.borrow_mut().remove(&self.key).is_none() {
            self.registry.evictions_pending.set(self.registry.evictions_pending.get() - 1);
        }
    }
}
