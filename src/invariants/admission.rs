//! The check whether a message that was received from a client may be admitted.

/// The facts on which the admission of a message depends.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionFacts {
    /// Whether the program makes no more decisions, because it is shutting down or its successor has taken over.
    pub draining: bool,
    /// Whether an open message has the same id.
    pub id_in_use: bool,
    /// The number of open messages whose attempt in flight, if any, was not answered yet.
    pub open_messages: usize,
    /// The number of messages that may be open at once.
    pub max_open_messages: usize,
    /// Whether the journal can be written.
    pub journal_writable: bool,
}

/// Why a message is not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rejection {
    /// Another open message has the same id. It must not be replaced, and one end must not be reported for both.
    IdInUse,
    /// The program is shutting down, or its successor has taken over.
    Draining,
    /// The number of open messages is at its limit.
    TooManyOpenMessages,
    /// The journal cannot be written.
    JournalFailing,
    /// The journal has no space for the message.
    JournalFull,
    /// The memory budget has no space for the message.
    MemoryFull,
    /// The endpoint list has not contained its destination recently.
    UnknownDestination,
    /// Its client has closed its side of the connection, and may be gone.
    ClientGone,
    /// The policy rejected it on arrival.
    Policy,
}

impl Rejection {
    /// The name of the reason in logs and counters.
    pub fn name(self) -> &'static str {
        match self {
            Rejection::IdInUse => "id-in-use",
            Rejection::Draining => "closing",
            Rejection::TooManyOpenMessages => "too-many-open",
            Rejection::JournalFailing => "journal",
            Rejection::JournalFull => "journal-full",
            Rejection::MemoryFull => "memory-full",
            Rejection::UnknownDestination => "unknown-destination",
            Rejection::ClientGone => "client-gone",
            Rejection::Policy => "policy",
        }
    }
}

/// Checks whether a message may be admitted. It is called before the message is journaled.
///
/// # Errors
///
/// The first reason to reject the message, in the order of the checks.
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
