//! What the journal's records say and how they are written: a length, a CRC-32 and the content. No I/O, and no clock: times
//! are those of the process that wrote the segment.

/// The length and the checksum in front of a record's content, in bytes.
pub const FRAME: usize = 8;
/// The largest content; more is a damaged length.
const LARGEST: usize = 1 << 20;

/// A message as it is kept. Classes and tenants are kept by name, as settings may change between starts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct JournaledMessage {
    /// The client's id of it.
    pub request_id: String,
    /// What marks repeats of it.
    pub key: Option<String>,
    /// Its class.
    pub class: String,
    /// Whose it is.
    pub tenant: Option<String>,
    /// Where it goes.
    pub destination: u64,
    /// Up to when it may be delivered, in microseconds of the program's clock.
    pub deadline: u64,
    /// What is passed on.
    pub body: Vec<u8>,
    /// What became of it so far.
    pub progress: Progress,
}

/// What became of a message so far.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Progress {
    /// Attempts begun.
    pub attempts: u32,
    /// An attempt may have run that is not out any more.
    pub ran: bool,
    /// An attempt is out.
    pub out: bool,
    /// The first attempt that may have run, where that is known: it bounds where and for how long repeats are dropped.
    pub first: Option<AttemptStart>,
    /// What the platform is to be told of its end, where it has not confirmed that yet.
    pub report: Option<ReportedEnd>,
}

impl Progress {
    /// An attempt was begun of which no end is known that says it never ran.
    pub fn may_have_run(&self) -> bool {
        self.ran || self.out
    }

    /// Takes in a step.
    pub fn apply(&mut self, step: &Step) {
        match step {
            Step::Attempt(number, start) => {
                self.attempts = self.attempts.max(number.saturating_add(1));
                if !self.may_have_run() {
                    self.first = start.clone();
                }
                // One that was never told to be back unrun may have run.
                self.ran |= self.out;
                self.out = true;
            }
            Step::NeverRan => {
                self.out = false;
                self.first = self.first.take().filter(|_| self.ran);
            }
            Step::Report(end) => self.report = Some(*end),
        }
    }
}

/// When and where an attempt began. The zone is kept by name, as settings may change between starts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptStart {
    /// In microseconds of the program's clock.
    pub at: u64,
    /// Its endpoint's zone.
    pub zone: String,
}

/// How a message ended that was not delivered, as the platform is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportedEnd {
    /// It failed.
    Failed,
    /// It may come again, after so many milliseconds if that is told.
    Returned(Option<u64>),
}

/// A step on the way of a message.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// An attempt is about to be written: its number, and when and where it began, where that is told.
    Attempt(u32, Option<AttemptStart>),
    /// The attempt that was out never ran.
    NeverRan,
    /// The message has ended and the platform is to be told.
    Report(ReportedEnd),
}

/// What a record says of a message.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// It is taken on.
    Taken(Box<JournaledMessage>),
    /// It has come a step further.
    Step(Step),
    /// Nothing more is owed for it.
    End,
    /// Nothing at all: tells whether the journal can be written.
    Probe,
}

impl Change {
    /// Moves all times that it holds by so many microseconds; what would lie before the clock's beginning is there.
    pub fn shift(&mut self, by: i64) {
        let moved = |at: u64| at.saturating_add_signed(by);
        match self {
            Change::Taken(message) => {
                message.deadline = moved(message.deadline);
                message.progress.first.iter_mut().for_each(|first| first.at = moved(first.at));
            }
            Change::Step(Step::Attempt(_, Some(start))) => start.at = moved(start.at),
            Change::Step(_) | Change::End | Change::Probe => {}
        }
    }
}

const TAKEN: u8 = 1;
const ATTEMPT: u8 = 2;
const NEVER_RAN: u8 = 3;
const REPORT: u8 = 4;
const END: u8 = 5;
const PROBE: u8 = 6;

fn checksum(salt: u32, content: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new_with_initial(salt);
    hasher.update(content);
    hasher.finalize()
}

fn put(to: &mut Vec<u8>, bytes: &[u8]) {
    to.extend_from_slice(&(bytes.len() as u32).to_le_bytes());
    to.extend_from_slice(bytes);
}

fn put_report(to: &mut Vec<u8>, report: Option<ReportedEnd>) {
    let (kind, after) = match report {
        None => (0, 0),
        Some(ReportedEnd::Failed) => (1, 0),
        Some(ReportedEnd::Returned(None)) => (2, 0),
        Some(ReportedEnd::Returned(Some(milliseconds))) => (3, milliseconds),
    };
    to.push(kind);
    to.extend_from_slice(&after.to_le_bytes());
}

fn put_start(to: &mut Vec<u8>, start: &Option<AttemptStart>) {
    if let Some(start) = start {
        to.extend_from_slice(&start.at.to_le_bytes());
        put(to, start.zone.as_bytes());
    }
}

