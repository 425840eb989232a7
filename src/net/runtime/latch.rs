//! A condition that is set or not, with a way to wait for it.

use async_channel::{Receiver, Sender};
use std::cell::RefCell;

/// A latch; it is clear at first.
pub struct Latch {
    channel: RefCell<(Sender<()>, Receiver<()>)>,
}

impl Default for Latch {
    fn default() -> Self {
        Latch { channel: async_channel::bounded(1).into() }
    }
}

impl Latch {
    /// The condition holds.
    pub fn is_set(&self) -> bool {
        self.channel.borrow().0.is_closed()
    }

    /// From now on it holds.
    pub fn set(&self) {
        self.channel.borrow().0.close();
    }

    /// From now on it does not.
    pub fn clear(&self) {
        if self.is_set() {
            *self.channel.borrow_mut() = async_channel::bounded(1);
        }
    }

    /// Comes back once it holds.
    pub async fn wait(&self) {
        let set = self.channel.borrow().1.clone();
        let _ = set.recv().await;
    }
}
