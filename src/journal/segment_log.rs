//! All segments as one log: records are appended to the newest segment, and the live records are tracked.
//!
//! The receipt record of a message, with which it was received, is *live* until the message's completion is written. Only
//! live records are copied by compaction.

use super::encoding::{self, EncodedRecord, FRAME_BYTES};
use super::record::{Progress, ProgressStep};
use super::segment::{self, ClockReading, HEADER_BYTES};
use super::space::{segment_size, FolderLimit, OtherFiles};
use super::storage::Storage;
use std::collections::{BTreeMap, VecDeque};
use std::io;

/// The disk block size in bytes. File sizes are rounded up to whole blocks, as the platform does for its disk limit.
pub(super) const DISK_BLOCK_BYTES: u64 = 512;
/// The space in bytes that is reserved for the records after a message's receipt record: the completion, and 12 attempts
/// (see [`MAX_ATTEMPTS_PER_MESSAGE`](crate::routes::MAX_ATTEMPTS_PER_MESSAGE)), each with its zone and a record that it
/// never ran.
pub(super) const LATER_RECORDS_BYTES: u64 = 1024;
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
    /// The size of its receipt record with its frame, without the start of an attempt, in bytes.
    size_without_start: u64,
    /// Whether the message is completed and the record of it is queued. Its receipt record is no longer needed then.
    pub completed: bool,
}

impl LiveMessage {
    fn new(location: RecordLocation, progress: Progress, completed: bool) -> Self {
        let start_size = encoding::attempt_start_size(progress.first_possible_effect.as_ref());
        LiveMessage { location, progress, size_without_start: location.size - start_size, completed }
    }

    /// The size of a copy of its receipt record with the current progress, in bytes.
    fn copy_size(&self) -> u64 {
        let start = self.progress.first_possible_effect.as_ref();
        self.size_without_start + encoding::attempt_start_size(start)
    }
}

/// A segment file. It counts its live records, so that compaction need not search for them.
#[derive(Default)]
pub(super) struct Segment {
    pub number: u64,
    /// The size of the file in bytes, or an upper bound after a failed write.
    pub size: u64,
    /// The number of live records in it, without those of completed messages.
    pub live_records: usize,
    /// The size of copies of these records with the current progress of their messages, in bytes.
    pub copy_size: u64,
    /// The initial value of its records' checksums.
    pub salt: u32,
    /// The shift that converts its times to the clock of this process, in microseconds.
    pub time_shift: i64,
    /// The file could not be read, so neither it nor any later segment may be removed.
    pub pinned: bool,
    /// The file has no record, so that it may be removed before older segments.
    pub empty: bool,
}

/// The segments, oldest first, and the live messages in them by id.
pub(super) struct SegmentLog {
    pub(super) storage: Box<dyn Storage>,
    pub(super) read_clocks: Box<dyn Fn() -> ClockReading>,
    /// The salts of all segments are derived from this one.
    salt: u32,
    /// The configured limit of the folder.
    pub(super) limit: FolderLimit,
    /// What the folder may hold now, in bytes. It is more than the configured limit while a folder that was filled under a
    /// higher limit shrinks, and it never rises meanwhile.
    pub(super) ceiling: u64,
    /// The largest size in bytes of a segment with more than one record.
    pub(super) segment_size: u64,
    /// The size in bytes of the largest receipt record so far.
    pub(super) largest_record: u64,
    pub(super) segments: VecDeque<Segment>,
    /// Whether records may be appended to the newest segment.
    newest_is_open: bool,
    pub(super) next_number: u64,
    pub(super) live: BTreeMap<u64, LiveMessage>,
    /// What the files in the folder that are no segments take of the limit, in bytes.
    pub(super) other_files: OtherFiles,
}

/// A file's size rounded up to whole disk blocks.
pub(super) fn size_on_disk(size: u64) -> u64 {
    size.div_ceil(DISK_BLOCK_BYTES) * DISK_BLOCK_BYTES
}

impl SegmentLog {
    pub fn new(
        storage: Box<dyn Storage>,
        limit: FolderLimit,
        read_clocks: Box<dyn Fn() -> ClockReading>,
        salt: u32,
    ) -> Self {
        SegmentLog {
            storage,
            read_clocks,
            salt,
            segment_size: segment_size(&limit),
            limit,
            ceiling: 0,
            largest_record: 0,
            segments: VecDeque::new(),
            newest_is_open: false,
            next_number: 1,
            live: BTreeMap::new(),
            other_files: OtherFiles::default(),
        }
    }

    /// Sets the limit of the folder, and by it the size of new segments.
    pub fn set_limit(&mut self, limit: FolderLimit) {
        self.segment_size = segment_size(&limit);
        self.limit = limit;
        self.measure_other_files();
        self.lower_ceiling();
    }

