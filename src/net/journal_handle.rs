//! The journal as the actors use it, and the task that tries again while it cannot be written.
//!
//! While it fails, what is held waits and what comes is refused; what has happened already is owed and written first. The
//! service comes back by itself.

use crate::journal::{AttemptStart, Journal, JournalError, JournaledMessage, ReportedEnd};
use crate::net::runtime::latch::Latch;
use crate::MessageId;
use std::cell::RefCell;

/// The journal of this process.
pub struct JournalHandle {
    journal: RefCell<Journal>,
    failing: Latch,
}

impl JournalHandle {
    /// Keeps a journal.
    pub fn new(journal: Journal) -> Self {
        let keeper = JournalHandle { journal: RefCell::new(journal), failing: Latch::default() };
        keeper.with(|_| ());
        keeper
    }

    fn with<T>(&self, use_it: impl FnOnce(&mut Journal) -> T) -> T {
        let mut journal = self.journal.borrow_mut();
        let result = use_it(&mut journal);
        if journal.is_failing() {
            self.failing.set();
        }
        result
    }

    /// Something may be begun that must be written first.
    pub fn is_writable(&self) -> bool {
        !self.journal.borrow().is_failing()
    }

    /// Another process may own the folder: see [`Journal::is_paused`].
    pub fn is_paused(&self) -> bool {
        self.journal.borrow().is_paused()
    }

    /// See [`Journal::take`].
    pub fn take(&self, id: MessageId, message: &JournaledMessage) -> Result<(), JournalError> {
        self.with(|journal| journal.take(id.0, message))
    }

    /// See [`Journal::attempt`].
    pub fn attempt(&self, id: MessageId, number: u32, start: AttemptStart) -> Result<(), JournalError> {
        self.with(|journal| journal.attempt(id.0, number, start))
    }

    /// See [`Journal::never_ran`].
    pub fn never_ran(&self, id: MessageId, number: u32) {
        self.with(|journal| journal.never_ran(id.0, number));
    }

    /// See [`Journal::report`].
    pub fn report(&self, id: MessageId, end: ReportedEnd) {
        self.with(|journal| journal.report(id.0, end));
    }

    /// See [`Journal::end`].
    pub fn end(&self, id: MessageId) {
        self.with(|journal| journal.end(id.0));
    }

    /// See [`Journal::set_limit`].
    pub fn set_limit(&self, limit: u64) {
        self.with(|journal| journal.set_limit(limit));
    }

    /// See [`Journal::pause`].
    pub fn pause(&self) -> Result<(), JournalError> {
        self.with(Journal::pause)
    }

    /// See [`Journal::resume`].
    pub fn resume(&self) {
        self.with(Journal::resume);
    }

    /// See [`Journal::retry`].
    pub fn retry(&self) -> Result<(), JournalError> {
        self.with(Journal::retry)
    }

    /// Returns once the journal cannot be written.
    pub async fn until_failing(&self) {
        self.failing.wait().await;
    }

    /// The journal was written again.
    pub fn clear_failing(&self) {
        self.failing.clear();
    }

    /// Bytes that the folder holds, and what has happened and is not written yet.
    pub fn sizes(&self) -> (u64, usize) {
        let journal = self.journal.borrow();
        (journal.disk(), journal.owed())
    }
}
