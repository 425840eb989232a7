//! The segments as one log that is appended to, and which of the records in it are still needed.

use super::encoding::{self, FRAME_BYTES};
use super::record::{JournalRecord, Progress, ProgressStep};
use super::segment::{self, ClockReading};
use super::storage::Storage;
use std::collections::{BTreeMap, VecDeque};
use std::io;

/// Files are counted in whole blocks of this many bytes, as the platform counts them.
pub(super) const DISK_BLOCK_BYTES: u64 = 512;
/// What a message may still need after its first record, in bytes: a dozen attempts, each with its zone and withdrawn again,
/// and a completion.
const LATER_RECORDS_BYTES: u64 = 1024;
/// The share of the limit that the records still needed may take, in percent; the rest keeps compaction rare.
const LIVE_PERCENT: u64 = 70;
/// A segment is a twelfth of the limit: small enough that one can be copied within the space that is kept free.
const SEGMENTS_PER_LIMIT: u64 = 12;
/// Spreads the salts of the segments (2^32 over the golden ratio).
const SALT_STEP: u32 = 0x9E37_79B9;

/// Where the record lies that a message was received with.
#[derive(Clone, Copy, Debug)]
pub(super) struct RecordLocation {
    /// The segment's number.
    pub segment: u64,
    /// Where the record's content starts in the segment.
    pub content_offset: usize,
    /// The size of the record with its frame, in bytes.
    pub size: u64,
}

/// A message that is not completed, or whose completion is not written yet.
pub(super) struct LiveMessage {
    pub location: RecordLocation,
    pub progress: Progress,
    completed: bool,
}

/// A segment file. The records in it that are still needed are counted, so that nothing is searched to know how many there are.
#[derive(Default)]
pub(super) struct Segment {
    pub number: u64,
    /// The size of the file in bytes, at most.
    pub size: u64,
    /// Records that are still needed.
    pub live_records: usize,
    /// Their size in bytes.
    pub live_size: u64,
    pub salt: u32,
    /// What must be added to its times, in microseconds.
    pub time_shift: i64,
    /// It could not be read, so it must stay, and all behind it.
    pub pinned: bool,
}

/// The segments in order, and the messages that live in them.
pub(super) struct SegmentLog {
    pub(super) storage: Box<dyn Storage>,
    pub(super) read_clocks: Box<dyn Fn() -> ClockReading>,
    salt: u32,
    /// In bytes, for the whole folder.
    pub(super) limit: u64,
    /// The size in bytes from which a new segment is created.
    segment_size: u64,
    pub(super) segments: VecDeque<Segment>,
    /// The newest segment may be appended to.
    newest_is_open: bool,
    pub(super) next_number: u64,
    pub(super) live: BTreeMap<u64, LiveMessage>,
    /// The size of the live records and of what may follow them, in bytes.
    live_size: u64,
    /// The size of the folder's other files, in bytes.
    pub(super) other_files_size: u64,
}

/// A file's size rounded up to whole disk blocks.
pub(super) fn size_on_disk(size: u64) -> u64 {
    size.div_ceil(DISK_BLOCK_BYTES) * DISK_BLOCK_BYTES
}

impl SegmentLog {
    pub fn new(
        storage: Box<dyn Storage>,
        limit: u64,
        read_clocks: Box<dyn Fn() -> ClockReading>,
        salt: u32,
    ) -> Self {
        let mut log = SegmentLog {
            storage,
            read_clocks,
            salt,
            limit: 0,
            segment_size: 0,
            segments: VecDeque::new(),
            newest_is_open: false,
            next_number: 1,
            live: BTreeMap::new(),
            live_size: 0,
            other_files_size: 0,
        };
        log.set_limit(limit);
        log
    }

    pub fn set_limit(&mut self, limit: u64) {
        // Some blocks are kept free for what the folder itself may count.
        self.limit = limit.saturating_sub(4 * DISK_BLOCK_BYTES);
        self.segment_size = (limit / SEGMENTS_PER_LIMIT).max(8 * DISK_BLOCK_BYTES);
    }

