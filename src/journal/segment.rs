//! One segment file: its header, which says by which clock its times are, and reading it past damage.

use super::encoding::{claimed_content_length, decode as decode_record, ByteReader, FRAME_BYTES};
use super::record::JournalRecord;

/// What a segment of this format begins with. An older format has no header: the length of its first record is never that
/// large.
const MAGIC: [u8; 8] = *b"cbjrnl2\n";
/// The checksum at the end of a header, in bytes.
const HEADER_CHECKSUM_BYTES: usize = 4;
/// The size of a header: magic, boot, both clocks, salt and checksum, in bytes.
pub const HEADER_BYTES: usize = MAGIC.len() + 16 + 8 + 8 + 4 + HEADER_CHECKSUM_BYTES;
/// At most so many bytes are checksummed in search of a complete record behind a damaged one.
const MAX_SEARCH_BYTES: usize = 64 << 20;

/// The clocks at one moment, and the boot of the machine that the monotonic one counts from: what makes times readable to the
/// next process, also after the wall clock was set or the machine was restarted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClockReading {
    /// The machine's boot; 0 where that is not known.
    pub boot_id: u128,
    /// The program's clock, in microseconds.
    pub monotonic_us: u64,
    /// The wall clock, in microseconds of Unix time.
    pub wall_us: u64,
}

impl ClockReading {
    /// What must be added to the times of a process that recorded an earlier reading, in microseconds, to have them on this
    /// one's clock. Within one boot both clocks count alike, whatever the wall clock did; beyond that the wall clock is all
    /// there is.
    pub fn shift_from(&self, earlier: &ClockReading) -> i64 {
        let same_boot = self.boot_id != 0 && self.boot_id == earlier.boot_id;
        if same_boot && self.monotonic_us >= earlier.monotonic_us {
            return 0;
        }
        let elapsed_us = self.wall_us.saturating_sub(earlier.wall_us);
        signed_difference(self.monotonic_us, earlier.monotonic_us.saturating_add(elapsed_us))
    }

    /// What must be added to times that are kept as Unix time, as the older format does, in microseconds.
    pub fn shift_from_wall(&self) -> i64 {
        signed_difference(self.monotonic_us, self.wall_us)
    }
}

fn signed_difference(minuend: u64, subtrahend: u64) -> i64 {
    i64::try_from(i128::from(minuend) - i128::from(subtrahend)).unwrap_or(i64::MIN)
}

/// The name of a segment's file.
pub(super) fn file_name(number: u64) -> String {
    format!("{number:010}.journal")
}

/// The number of the segment whose file has a name; none if the file is no segment.
pub(super) fn parse_file_name(name: &str) -> Option<u64> {
    name.strip_suffix(".journal")?.parse().ok()
}

/// The header of a segment: when it was created, and the salt of its checksums.
pub fn encode_header(created_at: &ClockReading, salt: u32) -> Vec<u8> {
    let mut bytes = MAGIC.to_vec();
    bytes.extend_from_slice(&created_at.boot_id.to_le_bytes());
    bytes.extend_from_slice(&created_at.monotonic_us.to_le_bytes());
    bytes.extend_from_slice(&created_at.wall_us.to_le_bytes());
    bytes.extend_from_slice(&salt.to_le_bytes());
    let checksum = crc32fast::hash(&bytes);
    bytes.extend_from_slice(&checksum.to_le_bytes());
    bytes
}

struct Header {
    created_at: ClockReading,
    salt: u32,
}

fn decode_header(bytes: &[u8]) -> Option<Header> {
    let header = bytes.get(..HEADER_BYTES)?;
    let (checksummed, checksum) = header.split_at(HEADER_BYTES - HEADER_CHECKSUM_BYTES);
    if crc32fast::hash(checksummed).to_le_bytes() != *checksum {
        return None;
    }
    let mut reader = ByteReader(&checksummed[MAGIC.len()..]);
    let boot_id = u128::from_le_bytes(reader.bytes(16)?.try_into().ok()?);
    let (monotonic_us, wall_us) = (reader.u64()?, reader.u64()?);
    Some(Header { created_at: ClockReading { boot_id, monotonic_us, wall_us }, salt: reader.u32()? })
}

/// A record that was decoded, and where its content lies.
#[derive(Debug)]
pub struct DecodedRecord {
    /// The message's id.
    pub message_id: u64,
    /// What it says, its times on the reader's clock.
    pub record: JournalRecord,
    /// Where its content starts in the segment.
    pub content_offset: usize,
    /// The length of its content in bytes.
    pub content_length: usize,
}

/// A stretch of a segment that cannot be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DamagedStretch {
    /// Where it starts.
    pub offset: usize,
    /// Its length in bytes.
    pub length: usize,
}

/// A segment that was decoded.
#[derive(Debug, Default)]
pub struct DecodedSegment {
    /// The records, in order.
    pub records: Vec<DecodedRecord>,
    /// Where the last complete record ends.
    pub end: usize,
    /// What cannot be read.
    pub damage: Vec<DamagedStretch>,
    /// The salt of its checksums.
    pub salt: u32,
    /// What was added to its times, in microseconds.
    pub time_shift: i64,
}

/// Decodes a segment by the clocks of now. Behind a damaged record it goes on with the next complete one: records are found by
/// their checksums, which depend on a salt that no message body knows.
pub fn decode(bytes: &[u8], now: &ClockReading) -> DecodedSegment {
    let mut segment = DecodedSegment::default();
    let has_magic = bytes.starts_with(&MAGIC) || MAGIC.starts_with(bytes);
    match decode_header(bytes) {
        Some(header) => {
            segment.salt = header.salt;
            segment.time_shift = now.shift_from(&header.created_at);
            segment.end = HEADER_BYTES;
            decode_records(&mut segment, bytes, true);
        }
        None if has_magic => {
            // Without its salt no record can be checked.
            if !bytes.is_empty() {
                segment.damage.push(DamagedStretch { offset: 0, length: bytes.len() });
            }
        }
        None => {
            segment.time_shift = now.shift_from_wall();
            decode_records(&mut segment, bytes, false);
        }
    }
    segment
}

/// Decodes the records from where the header ends. Without a salt, what follows a damaged record cannot be told from a message
/// body that looks like a record.
fn decode_records(segment: &mut DecodedSegment, bytes: &[u8], is_salted: bool) {
    let mut search_budget = MAX_SEARCH_BYTES;
    let mut offset = segment.end;
    while offset < bytes.len() {
        let Some(decoded) = decode_record(segment.salt, &bytes[offset..]) else {
            let next = match is_salted {
                true => find_next_record(segment.salt, bytes, offset + 1, &mut search_budget),
                false => bytes.len(),
            };
            segment.damage.push(DamagedStretch { offset, length: next - offset });
            offset = next;
            continue;
        };
        let mut record = decoded.record;
        record.shift_times(segment.time_shift);
        segment.records.push(DecodedRecord {
            message_id: decoded.message_id,
            record,
            content_offset: offset + FRAME_BYTES,
            content_length: decoded.content_length,
        });
        offset += FRAME_BYTES + decoded.content_length;
        segment.end = offset;
    }
}

/// Where the next complete record starts; the end if there is none, or finding it would exceed the budget of bytes.
fn find_next_record(salt: u32, bytes: &[u8], from: usize, search_budget: &mut usize) -> usize {
    for offset in from..bytes.len() {
        let Some(length) = claimed_content_length(&bytes[offset..]) else { continue };
        if length > *search_budget {
            break;
        }
        *search_budget -= length;
        if decode_record(salt, &bytes[offset..]).is_some() {
            return offset;
        }
    }
    bytes.len()
}
