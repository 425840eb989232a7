//! The storage interface of the journal. Tests implement it with a storage that fails as planned.

use std::io;

/// A folder of files without subfolders. Only the file that was created last is appended to.
pub trait Storage {
    /// Lists the name and the size in bytes of each file.
    ///
    /// # Errors
    ///
    /// If the folder cannot be listed.
    fn list(&mut self) -> io::Result<Vec<(String, u64)>>;

    /// Reads a whole file.
    ///
    /// # Errors
    ///
    /// If the file does not exist or cannot be read.
    fn read(&mut self, name: &str) -> io::Result<Vec<u8>>;

    /// Creates a file that must not exist yet. Later appends go to this file.
    ///
    /// # Errors
    ///
    /// If the file cannot be created; an empty one may exist nevertheless.
    fn create(&mut self, name: &str) -> io::Result<()>;

    /// Appends to the file that was created last.
    ///
    /// # Errors
    ///
    /// If not all bytes could be written; any part of them may be in the file then.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;

    /// Truncates the file that was created last to `size` bytes.
    ///
    /// # Errors
    ///
    /// If the file cannot be truncated.
    fn truncate_newest(&mut self, size: u64) -> io::Result<()>;

    /// Truncates any file to `size` bytes.
    ///
    /// # Errors
    ///
    /// If the file cannot be truncated.
    fn truncate(&mut self, name: &str, size: u64) -> io::Result<()>;

    /// Removes a file. Removing one that does not exist succeeds.
    ///
    /// # Errors
    ///
    /// If the file cannot be removed.
    fn remove(&mut self, name: &str) -> io::Result<()>;
}
