//! A flag that tasks can wait for.

use async_channel::{Receiver, Sender};
use std::cell::RefCell;

/// A flag that tasks can wait for. It is clear at first, and can be set and cleared any number of times.
pub struct Latch {
    /// Closed while the flag is set; nothing is ever sent on it.
    channel: RefCell<(Sender<()>, Receiver<()>)>,
}

impl Default for Latch {
    fn default() -> Self {
        Latch { channel: async_channel::bounded(1).into() }
    }
}

impl Latch {
    /// Whether the flag is set.
    pub fn is_set(&self) -> bool {
        self.channel.borrow().0.is_closed()
    }

    /// Sets the flag and wakes every task that waits for it.
    pub fn set(&self) {
        self.channel.borrow().0.close();
    }

    /// Clears the flag; later calls of [`wait`](Self::wait) wait for the next [`set`](Self::set).
    pub fn clear(&self) {
        if self.is_set() {
            *self.channel.borrow_mut() = async_channel::bounded(1);
        }
    }

    /// Returns once the flag is set, at once if it is set already.
    pub async fn wait(&self) {
        let set = self.channel.borrow().1.clone();
        // Nothing is ever sent: receiving ends with an error when the flag is set and the channel is closed.
        let _ = set.recv().await;
    }
}
