//! Whether a message that was received from a client may be admitted now.

/// What the admission of a message depends on.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionFacts {
    /// The program makes no more decisions: it shuts down, or its successor decides.
    pub draining: bool,
    /// An open message has the same id.
    pub id_in_use: bool,
    /// Messages that are open now.
    pub open_messages: usize,
    /// How many messages may be open.
    pub max_open_messages: usize,
    /// The journal can be written.
    pub journal_writable: bool,
}

/// Why a message is not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rejection {
    /// Another open message has its id: neither may it replace that one, nor may one end be reported for both.
    IdInUse,
    /// The program is shutting down.
    Draining,
    /// As many messages are open as may be.
    TooManyOpenMessages,
    /// The journal cannot be written.
    JournalFailing,
    /// The journal has no space.
    JournalFull,
    /// The endpoint list has not named its destination lately.
    UnknownDestination,
    /// Its client has ended its side of the connection, and may be gone.
    ClientGone,
    /// The policy rejected it at once.
    Policy,
}

impl Rejection {
    /// Its name in logs and counters.
    pub fn name(self) -> &'static str {
        match self {
            Rejection::IdInUse => "id-in-use",
            Rejection::Draining => "closing",
            Rejection::TooManyOpenMessages => "too-many-open",
            Rejection::JournalFailing => "journal",
            Rejection::JournalFull => "journal-full",
            Rejection::UnknownDestination => "unknown-destination",
            Rejection::ClientGone => "client-gone",
            Rejection::Policy => "policy",
        }
    }
}

/// Whether a message may be admitted, before it is journaled.
///
/// # Errors
///
/// The first reason against it.
pub fn may_admit(facts: &AdmissionFacts) -> Result<(), Rejection> {
    if facts.id_in_use {
        return Err(Rejection::IdInUse);
    }
    if facts.draining {
        return Err(Rejection::Draining);
    }
    if facts.open_messages >= facts.max_open_messages {
        return Err(Rejection::TooManyOpenMessages);
    }
    if !facts.journal_writable {
        return Err(Rejection::JournalFailing);
    }
    Ok(())
}
