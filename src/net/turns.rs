//! Turns for costly work: tasks that have much to do take turns, so that all of them together delay any other task by no more
//! than the work of one turn.

use async_channel::{Receiver, Sender};
use futures_lite::future;

/// Gives one task at a time its turn, in the order in which they ask.
pub struct Turns {
    /// Holds one item while nobody has the turn.
    free: (Sender<()>, Receiver<()>),
}

/// The turn of a task, which passes on when this is dropped. It must not be kept while its task waits.
pub struct Turn {
    free: Sender<()>,
}

impl Default for Turns {
    fn default() -> Self {
        let free = async_channel::bounded(1);
        // The channel is empty and has room for one.
        let _ = free.0.try_send(());
        Turns { free }
    }
}

impl Turns {
    /// Waits for the next turn. All other tasks that are ready run first.
    pub async fn next(&self) -> Turn {
        future::yield_now().await;
        // Both ends of the channel live as long as this.
        let _ = self.free.1.recv().await;
        Turn { free: self.free.0.clone() }
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        // The channel has room, as the only item was taken for this turn; it is closed only once nobody can take turns.
        let _ = self.free.try_send(());
    }
}
