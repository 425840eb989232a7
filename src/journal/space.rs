//! Disk space: how much the folder may hold, and whether a record fits together with the space that compaction needs.
//!
//! Compaction copies the live records of the oldest segment before it removes the segment, so it needs free space. The log
//! keeps enough of it that all segments can be compacted one after the other, even if the process is killed after each copy
//! and begins a new segment. What would leave less is not written before compaction has made room. A message for which
//! compaction could not make room is not accepted. See `SegmentLog::bytes_with_compaction`.

use super::segment::HEADER_BYTES;
use super::segment_log::{size_on_disk, Segment, SegmentLog, DISK_BLOCK_BYTES, LATER_RECORDS_BYTES};

/// The share in percent of the space for segments that live records may take with their reserves. With less space for other
/// records, compaction would run more often.
const LIVE_PERCENT: u64 = 70;
/// A segment is a twelfth of the limit, so that compaction copies a small part of the log at once.
const SEGMENTS_PER_LIMIT: u64 = 12;
/// The least size of a segment, in disk blocks.
const MIN_SEGMENT_BLOCKS: u64 = 8;
/// Disk blocks left for the folder itself, in case the platform counts it as well.
const FOLDER_BLOCKS: u64 = 4;
/// The disk space of a copy besides its record, in bytes: a kill after the copy leaves the rest of its last block unused, and
/// the next copy begins a segment with a header.
pub(super) const COPY_OVERHEAD_BYTES: u64 = 2 * DISK_BLOCK_BYTES;
/// The disk space of an appended record besides the record, in bytes: the header of a new segment, and the rest of a block.
const APPEND_OVERHEAD_BYTES: u64 = 2 * DISK_BLOCK_BYTES;
/// Disk space kept free for a small record while all live records are copied, in bytes: the record and what appending it takes
/// besides.
const SMALL_RECORDS_BYTES: u64 = APPEND_OVERHEAD_BYTES + DISK_BLOCK_BYTES;
/// The size in bytes of the records that end a message: the attempt in flight never ran, or the message may have ended; it is
/// undelivered; it is completed.
const END_RECORDS_BYTES: u64 = 96;

/// The size limit of the folder.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FolderLimit {
    /// The largest size of the whole folder in bytes, each file rounded up to whole disk blocks.
    pub bytes: u64,
    /// The part of it that is reserved for files of other modules, in bytes.
    pub reserved_bytes: u64,
    /// The names of the files that use the reserved part. All other files that are no segments are counted in addition to it.
    pub reserved_files: Vec<&'static str>,
}

impl From<u64> for FolderLimit {
    /// A limit in bytes of which nothing is reserved.
    fn from(bytes: u64) -> Self {
        FolderLimit { bytes, ..FolderLimit::default() }
    }
}

impl FolderLimit {
    /// The limit without the blocks that are left for the folder itself, in bytes.
    pub(super) fn usable_bytes(&self) -> u64 {
        self.bytes.saturating_sub(FOLDER_BLOCKS * DISK_BLOCK_BYTES)
    }
}

/// The largest size in bytes of a segment with more than one record.
pub(super) fn segment_size(limit: &FolderLimit) -> u64 {
    let bytes = limit.bytes.saturating_sub(limit.reserved_bytes);
    (bytes / SEGMENTS_PER_LIMIT).max(MIN_SEGMENT_BLOCKS * DISK_BLOCK_BYTES)
}

/// The files in the folder that are no segments.
#[derive(Clone, Copy, Default)]
pub(super) struct OtherFiles {
    /// Their size on disk, in bytes.
    pub size: u64,
    /// What they take of the limit, in bytes: their size, and what is reserved for some of them.
    pub charged: u64,
}

impl OtherFiles {
    /// Adds up the files by their names and sizes in bytes; segments are left out.
    pub fn measure(files: &[(String, u64)], limit: &FolderLimit) -> Self {
        let others = files.iter().filter(|(name, _)| super::segment::parse_file_name(name).is_none());
        let is_reserved = |name: &String| limit.reserved_files.contains(&name.as_str());
        let (reserved, unreserved): (Vec<_>, Vec<_>) = others.partition(|(name, _)| is_reserved(name));
        let total = |files: &[&(String, u64)]| files.iter().map(|(_, size)| size_on_disk(*size)).sum::<u64>();
        let (reserved_size, unreserved_size) = (total(&reserved), total(&unreserved));
        OtherFiles {
            size: reserved_size + unreserved_size,
            charged: reserved_size.max(limit.reserved_bytes) + unreserved_size,
        }
    }
}

impl Segment {
    /// The disk space in bytes that copies of its live records take at most, however often the process is killed meanwhile.
    fn copy_space(&self) -> u64 {
        self.copy_size + self.live_records as u64 * COPY_OVERHEAD_BYTES
    }
}

impl SegmentLog {
    /// The size of all files in the folder in bytes, each rounded up to whole disk blocks.
    pub fn disk_bytes(&self) -> u64 {
        self.other_files.size + self.segment_bytes()
    }

    /// What the segments and the other files take of the limit, in bytes.
    pub(super) fn charged_bytes(&self) -> u64 {
        self.other_files.charged + self.segment_bytes()
    }

    fn segment_bytes(&self) -> u64 {
        self.segments.iter().map(|segment| size_on_disk(segment.size)).sum()
    }

    /// The segments that can be compacted: those before the first one that could not be read.
    fn removable_segments(&self) -> impl Iterator<Item = &Segment> {
        self.segments.iter().take_while(|segment| !segment.pinned)
    }

