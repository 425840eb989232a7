//! The records of the journal. Their times are on the monotonic clock of the process that wrote the segment, until
//! [`JournalRecord::shift_times`] converts them.

/// A message as the journal stores it. Class and tenant are stored by name, because settings may change between starts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct JournaledMessage {
    /// The id that its client gave it.
    pub request_id: String,
    /// Its idempotency key; `None` if its client gave none.
    pub key: Option<String>,
    /// The name of its class.
    pub class: String,
    /// The name of its tenant; `None` if its client named none.
    pub tenant: Option<String>,
    /// The number of its destination.
    pub destination: u64,
    /// The latest time at which it may be delivered, in microseconds of the program's clock.
    pub deadline: u64,
    /// The body that is forwarded to an endpoint.
    pub body: Vec<u8>,
    /// Its attempts and its end so far.
    pub progress: Progress,
}

/// The attempts and the end of a message so far.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Progress {
    /// The number of attempts started.
    pub attempts: u32,
    /// Whether an attempt of this forwarder that is not in flight may have run.
    pub earlier_attempt_may_have_run: bool,
    /// Whether an attempt is in flight.
    pub attempt_in_flight: bool,
    /// Whether a response to the attempt in flight says that the message has ended. It may be a copy of an earlier response, so
    /// that the end is not confirmed, but the message must not be sent again.
    pub may_have_ended: bool,
    /// The first attempt of this forwarder that may have run. Its zone and its start determine where and for how long repeats
    /// are dropped. `None` if no attempt may have run, or if its start is not known.
    pub first_possible_effect: Option<AttemptStart>,
    /// An attempt at an unknown endpoint that may have run, in addition to `first_possible_effect`; `None` if there is none.
    pub unknown_attempt: Option<UnknownAttempt>,
    /// How the message ended, until the platform has confirmed the delivery report. `None` while it is open, and after the
    /// confirmation.
    pub report: Option<ReportedEnd>,
}

impl Progress {
    /// Whether the message may have run: an attempt was started, and it is not known that it never ran.
    pub fn may_have_run(&self) -> bool {
        self.earlier_attempt_may_have_run || self.attempt_in_flight || self.unknown_attempt.is_some()
    }

    /// The attempt at an unknown endpoint that may have run: another forwarder made it, or an older release journaled it
    /// without its start. `None` if there is none.
    pub fn unknown_attempt(&self) -> Option<UnknownAttempt> {
        let has_unknown_start = self.may_have_run() && self.first_possible_effect.is_none();
        self.unknown_attempt.or(has_unknown_start.then_some(UnknownAttempt::default()))
    }

    /// Whether `first_possible_effect` is the attempt in flight.
    pub fn is_first_possible_effect_in_flight(&self) -> bool {
        self.attempt_in_flight && !self.earlier_attempt_may_have_run
    }

    /// Whether the attempt with this number, counted from 0, is in flight.
    pub fn is_in_flight(&self, number: u32) -> bool {
        self.attempt_in_flight && self.attempts == number.saturating_add(1)
    }

    /// Updates the progress by one recorded step.
    pub fn apply(&mut self, step: &ProgressStep) {
        match step {
            ProgressStep::AttemptStarted { number, start } => {
                self.attempts = self.attempts.max(number.saturating_add(1));
                // No record says that the attempt in flight until now never ran, so it may have run.
                self.earlier_attempt_may_have_run |= self.attempt_in_flight;
                self.attempt_in_flight = true;
                self.may_have_ended = false;
                if self.first_possible_effect.is_none() {
                    self.set_first_possible_effect(start.clone());
                }
            }
            ProgressStep::AttemptNeverRan => {
                if self.is_first_possible_effect_in_flight() {
                    self.first_possible_effect = None;
                }
                self.attempt_in_flight = false;
                self.may_have_ended = false;
            }
            ProgressStep::MayHaveEnded => self.may_have_ended = true,
            ProgressStep::Ended(end) => self.report = Some(*end),
        }
    }

    /// Sets the start of the attempt in flight as that of the first attempt that may have run. An earlier attempt may have
    /// run too, but its start is not known.
    fn set_first_possible_effect(&mut self, start: Option<AttemptStart>) {
        if start.is_none() {
            return;
        }
        self.first_possible_effect = start;
        if std::mem::take(&mut self.earlier_attempt_may_have_run) {
            self.unknown_attempt.get_or_insert_default();
        }
    }
}

/// An attempt at an unknown endpoint that may have run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UnknownAttempt {
    /// The earliest time at which it may have started, in microseconds of the program's clock; `None` if that is not known.
    pub earliest_start: Option<u64>,
}

/// When and where an attempt started. The zone is stored by name, because settings may change between starts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptStart {
    /// Its start, in microseconds of the program's clock.
    pub started_at: u64,
    /// The name of the endpoint's zone.
    pub zone: String,
}

/// How an undelivered message ended, as reported to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportedEnd {
    /// The message failed; it may or may not have taken effect.
    Failed,
    /// The message was returned: its client may send it again, after this many milliseconds if a delay is known.
    Returned(Option<u64>),
}

/// A change in the progress of a message.
#[derive(Clone, Debug, PartialEq)]
pub enum ProgressStep {
    /// An attempt is about to be sent.
    AttemptStarted {
        /// Its number, from 0.
        number: u32,
        /// When and where it started; `None` in records of older releases.
        start: Option<AttemptStart>,
    },
    /// The attempt in flight never ran.
    AttemptNeverRan,
    /// A response to the attempt in flight says that the message has ended, but it may be a copy of an earlier one.
    MayHaveEnded,
    /// The message ended undelivered, which is to be reported to the platform.
    Ended(ReportedEnd),
}

/// A record of the journal. Each but the probe belongs to one message.
#[derive(Clone, Debug, PartialEq)]
pub enum JournalRecord {
    /// The receipt record, which holds the whole message.
    Received(Box<JournaledMessage>),
    /// A change in the progress of the message, such as the start of an attempt.
    Progressed(ProgressStep),
    /// The message is complete: nothing more is to be done for it.
    Completed,
    /// An empty record, written to find out whether the journal can be written.
    Probe,
}

impl JournalRecord {
    /// Whether the record ends its message: no attempt is sent after it.
    pub fn is_end(&self) -> bool {
        matches!(self, JournalRecord::Progressed(ProgressStep::Ended(_)) | JournalRecord::Completed)
    }

    /// Adds `shift_us` microseconds to all times in the record; a time that would be negative becomes 0.
    pub fn shift_times(&mut self, shift_us: i64) {
        let shift = |time: &mut u64| *time = time.saturating_add_signed(shift_us);
        match self {
            JournalRecord::Received(message) => {
                shift(&mut message.deadline);
                if let Some(first) = &mut message.progress.first_possible_effect {
                    shift(&mut first.started_at);
                }
                if let Some(UnknownAttempt { earliest_start: Some(start) }) =
                    &mut message.progress.unknown_attempt
                {
                    shift(start);
                }
            }
            JournalRecord::Progressed(ProgressStep::AttemptStarted { start: Some(start), .. }) => {
                shift(&mut start.started_at);
            }
            JournalRecord::Progressed(_) | JournalRecord::Completed | JournalRecord::Probe => {}
        }
    }
}
