//! All segments as one log: records are appended to the newest segment, and the live records are tracked.
//!
//! The receipt record of a message, with which it was received, is *live* until the message's completion is written. Only
//! live records are copied by compaction.

use super::encoding::{self, FRAME_BYTES};
use super::record::{JournalRecord, Progress, ProgressStep};
use super::segment::{self, ClockReading};
use super::storage::Storage;
use std::collections::{BTreeMap, VecDeque};
use std::io;

/// The disk block size in bytes. File sizes are rounded up to whole blocks, as the platform does for its disk limit.
pub(super) const DISK_BLOCK_BYTES: u64 = 512;
/// The space in bytes that is reserved for the records after a message's receipt record: the completion, and 12 attempts
/// (see [`MAX_ATTEMPTS_PER_MESSAGE`](crate::routes::MAX_ATTEMPTS_PER_MESSAGE)), each with its zone and a record that it
/// never ran.
const LATER_RECORDS_BYTES: u64 = 1024;
/// The share of the usable bytes in percent that live records may take with their reserves. With less space for other
/// records, compaction would run more often.
const LIVE_PERCENT: u64 = 70;
/// A segment is a twelfth of the limit, small enough that compaction can copy one within the space that is kept free.
const SEGMENTS_PER_LIMIT: u64 = 12;
/// The difference between the salts of successive segments: 2^32 divided by the golden ratio, so that the salts are far
/// apart.
const SALT_STEP: u32 = 0x9E37_79B9;

/// The place of a message's receipt record.
#[derive(Clone, Copy, Debug)]
pub(super) struct RecordLocation {
    /// The segment's number.
    pub segment: u64,
    /// The offset of the record's content in the segment, in bytes.
    pub content_offset: usize,
    /// The size of the record with its frame, in bytes.
    pub size: u64,
}

/// A message that is not completed, or whose completion is not written yet.
pub(super) struct LiveMessage {
    pub location: RecordLocation,
    pub progress: Progress,
    /// Whether the message is completed and the record of it is queued.
    completed: bool,
}

/// A segment file. It counts its live records, so that compaction need not search for them.
#[derive(Default)]
pub(super) struct Segment {
    pub number: u64,
    /// The size of the file in bytes, or an upper bound after a failed write.
    pub size: u64,
    /// The number of live records in it.
    pub live_records: usize,
    /// The size of the live records in bytes.
    pub live_size: u64,
    /// The initial value of its records' checksums.
    pub salt: u32,
    /// The shift that converts its times to the clock of this process, in microseconds.
    pub time_shift: i64,
    /// The file could not be read, so neither it nor any later segment may be removed.
    pub pinned: bool,
}

