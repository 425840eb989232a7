//! The locks of the state folder. One process at a time owns the folder, and one other may hold the right to be the next
//! owner, so that a third process cannot take the folder during a hand-over between the two. The kernel releases the locks
//! of a process that dies.

use serde::{Deserialize, Serialize};
use std::fs::{File, OpenOptions, TryLockError};
use std::io::{self, Read, Seek, Write};
use std::net::SocketAddr;
use std::path::Path;

/// What the owner writes into the state folder, so that a successor can reach it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Owner {
    /// The address of the owner's operator API.
    pub operator: SocketAddr,
    /// The secret that a successor must present to request the hand-over.
    pub token: String,
}

/// A locked file; dropping it releases the lock.
pub struct FolderLock(File);

impl FolderLock {
    fn open(path: &Path) -> io::Result<File> {
        OpenOptions::new().read(true).write(true).create(true).truncate(false).open(path)
    }

    fn try_lock(path: &Path) -> io::Result<Option<FolderLock>> {
        let file = FolderLock::open(path)?;
        match file.try_lock() {
            Ok(()) => Ok(Some(FolderLock(file))),
            Err(TryLockError::WouldBlock) => Ok(None),
            Err(TryLockError::Error(e)) => Err(e),
        }
    }

    /// Tries to take the right to be the next owner; returns `None` while another process has it.
    ///
    /// # Errors
    ///
    /// Returns an error if the lock file cannot be opened or locked.
    pub fn try_next_owner(folder: &Path) -> io::Result<Option<FolderLock>> {
        FolderLock::try_lock(&folder.join("next"))
    }

    /// Tries to take the ownership of the folder; returns `None` while another process has it.
    ///
    /// # Errors
    ///
    /// Returns an error if the lock file cannot be opened or locked.
    pub fn try_owner(folder: &Path) -> io::Result<Option<FolderLock>> {
        FolderLock::try_lock(&folder.join("owner"))
    }

    /// Replaces the content of the locked file with the owner's address and token.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be written.
    pub fn write_owner(&mut self, owner: &Owner) -> io::Result<()> {
        let text = serde_json::to_vec(owner)?;
        self.0.set_len(0)?;
        self.0.rewind()?;
        self.0.write_all(&text)
    }
}

/// Reads the owner of a state folder; `None` if none is written there or the file cannot be read.
pub fn read_owner(folder: &Path) -> Option<Owner> {
    let mut text = String::new();
    File::open(folder.join("owner")).ok()?.read_to_string(&mut text).ok()?;
    serde_json::from_str(&text).ok()
}
