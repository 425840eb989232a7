//! The cordons on disk: what operators have cordoned stays so over a restart. It decides nothing.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};

/// The largest size of the file in bytes; a new one is written beside it.
const MAX_FILE_BYTES: usize = 8 * 1024;

/// The file of the cordons.
pub struct Cordons {
    path: PathBuf,
}

impl Cordons {
    /// The one in a folder.
    pub fn new(folder: &Path) -> Self {
        Cordons { path: folder.join("cordons") }
    }

    /// The persisted ids, one a line; none if there is no file.
    ///
    /// # Errors
    ///
    /// If the file is there and cannot be read.
    pub fn read(&self) -> io::Result<Vec<String>> {
        match fs::read_to_string(&self.path) {
            Ok(text) => Ok(text.lines().map(str::to_owned).collect()),
            Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(Vec::new()),
            Err(e) => Err(e),
        }
    }

    /// Persists these ids in place of the earlier ones.
    ///
    /// # Errors
    ///
    /// If they are too many or cannot be written. Then, as after a kill at any moment, the earlier ones are there.
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
