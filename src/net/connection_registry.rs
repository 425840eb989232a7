//! Which connections are let go first where there is no room for another. It closes none itself.

use async_channel::{Receiver, Sender};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Where a connection stands that may be let go when there is no room: the first ones go first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EvictionPriority {
    /// It has its last answer.
    Lingering,
    /// It never sent a request.
    NoRequestYet,
    /// It was served and is between requests.
    Idle,
    /// Its request has begun and is not whole.
    Reading,
}

/// All connections that may be let go, in the order in which they go.
#[derive(Default)]
pub struct ConnectionRegistry {
    guests: RefCell<BTreeMap<(EvictionPriority, u64), Sender<()>>>,
    entered: Cell<u64>,
    /// Those that were asked to go and have not yet said what becomes of it.
    going: Cell<usize>,
}

impl ConnectionRegistry {
    /// Takes a place, to be given up when it is dropped.
    pub fn register(self: &Rc<Self>, stay: EvictionPriority) -> Registration {
        let (ask, asked) = async_channel::bounded(1);
        self.entered.set(self.entered.get() + 1);
        let place = (stay, self.entered.get());
        self.guests.borrow_mut().insert(place, ask);
        Registration { lobby: self.clone(), place, asked }
    }

    /// How many were asked to go and have not yet gone.
    pub fn evictions_pending(&self) -> usize {
        self.going.get()
    }

    /// Asks the first one to go; false if all are being served.
    pub fn evict_one(&self) -> bool {
        let asked = self.guests.borrow_mut().pop_first().is_some();
        self.going.set(self.going.get() + usize::from(asked));
        asked
    }
}

/// A place in the lobby.
pub struct Registration {
    lobby: Rc<ConnectionRegistry>,
    place: (EvictionPriority, u64),
    asked: Receiver<()>,
}

impl Registration {
    /// Comes back once this one is asked to go.
    pub async fn evicted(&self) {
        let _ = self.asked.recv().await;
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        if self.lobby.guests.borrow_mut().remove(&self.place).is_none() {
            self.lobby.going.set(self.lobby.going.get() - 1);
        }
    }
}
