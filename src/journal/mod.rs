//! The journal stores each accepted message, its attempts and its completion in segment files of checksummed records.
//!
//! The *receipt record* of a message is written before the message is accepted, and holds the whole message. A message is
//! *undelivered* if it has ended without a delivery: no attempt is sent any more, but the platform has not confirmed its
//! delivery report. It is *completed* when nothing is left to do for it: it was delivered, its client was told the outcome,
//! or the platform has confirmed the report.
//!
//! Only receipt records of messages that are not completed are *live*. The oldest segment is always removed first, after its
//! live records were copied to the newest one. A copy holds the message's progress so far, so that the records of its
//! attempts and its undelivered end need not be copied. As the oldest segment goes first, the record of a completion is
//! never removed before the receipt record of its message. The folder stays under its size limit at all times, also during
//! compaction and if the process is killed within it.
//!
//! After a failed write the journal is *failing*. Then it rejects a record that must be written before something starts (an
//! accepted message, an attempt). A record of something that has already happened (a completion, an undelivered end, an
//! attempt that never ran) is queued in memory, in order, until it can be written. No record is appended after a torn one,
//! of which only a part was written. [`Journal::retry`] finds out whether the journal can be written again.
//!
//! | module | content |
//! |---|---|
//! | [`record`] | the records and their fields |
//! | [`encoding`] | the binary encoding of a record |
//! | [`segment`] | a segment file: its header, and a decoder that continues after damage |
//! | [`storage`] | the interface to the files |
//! | `segment_log` | all segments as one log, and the live records in it |
//! | `recovery` | reading the segments when the journal is opened |
//! | [`space`] | the size limit, and whether a record fits under it |
//! | `compaction` | making room by copying live records |
//!
//! All I/O goes through [`storage::Storage`].

mod compaction;
pub mod encoding;
pub mod record;
mod recovery;
pub mod segment;
mod segment_log;
pub mod space;
pub mod storage;

pub use record::{AttemptStart, JournaledMessage, Progress, ReportedEnd, UnknownAttempt};
pub use recovery::{CompletedMessage, RestoredJournal, UnreadableSegmentPolicy};
pub use segment::ClockReading;
pub use space::FolderLimit;

use compaction::RecordPurpose;
use encoding::EncodedRecord;
use record::{JournalRecord, ProgressStep};
use segment_log::{RecordLocation, SegmentLog};
use std::collections::VecDeque;
use std::io;
use storage::Storage;

/// Why a record was not written.
#[derive(Debug, thiserror::Error)]
pub enum JournalError {
    /// The live records leave no space for another message.
    #[error("the journal is full")]
    Full,
    /// This write or an earlier one failed.
    #[error("the journal cannot be written: {0}")]
    Failing(#[from] io::Error),
    /// The journal is paused, as another process may be writing to the folder during a hand-over.
    #[error("the journal is paused for a hand-over")]
    Paused,
}

/// Whether the journal may be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WriteState {
    /// The last write succeeded.
    Writable,
    /// The last write failed. Only [`Journal::retry`] tries the storage again.
    Failing,
    /// Nothing is written, because another process may own the folder.
    Paused,
}

/// A queued record of something that has happened.
struct UnwrittenRecord {
    message_id: u64,
    record: JournalRecord,
}

/// The journal of one forwarder.
pub struct Journal {
    log: SegmentLog,
    write_state: WriteState,
    /// The queued records, oldest first. There are at most four for each message, one of each kind: an attempt never ran, the
    /// message may have ended, it is undelivered, it is completed.
    unwritten: VecDeque<UnwrittenRecord>,
}

impl Journal {
    /// Opens the journal in a storage, which may be empty, and restores what is in it.
    ///
    /// `limit` is the size limit of the folder. `read_clocks` is called whenever a segment is read or created. The
    /// checksums of the segments depend on `salt`, which should differ from process to process.
    ///
    /// # Errors
    ///
    /// If the storage cannot list its files, or cannot read a segment and `unreadable` is
    /// [`UnreadableSegmentPolicy::Fail`].
    pub fn open(
        storage: Box<dyn Storage>,
        limit: impl Into<FolderLimit>,
        read_clocks: impl Fn() -> ClockReading + 'static,
        salt: u32,
        unreadable: UnreadableSegmentPolicy,
    ) -> io::Result<(Journal, RestoredJournal)> {
        let mut log = SegmentLog::new(storage, limit.into(), Box::new(read_clocks), salt);
        let restored = log.recover(unreadable)?;
        Ok((Journal { log, write_state: WriteState::Writable, unwritten: VecDeque::new() }, restored))
    }

