//! The journal as the actors use it, and the task that tries again while it cannot be written.
//!
//! While it fails, what is held waits and what comes is refused; what has happened already is owed and written first. The
//! service comes back by itself.

use crate::journal::{AttemptStart, Journal, JournalError, JournaledMessage, ReportedEnd};
use crate::net::messages::DeliveryMessage;
use crate::net::runtime::latch::Latch;
use crate::net::Context;
use crate::MessageId;
use async_io::Timer;
use slog::{info, warn};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The first and the longest pause between two tries: a storage that is full for a moment is soon used again, and one that
/// stays so is not kept busy.
const RETRY: (Duration, Duration) = (Duration::from_millis(10), Duration::from_millis(100));

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

    /// Bytes that the folder holds, and what has happened and is not written yet.
    pub fn sizes(&self) -> (u64, usize) {
        let journal = self.journal.borrow();
        (journal.disk(), journal.owed())
    }
}

/// Tries again whenever the journal could not be written, for as long as the process runs.
pub async fn run(context: Rc<Context>) {
    let keeper = &context.journal;
    loop {
        keeper.failing.wait().await;
        let since = Instant::now();
        context.counters.journal_failures.add();
        warn!(context.log, "the journal cannot be written, nothing is taken on and no attempt begins";
            "reason" => "journal", "open" => context.open_messages.get());
        let mut pause = RETRY.0;
        loop {
            Timer::after(pause).await;
            match keeper.retry() {
                Ok(()) | Err(JournalError::HandedOver) => break,
                Err(_) => pause = (2 * pause).min(RETRY.1),
            }
        }
        keeper.failing.clear();
        info!(context.log, "the journal can be written again"; "ms" => since.elapsed().as_millis() as u64);
        let _ = context.delivery.send(DeliveryMessage::JournalWritable).await;
    }
}
