//! The locks of the state folder: one process owns it at a time, and one may be next, so that a third cannot come between those
//! two. The kernel releases the locks of a process that dies.

use serde::{Deserialize, Serialize};
use std::fs::{File, OpenOptions, TryLockError};
use std::io::{self, Read, Seek, Write};
use std::net::SocketAddr;
use std::path::Path;

/// What the owner writes into the folder for its successor.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Owner {
    /// Where operators call it.
    pub operator: SocketAddr,
    /// What a successor must present to ask for the hand-over.
    pub token: String,
}

/// A locked file; dropping it releases the lock.
pub struct Lock(File);

impl Lock {
    fn open(path: &Path) -> io::Result<File> {
        OpenOptions::new().read(true).write(true).create(true).truncate(false).open(path)
    }

    fn try_lock(path: &Path) -> io::Result<Option<Lock>> {
        let file = Lock::open(path)?;
        match file.try_lock() {
            Ok(()) => Ok(Some(Lock(file))),
            Err(TryLockError::WouldBlock) => Ok(None),
            Err(TryLockError::Error(e)) => Err(e),
        }
    }

    /// The right to be the next owner; `None` while another process has it.
    ///
    /// # Errors
    ///
    /// The file cannot be opened or locked.
    pub fn next(folder: &Path) -> io::Result<Option<Lock>> {
        Lock::try_lock(&folder.join("next"))
    }

    /// The ownership of the folder; `None` while another process has it.
    ///
    /// # Errors
    ///
    /// The file cannot be opened or locked.
    pub fn owner(folder: &Path) -> io::Result<Option<Lock>> {
        Lock::try_lock(&folder.join("owner"))
    }

    /// Writes the owner into the locked file.
    ///
    /// # Errors
    ///
    /// The file cannot be written.
    pub fn write_owner(&mut self, owner: &Owner) -> io::Result<()> {
        let text = serde_json::to_vec(owner)?;
        self.0.set_len(0)?;
        self.0.rewind()?;
        self.0.write_all(&text)
    }
}

/// The owner of a folder, if that is written there.
pub fn read_owner(folder: &Path) -> Option<Owner> {
    let mut text = String::new();
    File::open(folder.join("owner")).ok()?.read_to_string(&mut text).ok()?;
    serde_json::from_str(&text).ok()
}
