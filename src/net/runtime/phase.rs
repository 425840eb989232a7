//! A phase that one owner advances and others wait for.

use async_channel::{Receiver, Sender};
use std::cell::{Cell, RefCell};

/// The present phase of an ordered sequence.
pub struct PhaseCell<P> {
    current: Cell<P>,
    changed: RefCell<(Sender<()>, Receiver<()>)>,
}

impl<P: Copy + Default> Default for PhaseCell<P> {
    fn default() -> Self {
        PhaseCell { current: Cell::default(), changed: RefCell::new(async_channel::bounded(1)) }
    }
}

impl<P: Copy + PartialOrd> PhaseCell<P> {
    /// The present phase.
    pub fn get(&self) -> P {
        self.current.get()
    }

    /// Enters a phase and wakes all that wait.
    pub fn set(&self, phase: P) {
        self.current.set(phase);
        let (changed, _) = self.changed.replace(async_channel::bounded(1));
        changed.close();
    }

    /// Returns once that phase, or a later one, was entered.
    pub async fn until(&self, phase: P) {
        while self.current.get() < phase {
            let changed = self.changed.borrow().1.clone();
            // Nothing is ever sent: the channel is closed at the next change.
            let _ = changed.recv().await;
        }
    }
}