    /// The most that the folder holds at any moment, in bytes, if `appended_bytes` are appended and then all segments are
    /// compacted one after the other, with kills of the process at the worst moments.
    ///
    /// A compaction does not raise this figure: the copies of a segment take no more than was counted for them before. So if it
    /// is under the limit after each append, compaction never exceeds the limit, and it can always be completed.
    pub(super) fn bytes_with_compaction(&self, appended_bytes: u64) -> u64 {
        let mut folder_bytes = self.charged_bytes() + appended_bytes + APPEND_OVERHEAD_BYTES;
        let mut largest = folder_bytes;
        for segment in self.removable_segments() {
            folder_bytes += segment.copy_space();
            largest = largest.max(folder_bytes);
            folder_bytes -= size_on_disk(segment.size);
        }
        if self.has_pinned_segment() {
            return largest;
        }
        // From here on the copies are copied once more, of which the first segment is as large as any.
        largest.max(folder_bytes + self.max_segment_size(self.largest_record))
    }

    /// The largest size on disk of a segment, in bytes, if the largest record has `largest_record` bytes.
    fn max_segment_size(&self, largest_record: u64) -> u64 {
        size_on_disk(self.segment_size.max(HEADER_BYTES as u64 + largest_record))
    }

    fn has_pinned_segment(&self) -> bool {
        self.segments.iter().any(|segment| segment.pinned)
    }

    /// What compaction can free, in bytes.
    pub(super) fn reclaimable_bytes(&self) -> u64 {
        let of_segment = |segment: &Segment| size_on_disk(segment.size).saturating_sub(segment.copy_size);
        self.removable_segments().map(of_segment).sum()
    }

    /// How much has to be reclaimable before segments are compacted, in bytes. With less, live records would be copied for
    /// next to nothing.
    pub(super) fn min_reclaimable_bytes(&self) -> u64 {
        self.segment_size / 2
    }

    /// Whether copies of the live records of the oldest segment fit under the ceiling.
    pub(super) fn copies_of_oldest_fit(&self) -> bool {
        let fits = |oldest: &Segment| self.charged_bytes() + self.copies_bytes(oldest) <= self.ceiling;
        self.segments.front().is_some_and(fits)
    }

    /// The disk space in bytes that copies of the live records of a segment take if the process is not killed meanwhile.
    fn copies_bytes(&self, segment: &Segment) -> u64 {
        if segment.live_records == 0 {
            return 0;
        }
        // Two new segments in a row have more than the size of one segment together.
        let new_segments = 2 * segment.copy_size / self.segment_size + 2;
        segment.copy_size + new_segments * (HEADER_BYTES as u64 + DISK_BLOCK_BYTES)
    }

    /// What the folder holds at most while one segment is compacted and small records are written, in bytes.
    fn bytes_with_one_compaction(&self) -> u64 {
        let copies = self.removable_segments().map(|segment| self.copies_bytes(segment)).max().unwrap_or(0);
        self.charged_bytes() + copies + SMALL_RECORDS_BYTES
    }

    /// Whether a message may be accepted whose receipt record has `record_size` bytes: compaction can then always make room
    /// for the records of all accepted messages.
    pub(super) fn can_hold_message(&self, record_size: u64) -> bool {
        let usable_bytes = self.limit.usable_bytes().saturating_sub(self.other_files.charged);
        let live: u64 = self.segments.iter().map(|segment| segment.copy_size).sum();
        let records: u64 = self.segments.iter().map(|segment| segment.live_records as u64).sum();
        let with_reserve = live + record_size + (records + 1) * LATER_RECORDS_BYTES;
        if self.has_pinned_segment() {
            // What is appended now can't be removed by this process, the records that follow neither.
            let later_bytes = (records + 1) * LATER_RECORDS_BYTES;
            return self.segment_bytes() + record_size + later_bytes + APPEND_OVERHEAD_BYTES <= usable_bytes;
        }
        let largest_segment = self.max_segment_size(self.largest_record.max(record_size));
        let kept_free = largest_segment + self.min_reclaimable_bytes() + SMALL_RECORDS_BYTES;
        with_reserve <= usable_bytes * LIVE_PERCENT / 100 && with_reserve + kept_free <= usable_bytes
    }

    /// Whether `additional_bytes` fit into the folder without the space that compaction needs.
    pub(super) fn fits_without_compaction(&self, additional_bytes: u64) -> bool {
        self.charged_bytes() + additional_bytes + APPEND_OVERHEAD_BYTES <= self.ceiling
    }

    /// The space in bytes for the records that end the live messages.
    pub(super) fn end_records_bytes(&self) -> u64 {
        self.live.len() as u64 * END_RECORDS_BYTES
    }

    /// Lowers the ceiling to the limit, or as far as compaction allows while the folder holds more than the limit.
    pub(super) fn lower_ceiling(&mut self) {
        let usable_bytes = self.limit.usable_bytes();
        let needed_bytes = match self.charged_bytes() {
            charged if charged <= usable_bytes => usable_bytes,
            charged if charged <= self.limit.bytes => self.limit.bytes,
            _ => self.bytes_with_one_compaction(),
        };
        self.ceiling = self.ceiling.min(needed_bytes).max(usable_bytes);
    }

    /// Sets the ceiling for what is in the folder when it is opened.
    pub(super) fn set_initial_ceiling(&mut self) {
        self.ceiling = u64::MAX;
        self.lower_ceiling();
    }
}
