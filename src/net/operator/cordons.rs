//! The file of the cordons, which keeps endpoints cordoned over a restart. This module makes no decisions.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};

/// The largest size of the file, in bytes. During a write there are two files of this size.
const MAX_FILE_BYTES: usize = 8 * 1024;

/// The file that persists which endpoints are cordoned.
pub struct CordonFile {
    path: PathBuf,
}

impl CordonFile {
    /// The file in the given state folder; it need not exist.
    pub fn new(folder: &Path) -> Self {
        CordonFile { path: folder.join("cordons") }
    }

    /// Reads the ids of the cordoned endpoints, one on each line of the file; none if there is no file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file exists and cannot be read.
    pub fn read(&self) -> io::Result<Vec<String>> {
        match fs::read_to_string(&self.path) {
            Ok(text) => Ok(text.lines().map(str::to_owned).collect()),
            Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(Vec::new()),
            Err(e) => Err(e),
        }
    }

    /// Replaces the persisted ids by the given ones. The write is atomic: if the process is killed meanwhile, the file has
    /// either the earlier ids or the new ones.
    ///
    /// # Errors
    ///
    /// Returns an error if the ids exceed the largest size of the file, or the file cannot be written. The earlier ids then
    /// remain.
    pub fn write<'a>(&self, ids: impl Iterator<Item = &'a str>) -> io::Result<()> {
        let text: String = ids.map(|id| format!("{id}\n")).collect();
        if text.len() > MAX_FILE_BYTES {
            return Err(io::Error::new(io::ErrorKind::StorageFull, "too many are left out"));
        }
        let new_file = self.path.with_extension("new");
        fs::write(&new_file, text)?;
        fs::rename(&new_file, &self.path)
    }
}
