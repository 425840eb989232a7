//! What the journal's records say. Times are on the clock of the process that wrote the segment.

/// A message as it is journaled. Classes and tenants are kept by name, as settings may change between starts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct JournaledMessage {
    /// The client's id of it.
    pub request_id: String,
    /// Its idempotency key.
    pub key: Option<String>,
    /// The name of its class.
    pub class: String,
    /// The name of its tenant.
    pub tenant: Option<String>,
    /// The number of its destination.
    pub destination: u64,
    /// Up to when it may be delivered, in microseconds of the program's clock.
    pub deadline: u64,
    /// What is forwarded.
    pub body: Vec<u8>,
    /// What became of it so far.
    pub progress: Progress,
}

/// What became of a message so far.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Progress {
    /// Attempts started.
    pub attempts: u32,
    /// An attempt may have run that is not in flight any more.
    pub earlier_attempt_may_have_run: bool,
    /// An attempt is in flight.
    pub attempt_in_flight: bool,
    /// The first attempt that may have run, where that is known: it bounds where and for how long repeats are dropped.
    pub first_attempt: Option<AttemptStart>,
    /// What is to be reported to the platform of its end, where the platform has not confirmed that yet.
    pub report: Option<ReportedEnd>,
}

impl Progress {
    /// An attempt was started, and it is not known that it never ran.
    pub fn may_have_run(&self) -> bool {
        self.earlier_attempt_may_have_run || self.attempt_in_flight
    }

    /// Applies a step.
    pub fn apply(&mut self, step: &ProgressStep) {
        match step {
            ProgressStep::AttemptStarted { number, start } => {
                self.attempts = self.attempts.max(number.saturating_add(1));
                if !self.may_have_run() {
                    self.first_attempt = start.clone();
                }
                // The one in flight until now may have run, as it was never recorded that it did not.
                self.earlier_attempt_may_have_run |= self.attempt_in_flight;
                self.attempt_in_flight = true;
            }
            ProgressStep::AttemptNeverRan => {
                self.attempt_in_flight = false;
                if !self.earlier_attempt_may_have_run {
                    self.first_attempt = None;
                }
            }
            ProgressStep::Ended(end) => self.report = Some(*end),
        }
    }
}

/// When and where an attempt started. The zone is kept by name, as settings may change between starts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptStart {
    /// In microseconds of the program's clock.
    pub started_at: u64,
    /// The name of its endpoint's zone.
    pub zone: String,
}

/// How a message ended that was not delivered, as it is reported to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportedEnd {
    /// It failed.
    Failed,
    /// Its client may send it again, after so many milliseconds if that is known.
    Returned(Option<u64>),
}

/// A step in the progress of a message.
#[derive(Clone, Debug, PartialEq)]
pub enum ProgressStep {
    /// An attempt is about to be sent.
    AttemptStarted {
        /// Its number, from 0.
        number: u32,
        /// When and where it started; older releases did not record that.
        start: Option<AttemptStart>,
    },
    /// The attempt in flight never ran.
    AttemptNeverRan,
    /// The message has ended, and that is to be reported to the platform.
    Ended(ReportedEnd),
}

/// What a record says of a message.
#[derive(Clone, Debug, PartialEq)]
pub enum JournalRecord {
    /// It is accepted.
    Received(Box<JournaledMessage>),
    /// It has progressed.
    Progressed(ProgressStep),
    /// Nothing more is to be done for it.
    Completed,
    /// Nothing at all: written to find out whether the journal can be written.
    Probe,
}

impl JournalRecord {
    /// Whether nothing is sent for a message any more that has this record.
    pub fn is_end(&self) -> bool {
        matches!(self, JournalRecord::Progressed(ProgressStep::Ended(_)) | JournalRecord::Completed)
    }

    /// Shifts all times in it by so many microseconds, but not below the start of the clock.
    pub fn shift_times(&mut self, shift_us: i64) {
        let shift = |time: &mut u64| *time = time.saturating_add_signed(shift_us);
        match self {
            JournalRecord::Received(message) => {
                shift(&mut message.deadline);
                if let Some(first) = &mut message.progress.first_attempt {
                    shift(&mut first.started_at);
                }
            }
            JournalRecord::Progressed(ProgressStep::AttemptStarted { start: Some(start), .. }) => {
                shift(&mut start.started_at);
            }
            JournalRecord::Progressed(_) | JournalRecord::Completed | JournalRecord::Probe => {}
        }
    }
}
