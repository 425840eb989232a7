//! Reading the log at the start: which messages are not completed, and what could not be read.

use super::encoding::FRAME_BYTES;
use super::record::{JournalRecord, JournaledMessage};
use super::segment::{self, DecodedRecord, DecodedSegment};
use super::segment_log::{size_on_disk, RecordLocation, Segment, SegmentLog};
use std::collections::BTreeMap;
use std::io;

/// What to do about a segment that cannot be read at the start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnreadableSegmentPolicy {
    /// Fail, so that opening can be tried again.
    Fail,
    /// Leave it where it is for a later start.
    KeepForLaterStart,
}

/// What a journal held when it was opened.
#[derive(Debug, Default)]
pub struct RestoredJournal {
    /// The messages that are not completed, by id.
    pub messages: Vec<(u64, JournaledMessage)>,
    /// Lines on what could not be read.
    pub damage: Vec<String>,
    /// The highest message id ever seen in it.
    pub highest_id: u64,
}

/// What was restored from the segments read so far.
#[derive(Default)]
struct Recovery {
    messages: BTreeMap<u64, JournaledMessage>,
    damage: Vec<String>,
    highest_id: u64,
}

impl SegmentLog {
    /// Reads all segments. Appending goes to a new one, so nothing is ever written behind what may be torn.
    pub fn recover(&mut self, unreadable: UnreadableSegmentPolicy) -> io::Result<RestoredJournal> {
        let mut recovery = Recovery::default();
        for (number, size) in self.list_segments()? {
            self.next_number = number + 1;
            match self.storage.read(&segment::file_name(number)) {
                Ok(bytes) => self.replay(number, &bytes, &mut recovery),
                Err(error) if unreadable == UnreadableSegmentPolicy::Fail => return Err(error),
                Err(error) => {
                    let line = format!("segment {number}: it is left for a later start: {error}");
                    recovery.damage.push(line);
                    self.segments.push_back(Segment { number, size, pinned: true, ..Segment::default() });
                }
            }
        }
        self.remove_empty_segments();
        let Recovery { messages, damage, highest_id } = recovery;
        Ok(RestoredJournal { messages: messages.into_iter().collect(), damage, highest_id })
    }

    /// The numbers and sizes of the segments, oldest first; the folder's other files are counted.
    fn list_segments(&mut self) -> io::Result<Vec<(u64, u64)>> {
        let mut segments = Vec::new();
        for (file, size) in self.storage.list()? {
            match segment::parse_file_name(&file) {
                Some(number) => segments.push((number, size)),
                None => self.other_files_size += size_on_disk(size),
            }
        }
        segments.sort_unstable();
        Ok(segments)
    }

    fn replay(&mut self, number: u64, bytes: &[u8], recovery: &mut Recovery) {
        let decoded = segment::decode(bytes, &(self.read_clocks)());
        let (salt, time_shift) = (decoded.salt, decoded.time_shift);
        self.segments.push_back(Segment { number, salt, time_shift, ..Segment::default() });
        for stretch in &decoded.damage {
            let (length, offset) = (stretch.length, stretch.offset);
            recovery.damage.push(format!("segment {number}: {length} bytes at {offset} cannot be read"));
        }
        let size = self.truncate_torn_tail(number, bytes, &decoded);
        self.segments.back_mut().expect("it was just added").size = size as u64;
        for record in decoded.records {
            self.replay_record(number, record, recovery);
        }
    }

    fn replay_record(&mut self, segment: u64, decoded: DecodedRecord, recovery: &mut Recovery) {
        let id = decoded.message_id;
        recovery.highest_id = recovery.highest_id.max(id);
        match decoded.record {
            JournalRecord::Received(message) => {
                let size = (FRAME_BYTES + decoded.content_length) as u64;
                let location = RecordLocation { segment, content_offset: decoded.content_offset, size };
                self.insert_live(id, location, message.progress.clone());
                recovery.messages.insert(id, *message);
            }
            JournalRecord::Progressed(step) => {
                self.apply(id, &step);
                if let Some((progress, message)) = self.progress(id).zip(recovery.messages.get_mut(&id)) {
                    message.progress = progress.clone();
                }
            }
            JournalRecord::Completed => {
                self.remove_live(id);
                recovery.messages.remove(&id);
            }
            JournalRecord::Probe => {}
        }
    }

    /// Cuts off what follows the last complete record, so that it is reported once; the size of the file then. Nothing depends
    /// on it.
    fn truncate_torn_tail(&mut self, number: u64, bytes: &[u8], decoded: &DecodedSegment) -> usize {
        let records_end = decoded.end;
        let is_torn = records_end < bytes.len() && (records_end > 0 || bytes.len() <= segment::HEADER_BYTES);
        let name = segment::file_name(number);
        if is_torn && self.storage.truncate(&name, records_end as u64).is_ok() {
            return records_end;
        }
        bytes.len()
    }

    fn remove_empty_segments(&mut self) {
        let storage = &mut self.storage;
        self.segments.retain(|segment| {
            let is_empty = !segment.pinned && segment.size == 0;
            !is_empty || storage.remove(&segment::file_name(segment.number)).is_err()
        });
    }
}
