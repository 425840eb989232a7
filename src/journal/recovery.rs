//! Recovery: reads all segments when the journal is opened and restores the messages that are not completed.

use super::encoding::FRAME_BYTES;
use super::record::{JournalRecord, JournaledMessage};
use super::segment::{self, DecodedRecord, DecodedSegment};
use super::segment_log::{RecordLocation, Segment, SegmentLog};
use super::space::OtherFiles;
use std::collections::BTreeMap;
use std::io;

/// What to do if the storage cannot read a segment when the journal is opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnreadableSegmentPolicy {
    /// Opening fails, so that it can be tried again.
    Fail,
    /// The segment stays in the folder, and a later start reads it.
    KeepForLaterStart,
}

/// What was restored from a journal when it was opened.
#[derive(Debug, Default)]
pub struct RestoredJournal {
    /// The messages that are not completed, in the order of their ids.
    pub messages: Vec<(u64, JournaledMessage)>,
    /// A log line for each part that could not be read.
    pub damage: Vec<String>,
    /// The highest message id in any record, also of a completed message.
    pub highest_id: u64,
    /// The completed messages whose receipt records are still there, in the order of their completion.
    pub completed: Vec<CompletedMessage>,
}

/// A message that the journal knows to be completed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CompletedMessage {
    /// The id that its client gave it.
    pub request_id: String,
    /// The name of its class.
    pub class: String,
    /// The latest time at which it could be delivered, in microseconds of the program's clock.
    pub deadline: u64,
}

impl From<JournaledMessage> for CompletedMessage {
    fn from(message: JournaledMessage) -> Self {
        CompletedMessage { request_id: message.request_id, class: message.class, deadline: message.deadline }
    }
}

/// What was restored from the segments read so far.
#[derive(Default)]
struct Recovery {
    completed: Vec<CompletedMessage>,
    messages: BTreeMap<u64, JournaledMessage>,
    damage: Vec<String>,
    highest_id: u64,
}

impl SegmentLog {
    /// Reads all segments. Records are then appended to a new segment, so that none follows a torn record.
    ///
    /// # Errors
    ///
    /// If the storage cannot list its files, or cannot read a segment and `unreadable` is `Fail`.
    pub fn recover(&mut self, unreadable: UnreadableSegmentPolicy) -> io::Result<RestoredJournal> {
        let mut recovery = Recovery::default();
        for (number, size) in self.list_segments()? {
            self.next_number = number + 1;
            match self.storage.read(&segment::file_name(number)) {
                Ok(bytes) => self.replay(number, &bytes, &mut recovery),
                Err(error) if unreadable == UnreadableSegmentPolicy::Fail => return Err(error),
                Err(error) => {
                    let line =
                        format!("segment {number} cannot be read and is left for a later start: {error}");
                    recovery.damage.push(line);
                    self.segments.push_back(Segment { number, size, pinned: true, ..Segment::default() });
                }
            }
        }
        self.remove_empty_segments();
        self.set_initial_ceiling();
        let Recovery { completed, messages, damage, highest_id } = recovery;
        Ok(RestoredJournal { messages: messages.into_iter().collect(), damage, highest_id, completed })
    }

    /// Lists the number and the size in bytes of each segment, oldest first, and measures the other files.
    fn list_segments(&mut self) -> io::Result<Vec<(u64, u64)>> {
        let files = self.storage.list()?;
        self.other_files = OtherFiles::measure(&files, &self.limit);
        let number_and_size = |(name, size): &(String, u64)| Some((segment::parse_file_name(name)?, *size));
        let mut segments: Vec<_> = files.iter().filter_map(number_and_size).collect();
        segments.sort_unstable();
        Ok(segments)
    }

    /// Adds a segment to the log and applies its records in order.
    fn replay(&mut self, number: u64, bytes: &[u8], recovery: &mut Recovery) {
        let decoded = segment::decode(bytes, &(self.read_clocks)());
        let (salt, time_shift) = (decoded.salt, decoded.time_shift);
        self.segments.push_back(Segment { number, salt, time_shift, ..Segment::default() });
        for range in &decoded.damage {
            let (length, offset) = (range.length, range.offset);
            recovery.damage.push(format!("segment {number}: {length} bytes at offset {offset} are damaged"));
        }
        let size = self.truncate_torn_tail(number, bytes, &decoded);
        let segment = self.segments.back_mut().expect("the segment was just added");
        segment.size = size as u64;
        segment.empty = decoded.records.is_empty() && size <= segment::HEADER_BYTES;
        for record in decoded.records {
            self.replay_record(number, record, recovery);
        }
    }

    /// Applies a record of a segment to the live messages and the result of the recovery.
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
                recovery.completed.extend(recovery.messages.remove(&id).map(CompletedMessage::from));
            }
            JournalRecord::Probe => {}
        }
    }

    /// Truncates a segment after its last complete record and returns the size of the file in bytes. This only keeps the
    /// damage from being reported again at each start, so a file that cannot be truncated stays as it is.
    fn truncate_torn_tail(&mut self, number: u64, bytes: &[u8], decoded: &DecodedSegment) -> usize {
        let records_end = decoded.end;
        let is_torn = records_end < bytes.len() && (records_end > 0 || bytes.len() <= segment::HEADER_BYTES);
        let name = segment::file_name(number);
        if is_torn && self.storage.truncate(&name, records_end as u64).is_ok() {
            return records_end;
        }
        bytes.len()
    }

    /// Removes the files of segments without any record, which a failed write or a kill may leave.
    fn remove_empty_segments(&mut self) {
        let storage = &mut self.storage;
        self.segments
            .retain(|segment| !segment.empty || storage.remove(&segment::file_name(segment.number)).is_err());
    }
}