fn put_message(to: &mut Vec<u8>, message: &JournaledMessage) {
    let progress = &message.progress;
    to.extend_from_slice(&message.destination.to_le_bytes());
    to.extend_from_slice(&message.deadline.to_le_bytes());
    to.extend_from_slice(&progress.attempts.to_le_bytes());
    let flags = [
        progress.ran,
        progress.out,
        message.key.is_some(),
        message.tenant.is_some(),
        progress.first.is_some(),
    ];
    to.push(flags.iter().enumerate().map(|(bit, set)| u8::from(*set) << bit).sum());
    put_report(to, progress.report);
    let texts =
        [Some(&message.request_id), Some(&message.class), message.key.as_ref(), message.tenant.as_ref()];
    texts.into_iter().flatten().for_each(|text| put(to, text.as_bytes()));
    put(to, &message.body);
    put_start(to, &progress.first);
}

/// A record, framed; its checksum begins from the segment's salt.
pub fn encode(salt: u32, id: u64, change: &Change) -> Vec<u8> {
    let mut to = vec![0; FRAME];
    to.extend_from_slice(&id.to_le_bytes());
    match change {
        Change::Taken(message) => {
            to.push(TAKEN);
            put_message(&mut to, message);
        }
        Change::Step(Step::Attempt(number, start)) => {
            to.push(ATTEMPT);
            to.extend_from_slice(&number.to_le_bytes());
            put_start(&mut to, start);
        }
        Change::Step(Step::NeverRan) => to.push(NEVER_RAN),
        Change::Step(Step::Report(end)) => {
            to.push(REPORT);
            put_report(&mut to, Some(*end));
        }
        Change::End => to.push(END),
        Change::Probe => to.push(PROBE),
    }
    let length = (to.len() - FRAME) as u32;
    let sum = checksum(salt, &to[FRAME..]);
    to[..4].copy_from_slice(&length.to_le_bytes());
    to[4..FRAME].copy_from_slice(&sum.to_le_bytes());
    to
}

/// Takes values off the front of some bytes.
pub struct Reader<'a>(pub &'a [u8]);

impl<'a> Reader<'a> {
    /// So many bytes.
    pub fn bytes(&mut self, count: usize) -> Option<&'a [u8]> {
        let (front, rest) = self.0.split_at_checked(count)?;
        self.0 = rest;
        Some(front)
    }

    fn byte(&mut self) -> Option<u8> {
        Some(self.bytes(1)?[0])
    }

    /// A little-endian number of four bytes.
    pub fn u32(&mut self) -> Option<u32> {
        Some(u32::from_le_bytes(self.bytes(4)?.try_into().ok()?))
    }

    /// A little-endian number of eight bytes.
    pub fn u64(&mut self) -> Option<u64> {
        Some(u64::from_le_bytes(self.bytes(8)?.try_into().ok()?))
    }

    fn text(&mut self) -> Option<String> {
        let length = self.u32()? as usize;
        String::from_utf8(self.bytes(length)?.to_vec()).ok()
    }

    /// What the record of an older version ends without.
    fn start(&mut self) -> Option<Option<AttemptStart>> {
        if self.0.is_empty() {
            return Some(None);
        }
        Some(Some(AttemptStart { at: self.u64()?, zone: self.text()? }))
    }

    fn report(&mut self) -> Option<Option<ReportedEnd>> {
        let (kind, after) = (self.byte()?, self.u64()?);
        Some(match kind {
            0 => None,
            1 => Some(ReportedEnd::Failed),
            2 => Some(ReportedEnd::Returned(None)),
            3 => Some(ReportedEnd::Returned(Some(after))),
            _ => return None,
        })
    }

    fn message(&mut self) -> Option<JournaledMessage> {
        let (destination, deadline, attempts) = (self.u64()?, self.u64()?, self.u32()?);
        let flags = self.byte()?;
        let set = |bit: u8| flags & 1 << bit != 0;
        let report = self.report()?;
        let (request_id, class) = (self.text()?, self.text()?);
        let key = if set(2) { Some(self.text()?) } else { None };
        let tenant = if set(3) { Some(self.text()?) } else { None };
        let size = self.u32()? as usize;
        let body = self.bytes(size)?.to_vec();
        let progress = Progress { attempts, ran: set(0), out: set(1), first: self.start()?, report };
        Some(JournaledMessage { request_id, key, class, tenant, destination, deadline, body, progress })
    }
}

/// How many bytes of content the record at the start of some bytes claims, if that many are there.
pub fn claimed_length(bytes: &[u8]) -> Option<usize> {
    let length = Reader(bytes).u32()? as usize;
    (length <= LARGEST && FRAME + length <= bytes.len()).then_some(length)
}

/// The record at the start of some bytes with its content's length, if it is whole and undamaged.
pub fn decode(salt: u32, bytes: &[u8]) -> Option<(u64, Change, usize)> {
    let length = claimed_length(bytes)?;
    let mut frame = Reader(bytes);
    let (_, sum) = (frame.u32()?, frame.u32()?);
    let content = frame.bytes(length)?;
    if checksum(salt, content) != sum {
        return None;
    }
    let mut reader = Reader(content);
    let id = reader.u64()?;
    let change = match reader.byte()? {
        TAKEN => Change::Taken(Box::new(reader.message()?)),
        ATTEMPT => Change::Step(Step::Attempt(reader.u32()?, reader.start()?)),
        NEVER_RAN => Change::Step(Step::NeverRan),
        REPORT => Change::Step(Step::Report(reader.report()??)),
        END => Change::End,
        PROBE => Change::Probe,
        _ => return None,
    };
    Some((id, change, length))
}