/// The segments, oldest first, and the live messages in them by id.
pub(super) struct SegmentLog {
    pub(super) storage: Box<dyn Storage>,
    pub(super) read_clocks: Box<dyn Fn() -> ClockReading>,
    /// The salts of all segments are derived from this one.
    salt: u32,
    /// The size limit of the whole folder without the blocks that are left for the folder itself, in bytes.
    pub(super) usable_bytes: u64,
    /// The size in bytes at which a segment is full.
    segment_size: u64,
    pub(super) segments: VecDeque<Segment>,
    /// Whether records may be appended to the newest segment.
    newest_is_open: bool,
    pub(super) next_number: u64,
    pub(super) live: BTreeMap<u64, LiveMessage>,
    /// The size of all live records with [`LATER_RECORDS_BYTES`] for each, in bytes.
    live_size_with_reserve: u64,
    /// The size on disk of the files in the folder that are no segments, in bytes.
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
            usable_bytes: 0,
            segment_size: 0,
            segments: VecDeque::new(),
            newest_is_open: false,
            next_number: 1,
            live: BTreeMap::new(),
            live_size_with_reserve: 0,
            other_files_size: 0,
        };
        log.set_limit(limit);
        log
    }

    /// Sets the size limit of the folder in bytes, and by it the size of new segments.
    pub fn set_limit(&mut self, limit: u64) {
        // Four blocks are left for the folder itself, in case the platform counts it as well.
        self.usable_bytes = limit.saturating_sub(4 * DISK_BLOCK_BYTES);
        self.segment_size = (limit / SEGMENTS_PER_LIMIT).max(8 * DISK_BLOCK_BYTES);
    }

    /// The size of all files in the folder in bytes, each rounded up to whole disk blocks.
    pub fn disk_bytes(&self) -> u64 {
        self.other_files_size + self.segments.iter().map(|segment| size_on_disk(segment.size)).sum::<u64>()
    }

    /// Whether there is space for a message's receipt record and the records after it, with enough left for compaction.
    pub fn has_space_for_message(&self, record_size: u64) -> bool {
        let available = self.usable_bytes.saturating_sub(self.other_files_size) * LIVE_PERCENT / 100;
        self.live_size_with_reserve + record_size + LATER_RECORDS_BYTES <= available
    }

    /// Whether a message is live.
    pub fn contains(&self, id: u64) -> bool {
        self.live.contains_key(&id)
    }

    /// The progress of a message; `None` if it is not live.
    pub fn progress(&self, id: u64) -> Option<&Progress> {
        self.live.get(&id).map(|message| &message.progress)
    }

    /// Applies a step to the progress of a live message. Does nothing for other messages.
    pub fn apply(&mut self, id: u64, step: &ProgressStep) {
        if let Some(message) = self.live.get_mut(&id) {
            message.progress.apply(step);
        }
    }

    /// Marks a live message as completed. Returns false if the message is not live or already marked.
    pub fn mark_completed(&mut self, id: u64) -> bool {
        self.live.get_mut(&id).is_some_and(|message| !std::mem::replace(&mut message.completed, true))
    }

    /// Adds a live message, or sets the new location of one whose record was copied.
    pub fn insert_live(&mut self, id: u64, location: RecordLocation, progress: Progress) {
        let completed = self.live.get(&id).is_some_and(|message| message.completed);
        self.remove_live(id);
        self.live_size_with_reserve += location.size + LATER_RECORDS_BYTES;
        if let Some(segment) = self.segment_mut(location.segment) {
            segment.live_records += 1;
            segment.live_size += location.size;
        }
        self.live.insert(id, LiveMessage { location, progress, completed });
    }

    /// Removes a message from the live ones, so that its receipt record is no longer needed.
    pub fn remove_live(&mut self, id: u64) {
        let Some(LiveMessage { location, .. }) = self.live.remove(&id) else { return };
        self.live_size_with_reserve -= location.size + LATER_RECORDS_BYTES;
        if let Some(segment) = self.segment_mut(location.segment) {
            segment.live_records -= 1;
            segment.live_size -= location.size;
        }
    }

    fn segment_mut(&mut self, number: u64) -> Option<&mut Segment> {
        let index = self.segments.binary_search_by_key(&number, |segment| segment.number).ok()?;
        self.segments.get_mut(index)
    }

    /// Closes the newest segment, so that the next record goes to a new one.
    pub fn close_newest_segment(&mut self) {
        self.newest_is_open = false;
    }

    /// Appends a record to the newest segment, or to a new one if the newest is full or closed.
    ///
    /// # Errors
    ///
    /// If the storage cannot create the segment or write the record. Part of the record may be in the file then; the
    /// segment is closed unless that part could be truncated.
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
            // Part of the record may have been written. If it cannot be truncated, no record may follow it.
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

    /// Creates a segment file under the next number; records are appended to it from then on.
    fn create_segment(&mut self) -> io::Result<()> {
        self.newest_is_open = false;
        let number = self.next_number;
        // The number is not used again even if this fails, because the file may have been created.
        self.next_number += 1;
        self.storage.create(&segment::file_name(number))?;
        let salt = self.salt.wrapping_add(SALT_STEP.wrapping_mul(number as u32));
        self.segments.push_back(Segment { number, salt, ..Segment::default() });
        self.newest_is_open = true;
        Ok(())
    }
}
