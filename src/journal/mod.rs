//! The journal: every accepted message, its attempts and its completion, in segment files of checksummed records.
//!
//! Segments are only ever removed from the oldest on, after the records in them that are still needed were copied to the
//! newest one; so the record of a completion never goes before the record of the message does. The journal stays under its
//! size limit at any moment, also during compaction.
//!
//! A write that fails leaves the journal *failing*: whatever would start something (an accepted message, an attempt) is
//! rejected, and whatever has happened already (a completion, a report, an attempt that never ran) is queued in memory, in
//! order, until it can be written. Nothing is ever appended behind a record that may be torn. [`Journal::retry`] finds out
//! whether the journal can be written again.
//!
//! | module | concern |
//! |---|---|
//! | [`record`] | what a record says |
//! | [`encoding`] | the bytes of a record |
//! | [`segment`] | one segment file: its header, and reading past damage |
//! | [`storage`] | the trait behind which the files are |
//! | `segment_log` | the segments as one log, and which records in them are still needed |
//! | `recovery` | reading the log at the start |
//! | `compaction` | keeping the log under its limit |
//!
//! The journal does no I/O of its own: see [`storage::Storage`].

mod compaction;
pub mod encoding;
pub mod record;
mod recovery;
pub mod segment;
mod segment_log;
pub mod storage;

pub use record::{AttemptStart, JournaledMessage, Progress, ReportedEnd};
pub use recovery::{RestoredJournal, UnreadableSegmentPolicy};
pub use segment::ClockReading;

use record::{JournalRecord, ProgressStep};
use segment_log::{RecordLocation, SegmentLog};
use std::collections::VecDeque;
use std::io;
use storage::Storage;

/// Why something was not written.
#[derive(Debug, thiserror::Error)]
pub enum JournalError {
    /// The records that are still needed leave no space for another message.
    #[error("the journal has no room")]
    Full,
    /// The storage fails.
    #[error("the journal cannot be written: {0}")]
    Failing(#[from] io::Error),
    /// Another process may be writing to the folder.
    #[error("the folder is being handed over")]
    HandedOver,
}

/// Whether the journal may be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WriteState {
    /// The last write succeeded.
    Writable,
    /// The last write failed; only a retry tries the storage again.
    Failing,
    /// Another process may own the folder.
    Paused,
}

/// A record of something that has happened and that is not written yet.
struct UnwrittenRecord {
    message_id: u64,
    record: JournalRecord,
}

/// The journal of one forwarder.
pub struct Journal {
    log: SegmentLog,
    write_state: WriteState,
    /// At most three for each message that is not completed.
    unwritten: VecDeque<UnwrittenRecord>,
}

impl Journal {
    /// Opens a journal, which may be empty, to stay under a limit in bytes. The clocks are read as each segment is created;
    /// the salt, from which the checksums of the segments are derived, should be new with each process.
    ///
    /// # Errors
    ///
    /// If the storage cannot list its files, or cannot read a segment and `unreadable` says to fail then.
    pub fn open(
        storage: Box<dyn Storage>,
        limit: u64,
        read_clocks: impl Fn() -> ClockReading + 'static,
        salt: u32,
        unreadable: UnreadableSegmentPolicy,
    ) -> io::Result<(Journal, RestoredJournal)> {
        let mut log = SegmentLog::new(storage, limit, Box::new(read_clocks), salt);
        let restored = log.recover(unreadable)?;
        Ok((Journal { log, write_state: WriteState::Writable, unwritten: VecDeque::new() }, restored))
    }

    /// Sets the limit in bytes. Under a lower one than the records that are still needed, no message is accepted until enough
    /// have completed.
    pub fn set_limit(&mut self, limit: u64) {
        self.log.set_limit(limit);
    }

    /// The size of the folder in bytes, each file rounded up to whole disk blocks.
    pub fn disk_bytes(&self) -> u64 {
        self.log.disk_bytes()
    }

    /// The last write failed: nothing is to be started.
    pub fn is_failing(&self) -> bool {
        self.write_state == WriteState::Failing
    }

    /// Another process may be writing.
    pub fn is_paused(&self) -> bool {
        self.write_state == WriteState::Paused
    }

    /// How many records of what has happened are not written yet.
    pub fn unwritten_records(&self) -> usize {
        self.unwritten.len()
    }

    /// Records a message that is about to be accepted.
    ///
    /// # Errors
    ///
    /// If there is no space for it, or the journal is failing or paused; the message must not be accepted then.
    pub fn record_received(&mut self, id: u64, message: &JournaledMessage) -> Result<(), JournalError> {
        let record = JournalRecord::Received(Box::new(message.clone()));
        if !self.log.has_space_for_message(encoding::encoded_size(id, &record)) {
            return Err(JournalError::Full);
        }
        let location = self.append(id, &record)?;
        self.log.insert_live(id, location, message.progress.clone());
        Ok(())
    }

