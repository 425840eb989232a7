//! Who owns the lasting folder: one process at a time, by locks that the kernel lets go of when a process dies. Who
//! comes next waits in line for that, so that a third cannot slip in between two others.

use serde::{Deserialize, Serialize};
use std::fs::{File, OpenOptions, TryLockError};
use std::io::{self, Read, Seek, Write};
use std::net::SocketAddr;
use std::path::Path;

/// What the owner tells of itself to the one that comes next.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Owner {
    /// Where it takes operators' calls.
    pub operator: SocketAddr,
    /// What it wants to hear from one that asks for the hand-over.
    pub token: String,
}

/// A file that is locked as long as this lives.
pub struct Lock(File);

impl Lock {
    fn open(path: &Path) -> io::Result<File> {
        OpenOptions::new().read(true).write(true).create(true).truncate(false).open(path)
    }

    fn attempt(path: &Path) -> io::Result<Option<Lock>> {
        let file = Lock::open(path)?;
        match file.try_lock() {
            Ok(()) => Ok(Some(Lock(file))),
            Err(TryLockError::WouldBlock) => Ok(None),
            Err(TryLockError::Error(e)) => Err(e),
        }
    }

    /// The place of the one that comes next; none while another has it.
    pub fn next(folder: &Path) -> io::Result<Option<Lock>> {
        Lock::attempt(&folder.join("next"))
    }

    /// The folder itself; none while another process owns it.
    pub fn owner(folder: &Path) -> io::Result<Option<Lock>> {
        Lock::attempt(&folder.join("owner"))
    }

    /// Tells who owns it.
    pub fn name(&mut self, owner: &Owner) -> io::Result<()> {
        let text = serde_json::to_vec(owner)?;
        self.0.set_len(0)?;
        self.0.rewind()?;
        self.0.write_all(&text)
    }
}

/// Who owns a folder, as far as that was told.
pub fn read_owner(folder: &Path) -> Option<Owner> {
    let mut text = String::new();
    File::open(folder.join("owner")).ok()?.read_to_string(&mut text).ok()?;
    serde_json::from_str(&text).ok()
}
