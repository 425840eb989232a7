//! The journal's storage on a folder of the machine.

use crate::journal::storage::Storage;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// A folder, and the file in it that is being appended to.
pub struct Folder {
    path: PathBuf,
    newest: Option<File>,
}

impl Folder {
    /// The folder of a path, which is made if it is not there.
    pub fn open(path: &Path) -> io::Result<Folder> {
        fs::create_dir_all(path)?;
        Ok(Folder { path: path.to_owned(), newest: None })
    }

    fn newest(&mut self) -> io::Result<&mut File> {
        self.newest.as_mut().ok_or_else(|| io::Error::other("no file was begun"))
    }
}

impl Storage for Folder {
    fn list(&mut self) -> io::Result<Vec<(String, u64)>> {
        let mut files = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            let entry = entry?;
            // The journal's own names are plain text; another file counts by its size alone.
            let name = entry.file_name().to_string_lossy().into_owned();
            files.push((name, entry.metadata()?.len()));
        }
        Ok(files)
    }

    fn read(&mut self, name: &str) -> io::Result<Vec<u8>> {
        fs::read(self.path.join(name))
    }

    fn begin(&mut self, name: &str) -> io::Result<()> {
        self.newest = None;
        let file = OpenOptions::new().create_new(true).append(true).open(self.path.join(name))?;
        self.newest = Some(file);
        Ok(())
    }

    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.newest()?.write_all(bytes)
    }

    fn cut(&mut self, size: u64) -> io::Result<()> {
        self.newest()?.set_len(size)
    }

    fn cut_file(&mut self, name: &str, size: u64) -> io::Result<()> {
        OpenOptions::new().write(true).open(self.path.join(name))?.set_len(size)
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        match fs::remove_file(self.path.join(name)) {
            Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(()),
            result => result,
        }
    }
}