    /// Records an attempt that is about to be sent to its endpoint; of a message that the journal does not hold, nothing is
    /// recorded.
    ///
    /// # Errors
    ///
    /// If the journal is failing or paused; the attempt must not be sent then.
    pub fn record_attempt(&mut self, id: u64, number: u32, start: AttemptStart) -> Result<(), JournalError> {
        if !self.log.contains(id) {
            return Ok(());
        }
        let step = ProgressStep::AttemptStarted { number, start: Some(start) };
        self.append(id, &JournalRecord::Progressed(step.clone()))?;
        self.log.apply(id, &step);
        Ok(())
    }

    /// Records that an attempt never ran; one that was not recorded before changes nothing.
    pub fn record_never_ran(&mut self, id: u64, number: u32) {
        let is_in_flight = self.log.progress(id).is_some_and(|progress| {
            progress.attempt_in_flight && progress.attempts == number.saturating_add(1)
        });
        if is_in_flight {
            self.record_event(id, JournalRecord::Progressed(ProgressStep::AttemptNeverRan));
        }
    }

    /// Records how a message ended, which the platform is yet to confirm.
    pub fn record_end(&mut self, id: u64, end: ReportedEnd) {
        if self.log.contains(id) {
            self.record_event(id, JournalRecord::Progressed(ProgressStep::Ended(end)));
        }
    }

    /// Records that a message is complete: nothing more is to be done for it.
    pub fn record_completed(&mut self, id: u64) {
        if self.log.mark_completed(id) {
            // What else is unwritten of it is of no use any more.
            self.unwritten.retain(|unwritten| unwritten.message_id != id);
            self.record_event(id, JournalRecord::Completed);
        }
    }

    /// Records that a message is complete before anybody is told.
    ///
    /// # Errors
    ///
    /// If the journal is failing or paused; nothing is recorded then, and a restart finds the message open.
    pub fn try_record_completed(&mut self, id: u64) -> Result<(), JournalError> {
        if self.log.contains(id) {
            self.append(id, &JournalRecord::Completed)?;
            self.log.remove_live(id);
        }
        Ok(())
    }

    /// Whether the end of a message waits to be written: a restart would find the message open.
    pub fn has_unwritten_end(&self, id: u64) -> bool {
        self.unwritten.iter().any(|unwritten| unwritten.message_id == id && unwritten.record.is_end())
    }

    /// Records something that has happened, whether it can be written now or not.
    fn record_event(&mut self, message_id: u64, record: JournalRecord) {
        if let JournalRecord::Progressed(step) = &record {
            self.log.apply(message_id, step);
        }
        self.unwritten.push_back(UnwrittenRecord { message_id, record });
        if self.write_state == WriteState::Writable {
            // A failure is kept in `write_state`, and what remains unwritten is written by a later retry.
            let _ = self.write_unwritten();
        }
    }

    /// Tries again to write what is unwritten, or anything at all.
    ///
    /// # Errors
    ///
    /// If the journal is paused or still fails.
    pub fn retry(&mut self) -> Result<(), JournalError> {
        if self.is_paused() {
            return Err(JournalError::HandedOver);
        }
        self.write_unwritten()?;
        if self.is_failing() {
            self.write(0, &JournalRecord::Probe)?;
        }
        Ok(())
    }

    /// From now on nothing is written: another process may own the folder.
    ///
    /// # Errors
    ///
    /// If something is unwritten that cannot be written; nothing is changed then.
    pub fn pause(&mut self) -> Result<(), JournalError> {
        self.retry()?;
        self.write_state = WriteState::Paused;
        self.log.close_newest_segment();
        Ok(())
    }

    /// Writes again, after another process has read the folder and changed no record that is still needed.
    pub fn resume(&mut self) {
        if self.is_paused() {
            self.write_state = WriteState::Writable;
        }
        // A failure is kept in `write_state`, and what remains unwritten is written by a later retry.
        let _ = self.retry();
    }

    /// Writes what is unwritten, then a record.
    fn append(&mut self, id: u64, record: &JournalRecord) -> Result<RecordLocation, JournalError> {
        match self.write_state {
            WriteState::Paused => return Err(JournalError::HandedOver),
            // Only a retry finds out whether the storage works again, or every new message would try it.
            WriteState::Failing => return Err(io::Error::other("an earlier write failed").into()),
            WriteState::Writable => {}
        }
        self.write_unwritten()?;
        Ok(self.write(id, record)?)
    }

    fn write_unwritten(&mut self) -> io::Result<()> {
        while let Some(unwritten) = self.unwritten.pop_front() {
            if let Err(error) = self.write(unwritten.message_id, &unwritten.record) {
                self.unwritten.push_front(unwritten);
                return Err(error);
            }
            if unwritten.record == JournalRecord::Completed {
                self.log.remove_live(unwritten.message_id);
            }
        }
        Ok(())
    }

    fn write(&mut self, id: u64, record: &JournalRecord) -> io::Result<RecordLocation> {
        let freed = self.log.free_space_for(encoding::encoded_size(id, record));
        let written = freed.and_then(|()| self.log.append(id, record));
        self.write_state = if written.is_ok() { WriteState::Writable } else { WriteState::Failing };
        written
    }
}