    /// Measures the files in the folder that are no segments. If the folder cannot be listed, the last figures stay.
    pub(super) fn measure_other_files(&mut self) {
        if let Ok(files) = self.storage.list() {
            self.other_files = OtherFiles::measure(&files, &self.limit);
        }
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
        if let Some(mut message) = self.take_live(id) {
            message.progress.apply(step);
            self.put_live(id, message);
        }
    }

    /// Marks a live message as completed. Returns false if the message is not live or already marked.
    pub fn mark_completed(&mut self, id: u64) -> bool {
        let Some(message) = self.take_live(id) else { return false };
        let is_new = !message.completed;
        self.put_live(id, LiveMessage { completed: true, ..message });
        is_new
    }

    /// Adds a live message, or sets the new location of one whose record was copied.
    pub fn insert_live(&mut self, id: u64, location: RecordLocation, progress: Progress) {
        let completed = self.take_live(id).is_some_and(|message| message.completed);
        self.largest_record = self.largest_record.max(location.size);
        self.put_live(id, LiveMessage::new(location, progress, completed));
    }

    /// Removes a message from the live ones, so that its receipt record is no longer needed.
    pub fn remove_live(&mut self, id: u64) {
        self.take_live(id);
    }

    fn take_live(&mut self, id: u64) -> Option<LiveMessage> {
        let message = self.live.remove(&id)?;
        if let Some(segment) = self.segment_with_live_record(&message) {
            segment.live_records -= 1;
            segment.copy_size -= message.copy_size();
        }
        Some(message)
    }

    fn put_live(&mut self, id: u64, message: LiveMessage) {
        if let Some(segment) = self.segment_with_live_record(&message) {
            segment.live_records += 1;
            segment.copy_size += message.copy_size();
        }
        self.live.insert(id, message);
    }

    /// The segment that has to keep the receipt record of a message; `None` if the message is completed.
    fn segment_with_live_record(&mut self, message: &LiveMessage) -> Option<&mut Segment> {
        if message.completed {
            return None;
        }
        let number = message.location.segment;
        let index = self.segments.binary_search_by_key(&number, |segment| segment.number).ok()?;
        self.segments.get_mut(index)
    }

    /// Closes the newest segment, so that the next record goes to a new one.
    pub fn close_newest_segment(&mut self) {
        self.newest_is_open = false;
    }

    /// Appends a record to the newest segment, or to a new one if the newest has no room for it or is closed.
    ///
    /// # Errors
    ///
    /// `StorageFull` if the folder would hold more than it may; nothing is written then. Otherwise, if the storage cannot
    /// create the segment or write the record. Part of the record may be in the file then; the segment is closed unless
    /// that part could be truncated.
    pub fn append(&mut self, mut record: EncodedRecord) -> io::Result<RecordLocation> {
        if !self.newest_has_room(record.size()) {
            self.check_ceiling(0, HEADER_BYTES as u64 + record.size())?;
            self.create_segment()?;
        }
        let segment = self.segments.back().expect("a segment is open or was just created");
        let size_before = segment.size;
        let mut bytes = match size_before {
            0 => segment::encode_header(&(self.read_clocks)(), segment.salt),
            _ => Vec::new(),
        };
        let record_offset = size_before as usize + bytes.len();
        bytes.extend_from_slice(record.seal(segment.salt));
        self.check_ceiling(size_before, bytes.len() as u64)?;
        let appended = self.storage.append(&bytes);
        // Part of the record may have been written. If it cannot be truncated, no record may follow it.
        let is_torn = appended.is_err() && self.storage.truncate_newest(size_before).is_err();
        let segment = self.segments.back_mut().expect("the segment is still there");
        if appended.is_ok() || is_torn {
            segment.size += bytes.len() as u64;
        }
        self.newest_is_open = !is_torn;
        appended?;
        Ok(RecordLocation {
            segment: segment.number,
            content_offset: record_offset + FRAME_BYTES,
            size: record.size(),
        })
    }

    /// Whether the newest segment is open and a record of this size fits into it.
    fn newest_has_room(&self, record_size: u64) -> bool {
        let has_room =
            |segment: &Segment| segment.size == 0 || segment.size + record_size <= self.segment_size;
        self.newest_is_open && self.segments.back().is_some_and(has_room)
    }

    /// Fails with `StorageFull` if the folder would hold too much once `appended` bytes are added to a file of `size` bytes.
    fn check_ceiling(&self, size: u64, appended: u64) -> io::Result<()> {
        let growth = size_on_disk(size + appended) - size_on_disk(size);
        if growth > 0 && self.charged_bytes() + growth > self.ceiling {
            return Err(io::ErrorKind::StorageFull.into());
        }
        Ok(())
    }

    /// Creates a segment file under the next number; records are appended to it from then on.
    fn create_segment(&mut self) -> io::Result<()> {
        self.newest_is_open = false;
        self.measure_other_files();
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
