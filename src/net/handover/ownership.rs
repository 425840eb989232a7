//! The ownership of the state folder by this process, and the token with which a successor may request the hand-over.

use super::lock::{FolderLock, Owner};
use std::cell::RefCell;
use std::io;

/// The lock of the state folder, while this process holds it, and the address and token of this process.
#[derive(Default)]
pub struct FolderOwnership {
    lock: RefCell<Option<FolderLock>>,
    owner: RefCell<Option<Owner>>,
}

impl FolderOwnership {
    /// Stores the lock that this process has taken, and the address and token by which a successor reaches it.
    pub fn acquire(&self, lock: FolderLock, owner: &Owner) {
        *self.owner.borrow_mut() = Some(owner.clone());
        *self.lock.borrow_mut() = Some(lock);
    }

    /// The address and token of this process; `None` if it has never owned the folder.
    pub fn owner(&self) -> Option<Owner> {
        self.owner.borrow().clone()
    }

    /// Releases the lock, so that the successor can take it.
    pub fn release(&self) {
        drop(self.lock.take());
    }

    /// Whether the token that a successor presented is that of this process.
    pub fn is_token(&self, presented: &str) -> bool {
        self.owner.borrow().as_ref().is_some_and(|owner| owner.token == presented)
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
