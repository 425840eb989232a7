//! The eviction order of connections: which one is closed first when the connection limit is reached. The registry
//! only notifies the evicted connection, which then closes itself.

use async_channel::{Receiver, Sender};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

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

/// A connection's position in the eviction order. Among connections of equal priority, the earliest registered is
/// evicted first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct EvictionKey {
    priority: EvictionPriority,
    number: u64,
}

/// All connections that may be evicted, in eviction order.
#[derive(Default)]
pub struct ConnectionRegistry {
    evictable: RefCell<BTreeMap<EvictionKey, Sender<()>>>,
    last_number: Cell<u64>,
    evictions_pending: Cell<usize>,
}

impl ConnectionRegistry {
    /// Registers a connection as evictable until the registration is dropped.
    pub fn register(self: &Rc<Self>, priority: EvictionPriority) -> Registration {
        let (evict, evicted) = async_channel::bounded(1);
        self.last_number.set(self.last_number.get() + 1);
        let key = EvictionKey { priority, number: self.last_number.get() };
        self.evictable.borrow_mut().insert(key, evict);
        Registration { registry: self.clone(), key, evicted }
    }

    /// The number of connections that were evicted and have not dropped their registration yet.
    pub fn evictions_pending(&self) -> usize {
        self.evictions_pending.get()
    }

    /// Evicts the first connection in eviction order. Returns false if none is evictable, as all are being served.
    pub fn evict_one(&self) -> bool {
        let is_evicted = self.evictable.borrow_mut().pop_first().is_some();
        self.evictions_pending.set(self.evictions_pending.get() + usize::from(is_evicted));
        is_evicted
    }
}

/// The registration of an evictable connection, which ends when this is dropped.
pub struct Registration {
    registry: Rc<ConnectionRegistry>,
    key: EvictionKey,
    evicted: Receiver<()>,
}

impl Registration {
    /// Returns once this connection is evicted.
    pub async fn evicted(&self) {
        // Nothing is ever sent on this channel: the registry drops the sender to evict the connection.
        let _ = self.evicted.recv().await;
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        if self.registry.evictable.borrow_mut().remove(&self.key).is_none() {
            self.registry.evictions_pending.set(self.registry.evictions_pending.get() - 1);
        }
    }
}
