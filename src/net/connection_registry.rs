//! Which connections are closed first to make room for another. It closes none itself.

use async_channel::{Receiver, Sender};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Which connections are evicted first where the limit is reached; those of the first variant go first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EvictionPriority {
    /// It has its last response.
    Lingering,
    /// It never sent a request.
    NoRequestYet,
    /// It was served and is between requests.
    Idle,
    /// Its request has begun and is not complete.
    Reading,
}

/// A connection's place in the order of eviction; of one priority, the earliest registered goes first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    priority: EvictionPriority,
    number: u64,
}

/// All connections that may be evicted, in the order in which they go.
#[derive(Default)]
pub struct ConnectionRegistry {
    evictable: RefCell<BTreeMap<Place, Sender<()>>>,
    last_number: Cell<u64>,
    evictions_pending: Cell<usize>,
}

impl ConnectionRegistry {
    /// Registers a connection that may be evicted, until the registration is dropped.
    pub fn register(self: &Rc<Self>, priority: EvictionPriority) -> Registration {
        let (evict, evicted) = async_channel::bounded(1);
        self.last_number.set(self.last_number.get() + 1);
        let place = Place { priority, number: self.last_number.get() };
        self.evictable.borrow_mut().insert(place, evict);
        Registration { registry: self.clone(), place, evicted }
    }

    /// How many connections were evicted and have not yet given up their registration.
    pub fn evictions_pending(&self) -> usize {
        self.evictions_pending.get()
    }

    /// Evicts the first connection; false if all are being served.
    pub fn evict_one(&self) -> bool {
        let is_evicted = self.evictable.borrow_mut().pop_first().is_some();
        self.evictions_pending.set(self.evictions_pending.get() + usize::from(is_evicted));
        is_evicted
    }
}

/// A registered connection.
pub struct Registration {
    registry: Rc<ConnectionRegistry>,
    place: Place,
    evicted: Receiver<()>,
}

impl Registration {
    /// Returns once this connection is evicted.
    pub async fn evicted(&self) {
        // Nothing is ever sent: the registry drops the sender.
        let _ = self.evicted.recv().await;
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        if self.registry.evictable.borrow_mut().remove(&self.place).is_none() {
            self.registry.evictions_pending.set(self.registry.evictions_pending.get() - 1);
        }
    }
}
