//! Persists the last view of the registry in the state folder, for a start while the registry does not answer. The file is
//! replaced atomically, and its checksum is verified when it is read.

use crate::membership::{EntryKey, EntryState, Listing};
use crate::{DestinationId, KindId, Micros, ZoneId};
use flate2::{read::GzDecoder, write::GzEncoder, Compression};
use serde::{Deserialize, Serialize};
use std::fs;
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

const FILE_NAME: &str = "registry.view";
const NEXT_FILE_NAME: &str = "registry.next";
/// The version of the file format.
const VERSION: u32 = 1;
/// The length of the checksum before the compressed view, in bytes.
const CHECKSUM_BYTES: usize = 4;
/// The most bytes that are decompressed.
const MAX_DECOMPRESSED_BYTES: u64 = 64 * 1024 * 1024;
/// The size of a disk block in bytes; the folder's limit counts whole blocks.
const DISK_BLOCK_BYTES: u64 = 512;
/// The view and its replacement may each use the state folder's limit divided by this.
const FOLDER_DIVISOR: u64 = 16;

/// An entry as the file stores it. An entry that is not up is restored as draining.
#[derive(Serialize, Deserialize)]
struct StoredEntry {
    app: String,
    id: String,
    address: SocketAddr,
    destination: u64,
    zone: usize,
    kind: usize,
    weight: f64,
    up: bool,
}

/// The content of the file, before compression.
#[derive(Serialize, Deserialize)]
struct StoredView {
    version: u32,
    /// When the file was written, in microseconds of Unix time.
    #[serde(rename = "at")]
    written_at: Micros,
    entries: Vec<StoredEntry>,
}

/// The file in which the view is persisted.
pub struct RegistrySnapshot {
    folder: PathBuf,
}

/// A persisted view.
pub struct SavedView {
    /// When it was written, in microseconds of Unix time.
    pub written_at: Micros,
    /// The entries of the view, all with the stamp 0.
    pub listings: Vec<Listing>,
}

impl RegistrySnapshot {
    /// The names of the files that [`RegistrySnapshot::write`] may leave.
    pub const FILE_NAMES: [&str; 2] = [FILE_NAME, NEXT_FILE_NAME];

    /// Uses the file in the given state folder; neither reads nor creates it.
    pub fn new(folder: &Path) -> Self {
        RegistrySnapshot { folder: folder.to_owned() }
    }

    /// Reads the persisted view; `None` if there is none.
    ///
    /// # Errors
    ///
    /// If the file cannot be read or is damaged.
    pub fn read(&self) -> io::Result<Option<SavedView>> {
        let bytes = match fs::read(self.folder.join(FILE_NAME)) {
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
            result => result?,
        };
        let (checksum, compressed) =
            bytes.split_at_checked(CHECKSUM_BYTES).ok_or(InvalidSnapshot::Truncated)?;
        if checksum != crc32fast::hash(compressed).to_le_bytes() {
            return Err(InvalidSnapshot::Checksum.into());
        }
        let mut decompressed = Vec::new();
        GzDecoder::new(compressed).take(MAX_DECOMPRESSED_BYTES).read_to_end(&mut decompressed)?;
        let file: StoredView = serde_json::from_slice(&decompressed).map_err(InvalidSnapshot::Json)?;
        if file.version != VERSION {
            return Err(InvalidSnapshot::Version.into());
        }
        let listings = file.entries.into_iter().map(Listing::from).collect();
        Ok(Some(SavedView { written_at: file.written_at, listings }))
    }

    /// Replaces the persisted view. `folder_limit` is the size limit of the state folder in bytes. Returns how many bytes
    /// the view and its replacement use at most, or `None` if the view is too large and was not persisted.
    ///
    /// An earlier view that is too large for the limit, because a higher one was in force, is removed before its replacement is
    /// written: the two would exceed their share together.
    ///
    /// # Errors
    ///
    /// If the file cannot be written; an earlier view that is not too large then stays.
    pub fn write<'a>(
        &self,
        written_at: Micros,
        listings: impl Iterator<Item = &'a Listing>,
        folder_limit: u64,
    ) -> io::Result<Option<u64>> {
        let mut entries: Vec<StoredEntry> = listings.map(StoredEntry::from).collect();
        entries.sort_by(|a, b| (&a.app, &a.id).cmp(&(&b.app, &b.id)));
        let mut encoder = GzEncoder::new(Vec::new(), Compression::fast());
        serde_json::to_writer(&mut encoder, &StoredView { version: VERSION, written_at, entries })?;
        let compressed = encoder.finish()?;
        let size = (compressed.len() + CHECKSUM_BYTES) as u64;
        let max_file_bytes = RegistrySnapshot::max_file_bytes(folder_limit);
        if size > max_file_bytes {
            return Ok(None);
        }
        self.remove_if_larger(max_file_bytes)?;
        let next = self.folder.join(NEXT_FILE_NAME);
        let mut file = fs::File::create(&next)?;
        file.write_all(&crc32fast::hash(&compressed).to_le_bytes())?;
        file.write_all(&compressed)?;
        drop(file);
        fs::rename(&next, self.folder.join(FILE_NAME))?;
        Ok(Some(2 * size))
    }

    /// The most bytes that the view and its replacement may use together in a folder with the given size limit in bytes.
    pub fn max_bytes(folder_limit: u64) -> u64 {
        2 * RegistrySnapshot::max_file_bytes(folder_limit)
    }

    /// The most bytes of one file, in whole disk blocks.
    fn max_file_bytes(folder_limit: u64) -> u64 {
        folder_limit / FOLDER_DIVISOR / DISK_BLOCK_BYTES * DISK_BLOCK_BYTES
    }

    /// Removes the persisted view if its file has more than `max_bytes` bytes.
    fn remove_if_larger(&self, max_bytes: u64) -> io::Result<()> {
        let path = self.folder.join(FILE_NAME);
        match fs::metadata(&path) {
            Ok(metadata) if metadata.len() > max_bytes => fs::remove_file(path),
            Err(error) if error.kind() != io::ErrorKind::NotFound => Err(error),
            _ => Ok(()),
        }
    }
}

/// Why a persisted view is invalid.
#[derive(Debug, thiserror::Error)]
enum InvalidSnapshot {
    #[error("the file is truncated")]
    Truncated,
    #[error("checksum mismatch")]
    Checksum,
    #[error("{0}")]
    Json(serde_json::Error),
    #[error("unknown format version")]
    Version,
}

impl From<InvalidSnapshot> for io::Error {
    fn from(error: InvalidSnapshot) -> Self {
        io::Error::new(io::ErrorKind::InvalidData, error)
    }
}

impl From<StoredEntry> for Listing {
    fn from(entry: StoredEntry) -> Self {
        Listing {
            key: EntryKey { group: entry.app.into(), id: entry.id.into() },
            address: entry.address,
            destination: DestinationId(entry.destination),
            zone: ZoneId(entry.zone),
            kind: KindId(entry.kind),
            weight: entry.weight,
            state: if entry.up { EntryState::Up } else { EntryState::Draining },
            stamp: 0,
        }
    }
}

impl From<&Listing> for StoredEntry {
    fn from(listing: &Listing) -> Self {
        StoredEntry {
            app: listing.key.group.to_string(),
            id: listing.key.id.to_string(),
            address: listing.address,
            destination: listing.destination.0,
            zone: listing.zone.0,
            kind: listing.kind.0,
            weight: listing.weight,
            up: listing.state == EntryState::Up,
        }
    }
}
