//! The cordons on disk: what operators left out stays out over a restart. It decides nothing.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};

/// What the file may take; it is written anew beside the old one.
const LARGEST: usize = 8 * 1024;

/// The file of the cordons.
pub struct Cordons {
    path: PathBuf,
}

impl Cordons {
    /// The one in a folder.
    pub fn new(folder: &Path) -> Self {
        Cordons { path: folder.join("cordons") }
    }

    /// The ids that were kept, one a line; none if nothing ever was.
    pub fn read(&self) -> io::Result<Vec<String>> {
        match fs::read_to_string(&self.path) {
            Ok(text) => Ok(text.lines().map(str::to_owned).collect()),
            Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(Vec::new()),
            Err(e) => Err(e),
        }
    }

    /// Keeps these. After an error, or a kill at any moment, those kept before are there.
    pub fn write<'a>(&self, ids: impl Iterator<Item = &'a str>) -> io::Result<()> {
        let text: String = ids.map(|id| format!("{id}\n")).collect();
        if text.len() > LARGEST {
            return Err(io::Error::new(io::ErrorKind::StorageFull, "too many are left out"));
        }
        let beside = self.path.with_extension("new");
        fs::write(&beside, text)?;
        fs::rename(&beside, &self.path)
    }
}
