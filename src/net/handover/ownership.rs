//! Whether this process owns the state folder, and the token by which a successor may ask for it.

use super::lock::{Lock, Owner};
use std::cell::RefCell;
use std::io;

/// The lock of the state folder, for as long as this process has it.
#[derive(Default)]
pub struct FolderOwnership {
    lock: RefCell<Option<Lock>>,
    token: RefCell<String>,
}

impl FolderOwnership {
    /// Takes the lock, with the token that a successor must present.
    pub fn acquire(&self, lock: Lock, token: &str) {
        token.clone_into(&mut self.token.borrow_mut());
        *self.lock.borrow_mut() = Some(lock);
    }

    /// Releases the lock.
    pub fn release(&self) {
        drop(self.lock.take());
    }

    /// Whether a successor has presented the right token.
    pub fn is_token(&self, presented: &str) -> bool {
        presented == *self.token.borrow()
    }

    /// Writes the owner's address into the folder; nothing to do once the lock was released.
    ///
    /// # Errors
    ///
    /// The file could not be written.
    pub fn write_owner(&self, owner: &Owner) -> io::Result<()> {
        self.lock.borrow_mut().as_mut().map_or(Ok(()), |lock| lock.write_owner(owner))
    }
}
