//! Keeping the log under its limit: the oldest segments are removed after the records that are still needed were copied.

use super::encoding::{self, FRAME_BYTES};
use super::record::{JournalRecord, JournaledMessage};
use super::segment;
use super::segment_log::{LiveMessage, Segment, SegmentLog, DISK_BLOCK_BYTES};
use std::io;

/// Blocks that are kept free beside the copies of the oldest segment, so that the next compaction has space too.
const RESERVED_BLOCKS: u64 = 4;

impl Segment {
    /// The disk space that copies of its live records may take, in bytes. Each copy may begin a block of its own.
    fn copies_size(&self) -> u64 {
        self.live_size + self.live_records as u64 * 2 * DISK_BLOCK_BYTES
    }
}

impl SegmentLog {
    /// Removes the oldest segments until so many bytes more fit, and what the next compaction needs beside them.
    ///
    /// # Errors
    ///
    /// If they do not fit.
    pub fn free_space_for(&mut self, more: u64) -> io::Result<()> {
        let mut remaining_rounds = self.segments.len() + 1;
        loop {
            self.remove_unneeded_segments();
            let copies = self.segments.front().map_or(0, Segment::copies_size);
            if self.disk_bytes() + more + copies + RESERVED_BLOCKS * DISK_BLOCK_BYTES <= self.limit {
                return Ok(());
            }
            let is_stuck = self.segments.front().is_none_or(|oldest| oldest.pinned);
            if remaining_rounds == 0 || is_stuck || self.compact_oldest().is_err() {
                // All was copied once and gave no more, or cannot be; without the reserve for copies it may still fit.
                let fits = self.disk_bytes() + more + DISK_BLOCK_BYTES <= self.limit;
                return if fits { Ok(()) } else { Err(io::ErrorKind::StorageFull.into()) };
            }
            remaining_rounds -= 1;
        }
    }

    /// Removes the oldest segments of which no record is needed any more: they cost no copy.
    fn remove_unneeded_segments(&mut self) {
        let is_unneeded = |oldest: &Segment| oldest.live_records == 0 && !oldest.pinned;
        while self.segments.len() > 1 && self.segments.front().is_some_and(is_unneeded) {
            if self.remove_oldest().is_err() {
                break;
            }
        }
    }

    fn compact_oldest(&mut self) -> io::Result<()> {
        if self.segments.len() == 1 {
            // The copies go to a new segment.
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

    /// Removes the oldest segment. Later ones must stay until it is gone: they may hold the completions of messages in it.
    fn remove_oldest(&mut self) -> io::Result<()> {
        if let Some(oldest) = self.segments.front() {
            self.storage.remove(&segment::file_name(oldest.number))?;
            self.segments.pop_front();
        }
        Ok(())
    }
}

/// A message as its segment holds it, with its current progress.
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
        return Err(io::Error::new(io::ErrorKind::InvalidData, "a record changed under the journal"));
    };
    message.progress = live.progress.clone();
    Ok(message)
}
