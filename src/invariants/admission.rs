//! Whether a message that a client hands in may be taken on now.

/// What binds the taking on of a message.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionFacts {
    /// The program decides no more.
    pub closed: bool,
    /// A message of the same id is not over yet.
    pub id_in_use: bool,
    /// Messages held, and how many may be.
    pub open: usize,
    /// See above.
    pub max_open: usize,
    /// The journal can be written.
    pub journal_writable: bool,
}

/// Why a message is not taken on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rejection {
    /// Neither may it replace the other of its id, nor may one end be told for both.
    IdInUse,
    /// The program is ending.
    Closing,
    /// As many are held as may be.
    TooManyOpen,
    /// What outlasts the process cannot be written.
    JournalFailing,
    /// The journal has no room.
    JournalFull,
    /// The list has not named its destination of late.
    UnknownDestination,
    /// Its client had ended its sending, and may be gone.
    ClientGone,
    /// The policy refused it at once.
    Policy,
}

impl Rejection {
    /// Its name in logs and counters.
    pub fn name(self) -> &'static str {
        match self {
            Rejection::IdInUse => "id-in-use",
            Rejection::Closing => "closing",
            Rejection::TooManyOpen => "too-many-open",
            Rejection::JournalFailing => "journal",
            Rejection::JournalFull => "journal-full",
            Rejection::UnknownDestination => "unknown-destination",
            Rejection::ClientGone => "client-gone",
            Rejection::Policy => "policy",
        }
    }
}

/// Whether a message may be taken on, before it is written to the journal.
pub fn may_take_on(facts: &AdmissionFacts) -> Result<(), Rejection> {
    if facts.id_in_use {
        return Err(Rejection::IdInUse);
    }
    if facts.closed {
        return Err(Rejection::Closing);
    }
    if facts.open >= facts.max_open {
        return Err(Rejection::TooManyOpen);
    }
    if !facts.journal_writable {
        return Err(Rejection::JournalFailing);
    }
    Ok(())
}
