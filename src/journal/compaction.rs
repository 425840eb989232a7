//! Compaction keeps the log under its size limit: the live records of the oldest segment are copied to the newest one, then
//! the oldest segment is removed.

use super::encoding::{self, FRAME_BYTES};
use super::record::{JournalRecord, JournaledMessage};
use super::segment;
use super::segment_log::{LiveMessage, Segment, SegmentLog, DISK_BLOCK_BYTES};
use std::io;

/// Disk blocks kept free in addition to the space for copies of the oldest segment, so that the next compaction has
/// space too.
const RESERVED_BLOCKS: u64 = 4;

impl Segment {
    /// An upper bound of the disk space for copies of its live records, in bytes. Two extra blocks are counted for each
    /// copy, because it may start in a block of its own.
    fn max_copy_size(&self) -> u64 {
        self.live_size + self.live_records as u64 * 2 * DISK_BLOCK_BYTES
    }
}

impl SegmentLog {
    /// Compacts the oldest segments until `additional_bytes` fit under the limit together with the space that the next
    /// compaction needs.
    ///
    /// # Errors
    ///
    /// `StorageFull` if the bytes do not fit even without the space for the next compaction.
    pub fn free_space_for(&mut self, additional_bytes: u64) -> io::Result<()> {
        let mut remaining_rounds = self.segments.len() + 1;
        loop {
            self.remove_unneeded_segments();
            let copy_size = self.segments.front().map_or(0, Segment::max_copy_size);
            if self.disk_bytes() + additional_bytes + copy_size + RESERVED_BLOCKS * DISK_BLOCK_BYTES
                <= self.usable_bytes
            {
                return Ok(());
            }
            let must_keep_oldest = self.segments.front().is_none_or(|oldest| oldest.pinned);
            if remaining_rounds == 0 || must_keep_oldest || self.compact_oldest().is_err() {
                // Either compacting every segment once freed too little, or the oldest segment cannot be compacted. The
                // bytes may still fit without the space for the next compaction.
                let fits = self.disk_bytes() + additional_bytes + DISK_BLOCK_BYTES <= self.usable_bytes;
                return if fits { Ok(()) } else { Err(io::ErrorKind::StorageFull.into()) };
            }
            remaining_rounds -= 1;
        }
    }

    /// Removes segments from the oldest on that have no live records, so that nothing has to be copied. The newest stays.
    fn remove_unneeded_segments(&mut self) {
        let is_unneeded = |oldest: &Segment| oldest.live_records == 0 && !oldest.pinned;
        while self.segments.len() > 1 && self.segments.front().is_some_and(is_unneeded) {
            if self.remove_oldest().is_err() {
                break;
            }
        }
    }

    /// Copies the live records of the oldest segment to the newest one, then removes it.
    fn compact_oldest(&mut self) -> io::Result<()> {
        if self.segments.len() == 1 {
            // The oldest segment is also the newest one; the copies must go to a new segment.
            self.close_newest_segment();
        }
        self.copy_live_records_of_oldest()?;
        self.remove_oldest()
    }

    fn copy_live_records_of_oldest(&mut self) -> io::Result<()> {
        let Some(oldest) = self.segments.front().filter(|oldest| oldest.live_records > 0) else {
            return Ok(());
        };
        let (number, salt, time_shift) = (oldest.number, oldest.salt, oldest.time_shift);
        let bytes = self.storage.read(&segment::file_name(number))?;
        let in_oldest = self.live.iter().filter(|(_, message)| message.location.segment == number);
        let ids: Vec<u64> = in_oldest.map(|(id, _)| *id).collect();
        for id in ids {
            let message = current_message(&bytes, salt, time_shift, &self.live[&id])?;
            let progress = message.progress.clone();
            let location = self.append(id, &JournalRecord::Received(message))?;
            self.insert_live(id, location, progress);
        }
        Ok(())
    }

    /// Removes the oldest segment. No later segment may be removed before it, because later ones may hold the completion
    /// records of messages in it.
    fn remove_oldest(&mut self) -> io::Result<()> {
        if let Some(oldest) = self.segments.front() {
            self.storage.remove(&segment::file_name(oldest.number))?;
            self.segments.pop_front();
        }
        Ok(())
    }
}

/// Decodes a live message from the bytes of its segment and sets its current progress.
fn current_message(
    segment: &[u8],
    salt: u32,
    time_shift: i64,
    live: &LiveMessage,
) -> io::Result<Box<JournaledMessage>> {
    let record_offset = live.location.content_offset - FRAME_BYTES;
    let decoded = segment.get(record_offset..).and_then(|bytes| encoding::decode(salt, bytes));
    let record = decoded.map(|decoded| {
        let mut record = decoded.record;
        record.shift_times(time_shift);
        record
    });
    let Some(JournalRecord::Received(mut message)) = record else {
        return Err(io::Error::new(
            io::ErrorKind::InvalidData,
            "a journal record was changed after it was written",
        ));
    };
    message.progress = live.progress.clone();
    Ok(message)
}
