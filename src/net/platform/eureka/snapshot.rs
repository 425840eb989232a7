//! The last view of the registry, kept in the state folder for a start while the registry is silent. It is checked
//! as it is read, and replaced as a whole.

use crate::membership::{Key, Listing, State};
use crate::{DestinationId, KindId, Micros, ZoneId};
use flate2::{read::GzDecoder, write::GzEncoder, Compression};
use serde::{Deserialize, Serialize};
use std::fs;
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

const NAME: &str = "registry.view";
const NEXT: &str = "registry.next";
/// No view unpacks to more.
const LARGEST: u64 = 64 * 1024 * 1024;
/// Of the folder's room, the view and its replacement may each take this part.
const PART: u64 = 16;

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
    /// When it was written, in Unix time.
    at: Micros,
    entries: Vec<Entry>,
}

/// Where the view is kept.
pub struct Snapshot {
    folder: PathBuf,
}

/// A view that was kept.
pub struct Kept {
    /// When it was written, in Unix time.
    pub at: Micros,
    /// Its entries.
    pub listings: Vec<Listing>,
}

impl Snapshot {
    /// In that folder.
    pub fn new(folder: &Path) -> Self {
        Snapshot { folder: folder.to_owned() }
    }

    /// Reads what was kept; nothing if there is none, an error if it is damaged.
    pub fn read(&self) -> io::Result<Option<Kept>> {
        let bytes = match fs::read(self.folder.join(NAME)) {
            Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(None),
            read => read?,
        };
        let damaged = |what: &str| io::Error::new(io::ErrorKind::InvalidData, what.to_owned());
        let (sum, packed) = bytes.split_at_checked(4).ok_or_else(|| damaged("it is cut"))?;
        if sum != crc32fast::hash(packed).to_le_bytes() {
            return Err(damaged("its sum does not fit"));
        }
        let mut plain = Vec::new();
        GzDecoder::new(packed).take(LARGEST).read_to_end(&mut plain)?;
        let file: File = serde_json::from_slice(&plain).map_err(|e| damaged(&e.to_string()))?;
        if file.version != 1 {
            return Err(damaged("its version is not known"));
        }
        let listing = |e: Entry| Listing {
            key: Key { group: e.app, id: e.id },
            address: e.address,
            destination: DestinationId(e.destination),
            zone: ZoneId(e.zone),
            kind: KindId(e.kind),
            weight: e.weight,
            state: if e.up { State::Up } else { State::Draining },
            stamp: 0,
        };
        Ok(Some(Kept { at: file.at, listings: file.entries.into_iter().map(listing).collect() }))
    }

    /// Replaces what was kept, within a limit in bytes of the folder; how many bytes the view and its replacement
    /// take at the most, or none if it is too large to be kept.
    pub fn write<'a>(
        &self,
        at: Micros,
        listings: impl Iterator<Item = &'a Listing>,
        folder_limit: u64,
    ) -> io::Result<Option<u64>> {
        let entry = |l: &Listing| Entry {
            app: l.key.group.clone(),
            id: l.key.id.clone(),
            address: l.address,
            destination: l.destination.0,
            zone: l.zone.0,
            kind: l.kind.0,
            weight: l.weight,
            up: l.state == State::Up,
        };
        let mut entries: Vec<Entry> = listings.map(entry).collect();
        entries.sort_by(|a, b| (&a.app, &a.id).cmp(&(&b.app, &b.id)));
        let mut packer = GzEncoder::new(Vec::new(), Compression::fast());
        serde_json::to_writer(&mut packer, &File { version: 1, at, entries })?;
        let packed = packer.finish()?;
        let size = packed.len() as u64 + 4;
        if size > folder_limit / PART {
            return Ok(None);
        }
        let next = self.folder.join(NEXT);
        let mut file = fs::File::create(&next)?;
        file.write_all(&crc32fast::hash(&packed).to_le_bytes())?;
        file.write_all(&packed)?;
        drop(file);
        fs::rename(&next, self.folder.join(NAME))?;
        Ok(Some(2 * size))
    }

    /// The most bytes that the view and its replacement may take of a folder.
    pub fn room(folder_limit: u64) -> u64 {
        2 * (folder_limit / PART)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_view_is_kept_whole_and_a_damaged_one_is_refused() {
        let folder = std::env::temp_dir().join(format!("cedarbridge-snapshot-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a folder");
        let snapshot = Snapshot::new(&folder);
        assert!(snapshot.read().expect("nothing yet").is_none());
        let listing = |n: u16, state| Listing {
            key: Key { group: "APP".into(), id: format!("i{n}") },
            address: SocketAddr::from(([127, 0, 0, 1], n)),
            destination: DestinationId(u64::from(n)),
            zone: ZoneId(0),
            kind: KindId(1),
            weight: 2.5,
            state,
            stamp: 0,
        };
        let all = [listing(1, State::Up), listing(2, State::Draining)];
        assert!(snapshot.write(7, all.iter(), 1_000_000).expect("written").is_some());
        let kept = snapshot.read().expect("sound").expect("there");
        assert_eq!((kept.at, kept.listings.as_slice()), (7, &all[..]));
        // One that is too large leaves the old one standing.
        assert!(snapshot.write(8, all.iter(), 64).expect("no failure").is_none());
        assert_eq!(snapshot.read().expect("sound").expect("there").at, 7);
        let path = folder.join(NAME);
        let bytes = fs::read(&path).expect("read");
        for at in [0, 5, bytes.len() / 2, bytes.len() - 1] {
            let mut odd = bytes.clone();
            odd[at] ^= 0x40;
            fs::write(&path, odd).expect("written");
            assert!(snapshot.read().is_err(), "a flip at {at}");
            fs::write(&path, &bytes[..at]).expect("written");
            assert!(snapshot.read().is_err(), "a cut at {at}");
        }
        fs::remove_dir_all(folder).expect("removed");
    }
}