    pub fn disk_bytes(&self) -> u64 {
        self.other_files_size + self.segments.iter().map(|segment| size_on_disk(segment.size)).sum::<u64>()
    }

    /// There is space for a message's first record, for what may follow it, and for compaction.
    pub fn has_space_for_message(&self, record_size: u64) -> bool {
        let available = self.limit.saturating_sub(self.other_files_size) * LIVE_PERCENT / 100;
        self.live_size + record_size + LATER_RECORDS_BYTES <= available
    }

    pub fn contains(&self, id: u64) -> bool {
        self.live.contains_key(&id)
    }

    pub fn progress(&self, id: u64) -> Option<&Progress> {
        self.live.get(&id).map(|message| &message.progress)
    }

    pub fn apply(&mut self, id: u64, step: &ProgressStep) {
        if let Some(message) = self.live.get_mut(&id) {
            message.progress.apply(step);
        }
    }

    /// Marks a live message as completed; false if there is none, or it is marked already.
    pub fn mark_completed(&mut self, id: u64) -> bool {
        self.live.get_mut(&id).is_some_and(|message| !std::mem::replace(&mut message.completed, true))
    }

    /// Adds a message, or moves it to where its record was copied.
    pub fn insert_live(&mut self, id: u64, location: RecordLocation, progress: Progress) {
        let completed = self.live.get(&id).is_some_and(|message| message.completed);
        self.remove_live(id);
        self.live_size += location.size + LATER_RECORDS_BYTES;
        if let Some(segment) = self.segment_mut(location.segment) {
            segment.live_records += 1;
            segment.live_size += location.size;
        }
        self.live.insert(id, LiveMessage { location, progress, completed });
    }

    pub fn remove_live(&mut self, id: u64) {
        let Some(LiveMessage { location, .. }) = self.live.remove(&id) else { return };
        self.live_size -= location.size + LATER_RECORDS_BYTES;
        if let Some(segment) = self.segment_mut(location.segment) {
            segment.live_records -= 1;
            segment.live_size -= location.size;
        }
    }

    fn segment_mut(&mut self, number: u64) -> Option<&mut Segment> {
        let index = self.segments.binary_search_by_key(&number, |segment| segment.number).ok()?;
        self.segments.get_mut(index)
    }

    /// The next record goes to a new segment.
    pub fn close_newest_segment(&mut self) {
        self.newest_is_open = false;
    }

    /// Appends to the newest segment, or to a new one if that is large or may end in a torn record.
    pub fn append(&mut self, id: u64, record: &JournalRecord) -> io::Result<RecordLocation> {
        let is_full = self.segments.back().is_none_or(|segment| segment.size >= self.segment_size);
        if !self.newest_is_open || is_full {
            self.create_segment()?;
        }
        let segment = self.segments.back_mut().expect("a segment is open or was just created");
        let mut bytes = Vec::new();
        if segment.size == 0 {
            bytes = segment::encode_header(&(self.read_clocks)(), segment.salt);
        }
        let record_offset = segment.size as usize + bytes.len();
        let encoded = encoding::encode(segment.salt, id, record);
        bytes.extend_from_slice(&encoded);
        if let Err(error) = self.storage.append(&bytes) {
            // What may be torn is cut off, or else nothing may follow it.
            if self.storage.truncate_newest(segment.size).is_err() {
                segment.size += bytes.len() as u64;
                self.newest_is_open = false;
            }
            return Err(error);
        }
        segment.size += bytes.len() as u64;
        Ok(RecordLocation {
            segment: segment.number,
            content_offset: record_offset + FRAME_BYTES,
            size: encoded.len() as u64,
        })
    }

    fn create_segment(&mut self) -> io::Result<()> {
        self.newest_is_open = false;
        let number = self.next_number;
        // If this fails the file may be there all the same: its number is used up.
        self.next_number += 1;
        self.storage.create(&segment::file_name(number))?;
        let salt = self.salt.wrapping_add(SALT_STEP.wrapping_mul(number as u32));
        self.segments.push_back(Segment { number, salt, ..Segment::default() });
        self.newest_is_open = true;
        Ok(())
    }
}
