//! The last view of the registry, persisted in the state folder for a start while the registry is silent. Its checksum is
//! verified as it is read, and it is replaced atomically.

use crate::membership::{Key, Listing, State};
use crate::{DestinationId, KindId, Micros, ZoneId};
use flate2::{read::GzDecoder, write::GzEncoder, Compression};
use serde::{Deserialize, Serialize};
use std::fs;
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

const FILE_NAME: &str = "registry.view";
const NEXT_FILE_NAME: &str = "registry.next";
/// The format of the file.
const VERSION: u32 = 1;
/// The checksum in front of the compressed view.
const CHECKSUM_BYTES: usize = 4;
/// No view decompresses to more.
const MAX_PLAIN_BYTES: u64 = 64 * 1024 * 1024;
/// The view and its replacement may each take this fraction of the folder's limit: one sixteenth.
const FOLDER_DIVISOR: u64 = 16;

#[derive(Serialize, Deserialize)]
struct Entry {
    app: String,
    id: String,
    address: SocketAddr,
    destination: u64,
    zone: usize,
    kind: usize,
    weight: f64,
    up: bool,
}

#[derive(Serialize, Deserialize)]
struct File {
    version: u32,
    /// When it was written, in microseconds of Unix time.
    #[serde(rename = "at")]
    written_at: Micros,
    entries: Vec<Entry>,
}

/// Where the view is persisted.
pub struct RegistrySnapshot {
    folder: PathBuf,
}

/// A view that was persisted.
pub struct SavedView {
    /// When it was written, in microseconds of Unix time.
    pub written_at: Micros,
    /// Its entries.
    pub listings: Vec<Listing>,
}

impl RegistrySnapshot {
    /// In that folder.
    pub fn new(folder: &Path) -> Self {
        RegistrySnapshot { folder: folder.to_owned() }
    }

    /// Reads the persisted view; `None` if there is none.
    ///
    /// # Errors
    ///
    /// If it cannot be read or is damaged.
    pub fn read(&self) -> io::Result<Option<SavedView>> {
        let bytes = match fs::read(self.folder.join(FILE_NAME)) {
            Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(None),
            read => read?,
        };
        let (checksum, packed) = bytes.split_at_checked(CHECKSUM_BYTES).ok_or(Damage::Cut)?;
        if checksum != crc32fast::hash(packed).to_le_bytes() {
            return Err(Damage::Checksum.into());
        }
        let mut plain = Vec::new();
        GzDecoder::new(packed).take(MAX_PLAIN_BYTES).read_to_end(&mut plain)?;
        let file: File = serde_json::from_slice(&plain).map_err(Damage::Json)?;
        if file.version != VERSION {
            return Err(Damage::Version.into());
        }
        let listings = file.entries.into_iter().map(Listing::from).collect();
        Ok(Some(SavedView { written_at: file.written_at, listings }))
    }

    /// Replaces the persisted view, within a limit in bytes of the folder; how many bytes the view and its replacement
    /// take at the most, or `None` if it is too large to be persisted.
    ///
    /// # Errors
    ///
    /// If it cannot be written; the persisted view stays then.
    pub fn write<'a>(
        &self,
        written_at: Micros,
        listings: impl Iterator<Item = &'a Listing>,
        folder_limit: u64,
    ) -> io::Result<Option<u64>> {
        let mut entries: Vec<Entry> = listings.map(Entry::from).collect();
        entries.sort_by(|a, b| (&a.app, &a.id).cmp(&(&b.app, &b.id)));
        let mut encoder = GzEncoder::new(Vec::new(), Compression::fast());
        serde_json::to_writer(&mut encoder, &File { version: VERSION, written_at, entries })?;
        let packed = encoder.finish()?;
        let size = (packed.len() + CHECKSUM_BYTES) as u64;
        if size > folder_limit / FOLDER_DIVISOR {
            return Ok(None);
        }
        let next = self.folder.join(NEXT_FILE_NAME);
        let mut file = fs::File::create(&next)?;
        file.write_all(&crc32fast::hash(&packed).to_le_bytes())?;
        file.write_all(&packed)?;
        drop(file);
        fs::rename(&next, self.folder.join(FILE_NAME))?;
        Ok(Some(2 * size))
    }

    /// The most bytes that the view and its replacement may take of a folder with a limit in bytes.
    pub fn max_bytes(folder_limit: u64) -> u64 {
        2 * (folder_limit / FOLDER_DIVISOR)
    }
}

/// How a persisted view is damaged.
#[derive(Debug, thiserror::Error)]
enum Damage {
    #[error("it is cut")]
    Cut,
    #[error("its sum does not fit")]
    Checksum,
    #[error("{0}")]
    Json(serde_json::Error),
    #[error("its version is not known")]
    Version,
}

impl From<Damage> for io::Error {
    fn from(damage: Damage) -> Self {
        io::Error::new(io::ErrorKind::InvalidData, damage)
    }
}

impl From<Entry> for Listing {
    fn from(entry: Entry) -> Self {
        Listing {
            key: Key { group: entry.app, id: entry.id },
            address: entry.address,
            destination: DestinationId(entry.destination),
            zone: ZoneId(entry.zone),
            kind: KindId(entry.kind),
            weight: entry.weight,
            state: if entry.up { State::Up } else { State::Draining },
            stamp: 0,
        }
    }
}

impl From<&Listing> for Entry {
    fn from(listing: &Listing) -> Self {
        Entry {
            app: listing.key.group.clone(),
            id: listing.key.id.clone(),
            address: listing.address,
            destination: listing.destination.0,
            zone: listing.zone.0,
            kind: listing.kind.0,
            weight: listing.weight,
            up: listing.state == State::Up,
        }
    }
}
