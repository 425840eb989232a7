//! A variable for the current phase of a process, which one owner advances and other tasks wait for.

use async_channel::{Receiver, Sender};
use std::cell::{Cell, RefCell};

/// The current phase of an ordered sequence of phases.
pub struct PhaseCell<P> {
    current: Cell<P>,
    /// Closed and replaced at each change; nothing is ever sent on it.
    changed: RefCell<(Sender<()>, Receiver<()>)>,
}

impl<P: Copy + Default> Default for PhaseCell<P> {
    fn default() -> Self {
        PhaseCell { current: Cell::default(), changed: RefCell::new(async_channel::bounded(1)) }
    }
}

impl<P: Copy + PartialOrd> PhaseCell<P> {
    /// The phase entered last; the default phase before the first.
    pub fn get(&self) -> P {
        self.current.get()
    }

    /// Enters a phase and wakes every task that waits for one.
    pub fn set(&self, phase: P) {
        self.current.set(phase);
        let (changed, _) = self.changed.replace(async_channel::bounded(1));
        changed.close();
    }

    /// Returns once the phase, or a later one, was entered.
    pub async fn until_entered(&self, phase: P) {
        while self.current.get() < phase {
            let changed = self.changed.borrow().1.clone();
            // Nothing is ever sent: receiving ends with an error when the channel is closed at the next change.
            let _ = changed.recv().await;
        }
    }
}