    /// Sets the size limit of the folder, and compacts the journal if it holds more. If the live records take more than the
    /// limit allows, no message is accepted until enough messages are completed; meanwhile the folder does not grow beyond
    /// what compaction needs.
    pub fn set_limit(&mut self, limit: impl Into<FolderLimit>) {
        self.log.set_limit(limit.into());
        self.shrink_to_limit();
    }

    /// Measures the files in the folder that are no segments, which other programs may have written, and makes room if they
    /// leave too little.
    pub fn measure_other_files(&mut self) {
        self.log.measure_other_files();
        self.shrink_to_limit();
    }

    /// Whether the attempt with this number is recorded for a message, and in flight.
    pub fn is_in_flight(&self, id: u64, number: u32) -> bool {
        self.log.progress(id).is_some_and(|progress| progress.is_in_flight(number))
    }

    /// Whether a further file of this size in bytes fits into the folder.
    pub fn has_space_for_file(&self, bytes: u64) -> bool {
        self.log.fits_without_compaction(bytes)
    }

    /// Compacts the journal if the folder holds more than its limit, as after a start with a lower one. Does nothing while the
    /// journal is paused or failing.
    pub fn shrink_to_limit(&mut self) {
        if self.write_state == WriteState::Writable {
            // If the folder still holds too much, the next record continues.
            let _ = self.log.make_room(0);
        }
    }

    /// The size of the folder in bytes, each file rounded up to whole disk blocks.
    pub fn disk_bytes(&self) -> u64 {
        self.log.disk_bytes()
    }

    /// Whether the last write failed. No message may be accepted then, and no attempt started.
    pub fn is_failing(&self) -> bool {
        self.write_state == WriteState::Failing
    }

    /// Whether the journal is paused, because another process may be writing to the folder.
    pub fn is_paused(&self) -> bool {
        self.write_state == WriteState::Paused
    }

    /// The number of queued records.
    pub fn unwritten_records(&self) -> usize {
        self.unwritten.len()
    }

    /// Records a message before it is accepted.
    ///
    /// # Errors
    ///
    /// If there is no space for it, or the journal is failing or paused. The message must not be accepted then.
    pub fn record_received(&mut self, id: u64, message: &JournaledMessage) -> Result<(), JournalError> {
        let record = EncodedRecord::new(id, &JournalRecord::Received(Box::new(message.clone())));
        self.prepare_append()?;
        if !self.log.make_room_for_message(record.size()) {
            return Err(JournalError::Full);
        }
        let location = self.append_record(record)?;
        self.log.insert_live(id, location, message.progress.clone());
        Ok(())
    }

    /// Records an attempt before it is sent to its endpoint. Attempts are numbered from 0. Does nothing for a message
    /// that the journal does not hold.
    ///
    /// # Errors
    ///
    /// If the journal is failing or paused. The attempt must not be sent then.
    pub fn record_attempt(&mut self, id: u64, number: u32, start: AttemptStart) -> Result<(), JournalError> {
        if !self.log.contains(id) {
            return Ok(());
        }
        let step = ProgressStep::AttemptStarted { number, start: Some(start) };
        self.append(id, &JournalRecord::Progressed(step.clone()), RecordPurpose::Start)?;
        self.log.apply(id, &step);
        Ok(())
    }

    /// Records that an attempt never ran. Does nothing unless it is the last attempt that was recorded for the message,
    /// and in flight. The record is queued if it cannot be written now.
    pub fn record_never_ran(&mut self, id: u64, number: u32) {
        if self.is_in_flight(id, number) {
            self.record_event(id, JournalRecord::Progressed(ProgressStep::AttemptNeverRan));
        }
    }

    /// Records that a response to an attempt says that its message has ended, although it may be a copy of an earlier one. Does
    /// nothing unless it is the last attempt that was recorded for the message, and in flight. The record is queued if it
    /// cannot be written now.
    pub fn record_may_have_ended(&mut self, id: u64, number: u32) {
        let is_new = |progress: &Progress| progress.is_in_flight(number) && !progress.may_have_ended;
        if self.log.progress(id).is_some_and(is_new) {
            self.record_event(id, JournalRecord::Progressed(ProgressStep::MayHaveEnded));
        }
    }

    /// Records that a message is undelivered, and how it ended. The message stays in the journal until the platform has
    /// confirmed its delivery report. The record is queued if it cannot be written now. Does nothing for a message that the
    /// journal does not hold.
    pub fn record_undelivered(&mut self, id: u64, end: ReportedEnd) {
        if self.log.contains(id) {
            self.record_event(id, JournalRecord::Progressed(ProgressStep::Ended(end)));
        }
    }

