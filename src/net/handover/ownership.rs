//! The ownership of the state folder by this process, and the token with which a successor may request the hand-over.

use super::lock::{FolderLock, Owner};
use std::cell::RefCell;
use std::io;

/// The lock of the state folder, while this process holds it, and the token of this process.
#[derive(Default)]
pub struct FolderOwnership {
    lock: RefCell<Option<FolderLock>>,
    token: RefCell<String>,
}

impl FolderOwnership {
    /// Stores the lock that this process has taken, and the token that a successor must present.
    pub fn acquire(&self, lock: FolderLock, token: &str) {
        token.clone_into(&mut self.token.borrow_mut());
        *self.lock.borrow_mut() = Some(lock);
    }

    /// Releases the lock, so that the successor can take it.
    pub fn release(&self) {
        drop(self.lock.take());
    }

    /// Whether the token that a successor presented is that of this process.
    pub fn is_token(&self, presented: &str) -> bool {
        presented == *self.token.borrow()
    }

    /// Writes the owner's address and token into the state folder. Does nothing if the lock was released.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be written.
    pub fn write_owner(&self, owner: &Owner) -> io::Result<()> {
        self.lock.borrow_mut().as_mut().map_or(Ok(()), |lock| lock.write_owner(owner))
    }
}
