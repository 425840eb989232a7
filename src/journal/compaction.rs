//! Compaction keeps the log under its size limit: the live records of the oldest segment are copied to the newest one, then
//! the oldest segment is removed.

use super::encoding::{self, EncodedRecord, FRAME_BYTES};
use super::record::{JournalRecord, JournaledMessage};
use super::segment;
use super::segment_log::{LiveMessage, Segment, SegmentLog};
use std::io;

/// What a record is written for, which determines how much space it has to leave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RecordPurpose {
    /// To start something. It must leave space for the ends of all messages.
    Start,
    /// To keep what has happened.
    Event,
}

impl SegmentLog {
    /// Makes room for the receipt record of a message, and compacts the oldest segments if that is necessary. Returns whether
    /// the record fits together with the records that will follow, and with the space that compaction needs.
    pub fn make_room_for_message(&mut self, record_size: u64) -> bool {
        if !self.can_hold_message(record_size) {
            return false;
        }
        // The message may have to be copied before it is completed.
        let additional_bytes = record_size + super::space::COPY_OVERHEAD_BYTES;
        self.make_room(additional_bytes) && self.can_hold_message(record_size)
    }

    /// Makes room for a record that is no receipt record, and compacts the oldest segments if that is necessary.
    ///
    /// # Errors
    ///
    /// `StorageFull` if the record does not fit even without the space that compaction needs.
    pub fn make_room_for_record(&mut self, record_size: u64, purpose: RecordPurpose) -> io::Result<()> {
        // The start of an attempt is in the record of the attempt, and then also in a copy of the receipt record.
        let additional_bytes = 2 * record_size;
        let reserved_bytes = match purpose {
            RecordPurpose::Start => self.end_records_bytes(),
            RecordPurpose::Event => 0,
        };
        if self.make_room(additional_bytes) || self.fits_without_compaction(record_size + reserved_bytes) {
            return Ok(());
        }
        Err(io::ErrorKind::StorageFull.into())
    }

    /// Compacts the oldest segments until `additional_bytes` fit under the limit together with the space that compaction
    /// needs. Returns whether they do.
    pub fn make_room(&mut self, additional_bytes: u64) -> bool {
        let mut remaining_rounds = self.segments.len() + 1;
        loop {
            self.remove_unneeded_segments();
            self.lower_ceiling();
            if self.bytes_with_compaction(additional_bytes) <= self.limit.usable_bytes() {
                return true;
            }
            if remaining_rounds == 0 || !self.is_compaction_worthwhile() || self.compact_oldest().is_err() {
                return false;
            }
            remaining_rounds -= 1;
        }
    }

    /// Whether compaction frees enough, and the copies of the next live records fit.
    fn is_compaction_worthwhile(&self) -> bool {
        let is_pinned = self.segments.front().is_none_or(|oldest| oldest.pinned);
        !is_pinned && self.reclaimable_bytes() >= self.min_reclaimable_bytes() && self.copies_of_oldest_fit()
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
        let is_needed = |message: &LiveMessage| message.location.segment == number && !message.completed;
        let in_oldest = self.live.iter().filter(|(_, message)| is_needed(message));
        let ids: Vec<u64> = in_oldest.map(|(id, _)| *id).collect();
        for id in ids {
            let message = current_message(&bytes, salt, time_shift, &self.live[&id])?;
            let progress = message.progress.clone();
            let location = self.append(EncodedRecord::new(id, &JournalRecord::Received(message)))?;
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