    /// Records that a message is complete, so that nothing more is to be done for it. The record is queued if it cannot be
    /// written now.
    pub fn record_completed(&mut self, id: u64) {
        if self.log.mark_completed(id) {
            // Other queued records of the message are no longer needed.
            self.unwritten.retain(|unwritten| unwritten.message_id != id);
            self.record_event(id, JournalRecord::Completed);
        }
    }

    /// Records that a message is complete before its client gets the reply. Unlike [`Journal::record_completed`], this
    /// queues nothing.
    ///
    /// # Errors
    ///
    /// If the journal is failing or paused. Nothing is recorded then, and a restart restores the message as open.
    pub fn try_record_completed(&mut self, id: u64) -> Result<(), JournalError> {
        if self.log.contains(id) {
            self.append(id, &JournalRecord::Completed, RecordPurpose::Event)?;
            self.log.remove_live(id);
        }
        Ok(())
    }

    /// Whether it is queued and not written yet that a message is undelivered or completed. A restart would restore the
    /// message as open, and could send it again.
    pub fn has_unwritten_outcome(&self, id: u64) -> bool {
        self.unwritten.iter().any(|unwritten| unwritten.message_id == id && unwritten.record.is_end())
    }

    /// Records something that has already happened; the record is queued if it cannot be written now.
    fn record_event(&mut self, message_id: u64, record: JournalRecord) {
        if let JournalRecord::Progressed(step) = &record {
            self.log.apply(message_id, step);
        }
        self.unwritten.push_back(UnwrittenRecord { message_id, record });
        if self.write_state == WriteState::Writable {
            // An error sets `write_state`, and a later retry writes what stays in the queue.
            let _ = self.write_unwritten();
        }
    }

    /// Tries to write the queued records. If there are none and the journal is failing, tries to write a probe.
    ///
    /// # Errors
    ///
    /// If the journal is paused or still fails.
    pub fn retry(&mut self) -> Result<(), JournalError> {
        if self.is_paused() {
            return Err(JournalError::Paused);
        }
        self.write_unwritten()?;
        if self.is_failing() {
            self.write(0, &JournalRecord::Probe, RecordPurpose::Event)?;
        }
        Ok(())
    }

    /// Writes the queued records, then pauses the journal: another process may own the folder from now on.
    ///
    /// # Errors
    ///
    /// If a record cannot be written, or the journal is already paused. The journal is not paused by this call then.
    pub fn pause(&mut self) -> Result<(), JournalError> {
        self.retry()?;
        self.write_state = WriteState::Paused;
        self.log.close_newest_segment();
        Ok(())
    }

    /// Ends a pause. Another process may have read the folder meanwhile, but must not have changed any live record.
    pub fn resume(&mut self) {
        if self.is_paused() {
            self.write_state = WriteState::Writable;
        }
        // An error sets `write_state`, and a later retry writes what stays in the queue.
        let _ = self.retry();
    }

    /// Writes the queued records, then `record`.
    fn append(
        &mut self,
        id: u64,
        record: &JournalRecord,
        purpose: RecordPurpose,
    ) -> Result<RecordLocation, JournalError> {
        self.prepare_append()?;
        Ok(self.write(id, record, purpose)?)
    }

    /// Writes the queued records, so that another one can follow them.
    fn prepare_append(&mut self) -> Result<(), JournalError> {
        match self.write_state {
            WriteState::Paused => return Err(JournalError::Paused),
            // Only `retry` tries the storage again; otherwise each new message would try it.
            WriteState::Failing => return Err(io::Error::other("an earlier write failed").into()),
            WriteState::Writable => {}
        }
        Ok(self.write_unwritten()?)
    }

    fn write_unwritten(&mut self) -> io::Result<()> {
        while let Some(unwritten) = self.unwritten.pop_front() {
            if let Err(error) = self.write(unwritten.message_id, &unwritten.record, RecordPurpose::Event) {
                self.unwritten.push_front(unwritten);
                return Err(error);
            }
            if unwritten.record == JournalRecord::Completed {
                self.log.remove_live(unwritten.message_id);
            }
        }
        Ok(())
    }

    fn write(
        &mut self,
        id: u64,
        record: &JournalRecord,
        purpose: RecordPurpose,
    ) -> io::Result<RecordLocation> {
        let record = EncodedRecord::new(id, record);
        if let Err(error) = self.log.make_room_for_record(record.size(), purpose) {
            self.write_state = WriteState::Failing;
            return Err(error);
        }
        self.append_record(record)
    }

    fn append_record(&mut self, record: EncodedRecord) -> io::Result<RecordLocation> {
        let appended = self.log.append(record);
        self.write_state = if appended.is_ok() { WriteState::Writable } else { WriteState::Failing };
        appended
    }
}
