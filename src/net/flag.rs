//! Something that holds or does not, with word to those that wait for it.

use async_channel::{Receiver, Sender};
use std::cell::RefCell;

/// A flag; it is down at first.
pub struct Flag {
    word: RefCell<(Sender<()>, Receiver<()>)>,
}

impl Default for Flag {
    fn default() -> Self {
        Flag { word: async_channel::bounded(1).into() }
    }
}

impl Flag {
    /// It holds.
    pub fn is_up(&self) -> bool {
        self.word.borrow().0.is_closed()
    }

    /// From now on it holds.
    pub fn raise(&self) {
        self.word.borrow().0.close();
    }

    /// From now on it does not.
    pub fn lower(&self) {
        if self.is_up() {
            *self.word.borrow_mut() = async_channel::bounded(1);
        }
    }

    /// Comes back once it holds.
    pub async fn until_up(&self) {
        let word = self.word.borrow().1.clone();
        let _ = word.recv().await;
    }
}
