//! What the journal asks of the place where it is kept. Tests put one in its place that fails at will.

use std::io;

/// A flat folder of files, to one of which is being appended.
pub trait Storage {
    /// The files that are there, with their sizes in bytes.
    fn list(&mut self) -> io::Result<Vec<(String, u64)>>;

    /// All that a file holds.
    fn read(&mut self, name: &str) -> io::Result<Vec<u8>>;

    /// Begins a file that must not exist yet; what is appended from now on goes there.
    fn begin(&mut self, name: &str) -> io::Result<()>;

    /// Appends to the file that was begun last. After an error any part of it may be there.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;

    /// Cuts the file that was begun last to a size.
    fn cut(&mut self, size: u64) -> io::Result<()>;

    /// Cuts another file to a size.
    fn cut_file(&mut self, name: &str, size: u64) -> io::Result<()>;

    /// Removes a file; one that is not there is no error.
    fn remove(&mut self, name: &str) -> io::Result<()>;
}
