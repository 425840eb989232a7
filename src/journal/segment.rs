//! The head of a segment, which says by which clock its times are, and the reading of a whole segment, past damage too. No
//! I/O.

use super::record::{claimed_length, decode, Change, Reader, FRAME};

/// What a segment of this form begins with. An older form has no head: its first record's length is never that large.
const MAGIC: [u8; 8] = *b"cbjrnl2\n";
/// The bytes of a head.
pub const HEAD: usize = 8 + 16 + 8 + 8 + 4 + 4;
/// So many bytes are summed up at most in search of a whole record behind a damaged one.
const SEARCH: usize = 64 << 20;

/// A moment on the program's clock, on the wall clock, and the boot of the machine that the former counts from: what makes
/// times readable to the next process, also after the wall clock was set or the machine was started anew.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Moment {
    /// The machine's boot; 0 where that is not known.
    pub boot: u128,
    /// The program's clock, in microseconds.
    pub clock: u64,
    /// The wall clock, in microseconds of Unix time.
    pub wall: u64,
}

impl Moment {
    /// What must be added to the times of a process that wrote down an earlier moment, to have them on this one's clock. Within
    /// one boot both count alike, whatever the wall clock did; beyond that the wall clock is all there is.
    pub fn shift_from(&self, earlier: &Moment) -> i64 {
        if self.boot != 0 && self.boot == earlier.boot && self.clock >= earlier.clock {
            return 0;
        }
        let passed = self.wall.saturating_sub(earlier.wall);
        difference(self.clock, earlier.clock.saturating_add(passed))
    }

    /// What must be added to times that are kept as Unix time, as the older form does.
    pub fn shift_from_wall(&self) -> i64 {
        difference(self.clock, self.wall)
    }
}

fn difference(one: u64, other: u64) -> i64 {
    i64::try_from(i128::from(one) - i128::from(other)).unwrap_or(i64::MIN)
}

/// The head of a segment: when it was begun, and where its checksums begin.
pub fn head(moment: &Moment, salt: u32) -> Vec<u8> {
    let mut bytes = MAGIC.to_vec();
    bytes.extend_from_slice(&moment.boot.to_le_bytes());
    bytes.extend_from_slice(&moment.clock.to_le_bytes());
    bytes.extend_from_slice(&moment.wall.to_le_bytes());
    bytes.extend_from_slice(&salt.to_le_bytes());
    let sum = crc32fast::hash(&bytes);
    bytes.extend_from_slice(&sum.to_le_bytes());
    bytes
}

fn read_head(bytes: &[u8]) -> Option<(Moment, u32)> {
    let content = bytes.get(..HEAD)?;
    let (summed, sum) = content.split_at(HEAD - 4);
    if crc32fast::hash(summed).to_le_bytes() != *sum {
        return None;
    }
    let mut reader = Reader(&summed[MAGIC.len()..]);
    let boot = u128::from_le_bytes(reader.bytes(16)?.try_into().ok()?);
    let (clock, wall) = (reader.u64()?, reader.u64()?);
    Some((Moment { boot, clock, wall }, reader.u32()?))
}

/// A record that was read, and where its content lies.
#[derive(Debug)]
pub struct Found {
    /// Whose it is.
    pub id: u64,
    /// What it says, its times on the reader's clock.
    pub change: Change,
    /// Where its content starts in the segment.
    pub at: usize,
    /// Its content's length.
    pub length: usize,
}

/// A segment that was read.
#[derive(Debug, Default)]
pub struct Contents {
    /// The records, in order.
    pub records: Vec<Found>,
    /// Where the last whole record ends.
    pub end: usize,
    /// Stretches that cannot be read: where each starts, and its length.
    pub damage: Vec<(usize, usize)>,
    /// Where its checksums begin.
    pub salt: u32,
    /// What was added to its times.
    pub shift: i64,
}

/// Reads a segment by the clock of now. Behind a damaged record it goes on with the next whole one: records are found by their
/// checksums, which begin from a number that no message body knows.
pub fn read(bytes: &[u8], now: &Moment) -> Contents {
    let mut contents = Contents::default();
    let headed = bytes.starts_with(&MAGIC) || MAGIC.starts_with(bytes);
    match read_head(bytes) {
        Some((moment, salt)) => {
            (contents.salt, contents.shift, contents.end) = (salt, now.shift_from(&moment), HEAD);
        }
        None if headed => {
            // Not even its checksums can be known.
            contents.damage.extend((!bytes.is_empty()).then_some((0, bytes.len())));
            return contents;
        }
        None => contents.shift = now.shift_from_wall(),
    }
    let salted = contents.end > 0;
    let mut search = SEARCH;
    let mut at = contents.end;
    while at < bytes.len() {
        let Some((id, mut change, length)) = decode(contents.salt, &bytes[at..]) else {
            let next =
                if salted { next_record(contents.salt, bytes, at + 1, &mut search) } else { bytes.len() };
            contents.damage.push((at, next - at));
            at = next;
            continue;
        };
        change.shift(contents.shift);
        contents.records.push(Found { id, change, at: at + FRAME, length });
        at += FRAME + length;
        contents.end = at;
    }
    contents
}

/// Where the next whole record starts; the end if there is none, or it would take too long to find.
fn next_record(salt: u32, bytes: &[u8], from: usize, search: &mut usize) -> usize {
    for at in from..bytes.len() {
        let Some(length) = claimed_length(&bytes[at..]) else { continue };
        if length > *search {
            break;
        }
        *search -= length;
        if decode(salt, &bytes[at..]).is_some() {
            return at;
        }
    }
    bytes.len()
}
