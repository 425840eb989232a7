//! The actors' access to the journal, and whether the journal can be written.
//!
//! While the journal is failing, open messages wait and new ones are rejected. Records of events that have already
//! happened are queued, and written first once the journal can be written again.

use crate::journal::{AttemptStart, FolderLimit, Journal, JournalError, JournaledMessage, ReportedEnd};
use crate::net::call::AttemptId;
use crate::net::runtime::latch::Latch;
use crate::MessageId;
use std::cell::RefCell;

/// The size of the journal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JournalUsage {
    /// The size of the folder, in bytes.
    pub disk_bytes: u64,
    /// The number of queued records of events that have happened and could not be written yet.
    pub unwritten_records: usize,
}

/// The journal of this process.
pub struct JournalHandle {
    journal: RefCell<Journal>,
    /// Set when a write fails; cleared once the journal was written again.
    failing: Latch,
}

impl JournalHandle {
    /// Creates the handle to an opened journal.
    pub fn new(journal: Journal) -> Self {
        let handle = JournalHandle { journal: RefCell::new(journal), failing: Latch::default() };
        handle.update_failing();
        handle
    }

    fn update_failing(&self) {
        if self.journal.borrow().is_failing() {
            self.failing.set();
        }
    }

    fn with_journal<T>(&self, operation: impl FnOnce(&mut Journal) -> T) -> T {
        let result = operation(&mut self.journal.borrow_mut());
        self.update_failing();
        result
    }

    /// Whether the journal is not failing, so that messages may be accepted and attempts sent.
    pub fn is_writable(&self) -> bool {
        !self.journal.borrow().is_failing()
    }

    /// Whether writing is paused as another process may own the folder: see [`Journal::is_paused`].
    pub fn is_paused(&self) -> bool {
        self.journal.borrow().is_paused()
    }

    /// Records a message that is about to be accepted; see [`Journal::record_received`].
    ///
    /// # Errors
    ///
    /// Returns an error if the journal has no space, is failing or is paused.
    pub fn record_received(&self, id: MessageId, message: &JournaledMessage) -> Result<(), JournalError> {
        self.with_journal(|journal| journal.record_received(id.0, message))
    }

    /// Records an attempt that is about to be sent; see [`Journal::record_attempt`].
    ///
    /// # Errors
    ///
    /// Returns an error if the journal is failing or paused.
    pub fn record_attempt(
        &self,
        id: MessageId,
        number: u32,
        start: AttemptStart,
    ) -> Result<(), JournalError> {
        self.with_journal(|journal| journal.record_attempt(id.0, number, start))
    }

    /// Records that an attempt never ran; see [`Journal::record_never_ran`].
    pub fn record_never_ran(&self, id: MessageId, number: u32) {
        self.with_journal(|journal| journal.record_never_ran(id.0, number));
    }

    /// Records that a response may have ended a message; see [`Journal::record_may_have_ended`].
    pub fn record_may_have_ended(&self, id: MessageId, number: u32) {
        self.with_journal(|journal| journal.record_may_have_ended(id.0, number));
    }

    /// Records how a message ended, which is still to be reported to the platform; see [`Journal::record_undelivered`].
    pub fn record_undelivered(&self, id: MessageId, end: ReportedEnd) {
        self.with_journal(|journal| journal.record_undelivered(id.0, end));
    }

    /// Records that nothing more is to be done for a message; see [`Journal::record_completed`].
    pub fn record_completed(&self, id: MessageId) {
        self.with_journal(|journal| journal.record_completed(id.0));
    }

    /// Records that a message is complete before the reply to its client; see [`Journal::try_record_completed`].
    ///
    /// # Errors
    ///
    /// Returns an error if the journal is failing or paused; nothing is recorded then.
    pub fn try_record_completed(&self, id: MessageId) -> Result<(), JournalError> {
        self.with_journal(|journal| journal.try_record_completed(id.0))
    }

    /// Whether the record of how a message ended still waits to be written; see [`Journal::has_unwritten_outcome`].
    pub fn has_unwritten_outcome(&self, id: MessageId) -> bool {
        self.journal.borrow().has_unwritten_outcome(id.0)
    }

    /// Sets the size limit of the state folder; see [`Journal::set_limit`].
    pub fn set_limit(&self, limit: FolderLimit) {
        self.with_journal(|journal| journal.set_limit(limit));
    }

    /// Measures the files of other programs in the folder; see [`Journal::measure_other_files`].
    pub fn measure_other_files(&self) {
        self.with_journal(Journal::measure_other_files);
    }

    /// Whether an attempt is recorded and in flight; see [`Journal::is_in_flight`].
    pub fn is_in_flight(&self, attempt: AttemptId) -> bool {
        self.journal.borrow().is_in_flight(attempt.message.0, attempt.number)
    }

    /// Whether another file fits into the state folder; see [`Journal::has_space_for_file`].
    pub fn has_space_for_file(&self, bytes: u64) -> bool {
        self.journal.borrow().has_space_for_file(bytes)
    }

    /// Compacts the journal if the folder holds more than its limit; see [`Journal::shrink_to_limit`].
    pub fn shrink_to_limit(&self) {
        self.with_journal(Journal::shrink_to_limit);
    }

    /// Pauses writing before another process may own the folder; see [`Journal::pause`].
    ///
    /// # Errors
    ///
    /// Returns an error if a queued record cannot be written; writing is not paused then.
    pub fn pause(&self) -> Result<(), JournalError> {
        self.with_journal(Journal::pause)
    }

    /// Resumes writing after a pause; see [`Journal::resume`].
    pub fn resume(&self) {
        self.with_journal(Journal::resume);
    }

    /// Tries again to write the queued records; see [`Journal::retry`].
    ///
    /// # Errors
    ///
    /// Returns an error if the journal is paused or still failing.
    pub fn retry(&self) -> Result<(), JournalError> {
        self.with_journal(Journal::retry)
    }

    /// Returns once a write to the journal has failed.
    pub async fn until_failing(&self) {
        self.failing.wait().await;
    }

    /// Records that the journal could be written again.
    pub fn clear_failing(&self) {
        self.failing.clear();
    }

    /// The current size of the journal.
    pub fn usage(&self) -> JournalUsage {
        let journal = self.journal.borrow();
        JournalUsage { disk_bytes: journal.disk_bytes(), unwritten_records: journal.unwritten_records() }
    }
}
