//! What the journal needs of the storage that holds its files. Tests implement one that fails at will.

use std::io;

/// A flat folder of files, one of which is being appended to.
pub trait Storage {
    /// The names of the files, with their sizes in bytes.
    ///
    /// # Errors
    ///
    /// If they cannot be listed.
    fn list(&mut self) -> io::Result<Vec<(String, u64)>>;

    /// The content of a file.
    ///
    /// # Errors
    ///
    /// If it cannot be read.
    fn read(&mut self, name: &str) -> io::Result<Vec<u8>>;

    /// Creates a file that must not exist yet; from now on appends go to it.
    ///
    /// # Errors
    ///
    /// If it cannot be created; an empty file may be there all the same.
    fn create(&mut self, name: &str) -> io::Result<()>;

    /// Appends to the file that was created last.
    ///
    /// # Errors
    ///
    /// If not all could be written; any part of it may be there then.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;

    /// Truncates the file that was created last to a size in bytes.
    ///
    /// # Errors
    ///
    /// If it cannot be truncated.
    fn truncate_newest(&mut self, size: u64) -> io::Result<()>;

    /// Truncates another file to a size in bytes.
    ///
    /// # Errors
    ///
    /// If it cannot be truncated.
    fn truncate(&mut self, name: &str, size: u64) -> io::Result<()>;

    /// Removes a file; one that is not there is no error.
    ///
    /// # Errors
    ///
    /// If it is still there.
    fn remove(&mut self, name: &str) -> io::Result<()>;
}
