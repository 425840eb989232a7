//! A condition that is set or not, with a way to wait for it.

use async_channel::{Receiver, Sender};
use std::cell::RefCell;

/// A condition; it is clear at first.
pub struct Latch {
    /// Closed while the condition is set; nothing is ever sent.
    channel: RefCell<(Sender<()>, Receiver<()>)>,
}

impl Default for Latch {
    fn default() -> Self {
        Latch { channel: async_channel::bounded(1).into() }
    }
}

impl Latch {
    /// Whether the condition is set.
    pub fn is_set(&self) -> bool {
        self.channel.borrow().0.is_closed()
    }

    /// Sets the condition, and wakes all that wait.
    pub fn set(&self) {
        self.channel.borrow().0.close();
    }

    /// Clears the condition.
    pub fn clear(&self) {
        if self.is_set() {
            *self.channel.borrow_mut() = async_channel::bounded(1);
        }
    }

    /// Returns once the condition is set.
    pub async fn wait(&self) {
        let set = self.channel.borrow().1.clone();
        // Nothing is ever sent: the channel is closed to set the condition.
        let _ = set.recv().await;
    }
}
