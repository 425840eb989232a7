//! The journal's storage as files in a folder.

use crate::journal::storage::Storage;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// A folder with the journal's files, of which the newest one is open for appending.
pub struct FolderStorage {
    path: PathBuf,
    newest_file: Option<File>,
}

impl FolderStorage {
    /// Opens the folder at a path, and creates it if it does not exist.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder cannot be created.
    pub fn open(path: &Path) -> io::Result<FolderStorage> {
        fs::create_dir_all(path)?;
        Ok(FolderStorage { path: path.to_owned(), newest_file: None })
    }

    fn newest_file(&mut self) -> io::Result<&mut File> {
        self.newest_file.as_mut().ok_or_else(|| io::Error::other("no journal file was created"))
    }
}

impl Storage for FolderStorage {
    fn list(&mut self) -> io::Result<Vec<(String, u64)>> {
        let mut files = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            let entry = entry?;
            // The journal's own file names are ASCII. Of other files only the size is used, so a lossy name does no
            // harm.
            let name = entry.file_name().to_string_lossy().into_owned();
            files.push((name, entry.metadata()?.len()));
        }
        Ok(files)
    }

    fn read(&mut self, name: &str) -> io::Result<Vec<u8>> {
        fs::read(self.path.join(name))
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        self.newest_file = None;
        let file = OpenOptions::new().create_new(true).append(true).open(self.path.join(name))?;
        self.newest_file = Some(file);
        Ok(())
    }

    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.newest_file()?.write_all(bytes)
    }

    fn truncate_newest(&mut self, size: u64) -> io::Result<()> {
        self.newest_file()?.set_len(size)
    }

    fn truncate(&mut self, name: &str, size: u64) -> io::Result<()> {
        OpenOptions::new().write(true).open(self.path.join(name))?.set_len(size)
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        match fs::remove_file(self.path.join(name)) {
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(()),
            result => result,
        }
    }
}
