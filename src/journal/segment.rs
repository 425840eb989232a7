//! A segment file: its header, which holds the clocks at its creation, and a decoder that continues after damaged records.

use super::encoding::{claimed_content_length, decode as decode_record, ByteReader, FRAME_BYTES};
use super::record::JournalRecord;

/// The first bytes of a segment in this format. A segment in the older format has no header and starts with the length
/// of its first record, which is always smaller than these bytes read as a number.
const MAGIC: [u8; 8] = *b"cbjrnl2\n";
/// The checksum at the end of a header, in bytes.
const HEADER_CHECKSUM_BYTES: usize = 4;
/// The size of a header in bytes: magic, boot id, monotonic clock, wall clock, salt and checksum.
pub const HEADER_BYTES: usize = MAGIC.len() + 16 + 8 + 8 + 4 + HEADER_CHECKSUM_BYTES;
/// How many bytes of a segment are checksummed at most in search of complete records after damaged ones.
const MAX_SEARCH_BYTES: usize = 64 << 20;

/// Both clocks at one moment, and the boot that the monotonic clock counts from. With it the next process can convert
/// recorded times to its own clock, also after the wall clock was set or the machine was restarted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClockReading {
    /// The id of the machine's boot; 0 if it is not known.
    pub boot_id: u128,
    /// The program's monotonic clock, in microseconds.
    pub monotonic_us: u64,
    /// The wall clock, in microseconds since the Unix epoch.
    pub wall_us: u64,
}

impl ClockReading {
    /// The shift in microseconds that converts times recorded with an earlier reading to the monotonic clock of this one.
    ///
    /// Within one boot the shift is 0, because all processes share the monotonic clock, even if the wall clock was set.
    /// After a restart of the machine only the wall clock shows how much time has passed.
    pub fn time_shift_from(&self, earlier: &ClockReading) -> i64 {
        let same_boot = self.boot_id != 0 && self.boot_id == earlier.boot_id;
        if same_boot && self.monotonic_us >= earlier.monotonic_us {
            return 0;
        }
        let elapsed_us = self.wall_us.saturating_sub(earlier.wall_us);
        signed_difference(self.monotonic_us, earlier.monotonic_us.saturating_add(elapsed_us))
    }

    /// The shift in microseconds that converts Unix time, as the older format stores it, to the monotonic clock.
    pub fn time_shift_from_unix_time(&self) -> i64 {
        signed_difference(self.monotonic_us, self.wall_us)
    }
}

fn signed_difference(minuend: u64, subtrahend: u64) -> i64 {
    i64::try_from(i128::from(minuend) - i128::from(subtrahend)).unwrap_or(i64::MIN)
}

/// The file name of a segment.
pub(super) fn file_name(number: u64) -> String {
    format!("{number:010}.journal")
}

/// The number of a segment by its file name; `None` if the name is not that of a segment.
pub(super) fn parse_file_name(name: &str) -> Option<u64> {
    name.strip_suffix(".journal")?.parse().ok()
}

/// Encodes the header of a segment: its time of creation and the salt of its checksums.
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

/// A decoded record and the place of its content in the segment.
#[derive(Debug)]
pub struct DecodedRecord {
    /// The id of the message that the record belongs to; 0 for a probe.
    pub message_id: u64,
    /// The record, its times converted to the reader's clock.
    pub record: JournalRecord,
    /// The offset of its content in the segment, in bytes.
    pub content_offset: usize,
    /// The length of its content in bytes.
    pub content_length: usize,
}

/// A range of a segment that cannot be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DamagedRange {
    /// Its offset in the segment, in bytes.
    pub offset: usize,
    /// The number of bytes in it.
    pub length: usize,
}

/// The content of a segment.
#[derive(Debug, Default)]
pub struct DecodedSegment {
    /// The complete records, in order.
    pub records: Vec<DecodedRecord>,
    /// The offset at which the last complete record ends, in bytes.
    pub end: usize,
    /// The ranges that cannot be decoded, in order.
    pub damage: Vec<DamagedRange>,
    /// The salt of the checksums; 0 if the header is damaged or missing.
    pub salt: u32,
    /// The shift that was added to the times of all records, in microseconds.
    pub time_shift: i64,
}

/// Decodes a segment and converts its times to the monotonic clock of `now`.
///
/// After a damaged record, decoding continues with the next complete one, which is found by its checksum. A message
/// body cannot imitate a record, because the checksums depend on the segment's salt, which no client knows.
pub fn decode(bytes: &[u8], now: &ClockReading) -> DecodedSegment {
    let mut segment = DecodedSegment::default();
    let has_magic = bytes.starts_with(&MAGIC) || MAGIC.starts_with(bytes);
    match decode_header(bytes) {
        Some(header) => {
            segment.salt = header.salt;
            segment.time_shift = now.time_shift_from(&header.created_at);
            segment.end = HEADER_BYTES;
            decode_records(&mut segment, bytes, true);
        }
        None if has_magic => {
            // The header is damaged. Without its salt no checksum can be verified.
            if !bytes.is_empty() {
                segment.damage.push(DamagedRange { offset: 0, length: bytes.len() });
            }
        }
        None => {
            segment.time_shift = now.time_shift_from_unix_time();
            decode_records(&mut segment, bytes, false);
        }
    }
    segment
}

/// Decodes the records after the header. In the older format, which has no salt, decoding ends at a damaged record: what
/// follows might be a message body that looks like a record.
fn decode_records(segment: &mut DecodedSegment, bytes: &[u8], is_salted: bool) {
    let mut search_budget = MAX_SEARCH_BYTES;
    let mut offset = segment.end;
    while offset < bytes.len() {
        let Some(decoded) = decode_record(segment.salt, &bytes[offset..]) else {
            let next = match is_salted {
                true => find_next_record(segment.salt, bytes, offset + 1, &mut search_budget),
                false => bytes.len(),
            };
            segment.damage.push(DamagedRange { offset, length: next - offset });
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

/// Finds the first complete record at the offset `from` or later and returns its offset. Returns the end of the segment if
/// there is none, or if more than `search_budget` bytes would have to be checksummed. The checksummed bytes are taken off
/// the budget.
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
