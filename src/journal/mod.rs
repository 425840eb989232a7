//! What outlasts the process: every message taken on, its attempts and its end, in segments of checked records.
//!
//! Segments are only ever given up from the oldest on, after what still lives there was copied to the newest: so the end of a
//! message never goes before its beginning does. The journal stays under its limit at any moment, also while survivors are
//! copied.
//!
//! A write that fails leaves the journal *failing*: what would begin something (a message taken on, an attempt) is refused, and
//! what has happened already (an end, a report, an attempt that never ran) is kept in memory, in order, until it can be
//! written. Nothing is ever appended behind a record that may be torn. [`Journal::retry`] finds out whether it can be written again.
//!
//! No I/O of its own: see [`Storage`].

pub mod record;
pub mod segment;
pub mod storage;

pub use record::{AttemptStart, JournaledMessage, Progress, ReportedEnd};
use record::{Change, Step, FRAME};
pub use segment::Moment;
use std::collections::{BTreeMap, VecDeque};
use std::io;
use storage::Storage;

/// Files count in whole units of this.
const UNIT: u64 = 512;
/// What a message may still need after its body: a dozen attempts, each with its zone and taken back, and an end.
const AFTERWARDS: u64 = 1024;
/// The share of the limit that what lives may take, in hundredths; the rest keeps copying rare.
const LIVE_SHARE: u64 = 70;
/// A segment is a twelfth of the limit: small enough that one can be copied in the room that is kept free.
const SEGMENTS: u64 = 12;
/// Spreads the numbers from which the checksums of segments begin (2^32 over the golden ratio).
const SALT_STEP: u32 = 0x9E37_79B9;

/// Why something was not written.
#[derive(Debug, thiserror::Error)]
pub enum JournalError {
    /// Too much lives in it already.
    #[error("the journal has no room")]
    Full,
    /// The storage fails.
    #[error("the journal cannot be written: {0}")]
    Failing(#[source] io::Error),
    /// Another process may be writing to the folder.
    #[error("the folder is being handed over")]
    HandedOver,
}

/// What to do about a segment that cannot be read at the start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unreadable {
    /// Fail, so that it can be tried again.
    Fail,
    /// Leave it where it is for a later start.
    Keep,
}

struct Live {
    segment: u64,
    size: u64,
    /// Where the record's content starts in its segment.
    at: usize,
    progress: Progress,
    /// Its end is known, and perhaps not yet written.
    ended: bool,
}

/// A file of records. What lives in it is counted, so that nothing is gone through to know it.
#[derive(Default)]
struct Segment {
    number: u64,
    /// What the file may take.
    size: u64,
    live: usize,
    live_size: u64,
    salt: u32,
    /// What must be added to its times.
    shift: i64,
    /// It could not be read, so it must stay, and all behind it.
    pinned: bool,
}

/// The journal of one forwarder.
pub struct Journal {
    storage: Box<dyn Storage>,
    moment: Box<dyn Fn() -> Moment>,
    salt: u32,
    limit: u64,
    segment_size: u64,
    segments: VecDeque<Segment>,
    /// The last segment may be appended to.
    appending: bool,
    next_number: u64,
    live: BTreeMap<u64, Live>,
    live_size: u64,
    /// What other files of the folder take.
    foreign: u64,
    /// What has happened and is not yet written; at most three for each message that lives.
    owed: VecDeque<(u64, Change)>,
    failing: bool,
    paused: bool,
}

/// What a journal held when it was opened.
#[derive(Debug, Default)]
pub struct Restored {
    /// The messages without an end, by id.
    pub messages: Vec<(u64, JournaledMessage)>,
    /// Lines on what could not be read.
    pub damage: Vec<String>,
    /// The highest id ever seen in it.
    pub last_id: u64,
}

fn units(size: u64) -> u64 {
    size.div_ceil(UNIT) * UNIT
}

fn name(number: u64) -> String {
    format!("{number:010}.journal")
}

fn number(name: &str) -> Option<u64> {
    name.strip_suffix(".journal")?.parse().ok()
}

fn failing(error: io::Error) -> JournalError {
    JournalError::Failing(error)
}

impl Journal {
    /// Opens a journal, which may be empty, to stay under a limit in bytes. The moment is asked as each segment is begun; the
    /// salt should be new with each process.
    pub fn open(
        storage: Box<dyn Storage>,
        limit: u64,
        moment: impl Fn() -> Moment + 'static,
        salt: u32,
        unreadable: Unreadable,
    ) -> io::Result<(Journal, Restored)> {
        let mut journal = Journal {
            storage,
            moment: Box::new(moment),
            salt,
            limit: 0,
            segment_size: 0,
            segments: VecDeque::new(),
            appending: false,
            next_number: 1,
            live: BTreeMap::new(),
            live_size: 0,
            foreign: 0,
            owed: VecDeque::new(),
            failing: false,
            paused: false,
        };
        journal.set_limit(limit);
        let restored = journal.recover(unreadable)?;
        Ok((journal, restored))
    }

    /// Sets the limit. Under a lower one than what lives takes, nothing is taken on until enough has ended.
    pub fn set_limit(&mut self, limit: u64) {
        // Some units are kept free for what the folder itself may count.
        self.limit = limit.saturating_sub(4 * UNIT);
        self.segment_size = (limit / SEGMENTS).max(8 * UNIT);
    }

    fn recover(&mut self, unreadable: Unreadable) -> io::Result<Restored> {
        let mut segments = Vec::new();
        for (file, size) in self.storage.list()? {
            match number(&file) {
                Some(number) => segments.push((number, size)),
                None => self.foreign += units(size),
            }
        }
        segments.sort_unstable();
        let mut restored = Restored::default();
        let mut found = BTreeMap::new();
        for (number, size) in segments {
            self.next_number = number + 1;
            let bytes = match self.storage.read(&name(number)) {
                Ok(bytes) => bytes,
                Err(e) if unreadable == Unreadable::Fail => return Err(e),
                Err(e) => {
                    restored.damage.push(format!("segment {number}: it is left for a later start: {e}"));
                    self.segments.push_back(Segment { number, size, pinned: true, ..Segment::default() });
                    continue;
                }
            };
            self.replay(number, &bytes, &mut found, &mut restored);
        }
        // Appending goes to a fresh segment, so nothing is ever written behind what may be torn.
        let storage = &mut self.storage;
        self.segments.retain(|s| s.pinned || s.size > 0 || storage.remove(&name(s.number)).is_err());
        restored.messages = found.into_iter().collect();
        Ok(restored)
    }

    /// Takes in what a segment says.
    fn replay(
        &mut self,
        number: u64,
        bytes: &[u8],
        found: &mut BTreeMap<u64, JournaledMessage>,
        restored: &mut Restored,
    ) {
        let contents = segment::read(bytes, &(self.moment)());
        let (salt, shift) = (contents.salt, contents.shift);
        self.segments.push_back(Segment { number, salt, shift, ..Segment::default() });
        for record in contents.records {
            let id = record.id;
            restored.last_id = restored.last_id.max(id);
            match record.change {
                Change::Taken(message) => {
                    let place = (number, record.at, (FRAME + record.length) as u64);
                    self.enter(id, place, message.progress.clone());
                    found.insert(id, *message);
                }
                Change::Step(step) => {
                    if let Some((live, message)) = self.live.get_mut(&id).zip(found.get_mut(&id)) {
                        live.progress.apply(&step);
                        message.progress = live.progress.clone();
                    }
                }
                Change::End => {
                    self.forget(id);
                    found.remove(&id);
                }
                Change::Probe => {}
            }
        }
        for (at, length) in &contents.damage {
            restored.damage.push(format!("segment {number}: {length} bytes at {at} cannot be read"));
        }
        // A torn tail is cut so that it is told of once; nothing hangs on it.
        let torn = contents.end < bytes.len() && (contents.end > 0 || bytes.len() <= segment::HEAD);
        let cut = torn && self.storage.cut_file(&name(number), contents.end as u64).is_ok();
        let size = if cut { contents.end } else { bytes.len() };
        self.segments.back_mut().expect("just added").size = size as u64;
    }

    fn segment(&mut self, number: u64) -> Option<&mut Segment> {
        let at = self.segments.binary_search_by_key(&number, |s| s.number).ok()?;
        self.segments.get_mut(at)
    }

    fn enter(&mut self, id: u64, (segment, at, size): (u64, usize, u64), progress: Progress) {
        let ended = self.live.get(&id).is_some_and(|live| live.ended);
        self.forget(id);
        self.live_size += size + AFTERWARDS;
        if let Some(segment) = self.segment(segment) {
            segment.live += 1;
            segment.live_size += size;
        }
        self.live.insert(id, Live { segment, size, at, progress, ended });
    }

    fn forget(&mut self, id: u64) {
        let Some(live) = self.live.remove(&id) else { return };
        self.live_size -= live.size + AFTERWARDS;
        if let Some(segment) = self.segment(live.segment) {
            segment.live -= 1;
            segment.live_size -= live.size;
        }
    }

    /// What the folder holds, each file in whole units.
    pub fn disk(&self) -> u64 {
        self.foreign + self.segments.iter().map(|s| units(s.size)).sum::<u64>()
    }

    /// The last write failed: nothing is to be begun.
    pub fn is_failing(&self) -> bool {
        self.failing
    }

    /// How much has happened that is not written yet.
    pub fn owed(&self) -> usize {
        self.owed.len()
    }

    /// Keeps a message that is about to be taken on.
    pub fn take(&mut self, id: u64, message: &JournaledMessage) -> Result<(), JournalError> {
        let change = Change::Taken(Box::new(message.clone()));
        let size = record::encode(0, id, &change).len() as u64;
        // Room for it, and for the copies while the oldest segment is given up.
        let room = self.limit.saturating_sub(self.foreign) * LIVE_SHARE / 100;
        if self.live_size + size + AFTERWARDS > room {
            return Err(JournalError::Full);
        }
        let place = self.append(id, &change)?;
        self.enter(id, place, message.progress.clone());
        Ok(())
    }

    /// Notes an attempt that is about to be written to its endpoint.
    pub fn attempt(&mut self, id: u64, number: u32, start: AttemptStart) -> Result<(), JournalError> {
        if !self.live.contains_key(&id) {
            return Ok(());
        }
        let step = Step::Attempt(number, Some(start));
        self.append(id, &Change::Step(step.clone()))?;
        self.apply(id, &step);
        Ok(())
    }

    /// Notes that an attempt never ran; one that was not noted before changes nothing.
    pub fn never_ran(&mut self, id: u64, number: u32) {
        let begun = |live: &Live| live.progress.out && live.progress.attempts == number.saturating_add(1);
        if self.live.get(&id).is_some_and(begun) {
            self.happened(id, Change::Step(Step::NeverRan));
        }
    }

    /// Notes an end that the platform is yet to confirm.
    pub fn report(&mut self, id: u64, end: ReportedEnd) {
        if self.live.contains_key(&id) {
            self.happened(id, Change::Step(Step::Report(end)));
        }
    }

    /// Notes that nothing more is owed for a message.
    pub fn end(&mut self, id: u64) {
        if let Some(live) = self.live.get_mut(&id).filter(|live| !live.ended) {
            live.ended = true;
            // What else is owed of it tells nothing any more.
            self.owed.retain(|owed| owed.0 != id);
            self.happened(id, Change::End);
        }
    }

    fn apply(&mut self, id: u64, step: &Step) {
        if let Some(live) = self.live.get_mut(&id) {
            live.progress.apply(step);
        }
    }

    /// Something has happened, whether it can be written now or not.
    fn happened(&mut self, id: u64, change: Change) {
        if let Change::Step(step) = &change {
            self.apply(id, step);
        }
        self.owed.push_back((id, change));
        if !self.paused && !self.failing {
            // What remains owed is written by a later retry.
            let _ = self.write_owed();
        }
    }

    /// Tries again to write what is owed, or anything at all.
    pub fn retry(&mut self) -> Result<(), JournalError> {
        if self.paused {
            return Err(JournalError::HandedOver);
        }
        self.write_owed()?;
        if self.failing {
            self.write_one(0, &Change::Probe)?;
        }
        Ok(())
    }

    /// Writes what is owed, then a record; where that lies, and its size.
    fn append(&mut self, id: u64, change: &Change) -> Result<(u64, usize, u64), JournalError> {
        if self.paused {
            return Err(JournalError::HandedOver);
        }
        if self.failing {
            // Only a retry finds out, or each message that comes would try the storage.
            return Err(failing(io::Error::other("an earlier write failed")));
        }
        self.write_owed()?;
        self.write_one(id, change)
    }

    fn write_owed(&mut self) -> Result<(), JournalError> {
        while let Some((id, change)) = self.owed.pop_front() {
            if let Err(e) = self.write_one(id, &change) {
                self.owed.push_front((id, change));
                return Err(e);
            }
            if change == Change::End {
                self.forget(id);
            }
        }
        Ok(())
    }

    fn write_one(&mut self, id: u64, change: &Change) -> Result<(u64, usize, u64), JournalError> {
        let needed = record::encode(0, id, change).len() as u64;
        let written = self.make_room(needed).and_then(|()| self.write(id, change));
        self.failing = written.is_err();
        written.map_err(failing)
    }

    /// Gives up the oldest segments until so much more fits, and what the next copying needs beside it.
    fn make_room(&mut self, more: u64) -> io::Result<()> {
        let mut rounds = self.segments.len() + 1;
        loop {
            // Those at the front in which nothing lives cost no copy.
            while self.segments.len() > 1 && self.segments.front().is_some_and(|s| s.live == 0 && !s.pinned) {
                if self.drop_oldest().is_err() {
                    break;
                }
            }
            // Each copy may begin a unit of its own.
            let copies = |s: &Segment| s.live_size + s.live as u64 * 2 * UNIT;
            let oldest = self.segments.front().map_or(0, copies);
            if self.disk() + more + oldest + 4 * UNIT <= self.limit {
                return Ok(());
            }
            let stuck = self.segments.front().is_none_or(|s| s.pinned);
            if rounds == 0 || stuck || self.give_up_oldest().is_err() {
                // All was copied once and gave no more, or cannot be; without the reserve for copies it may still fit.
                let fits = self.disk() + more + UNIT <= self.limit;
                return if fits { Ok(()) } else { Err(io::ErrorKind::StorageFull.into()) };
            }
            rounds -= 1;
        }
    }

    fn give_up_oldest(&mut self) -> io::Result<()> {
        if self.segments.len() == 1 {
            self.appending = false; // the survivors go to a fresh one
        }
        self.copy_forward()?;
        self.drop_oldest()
    }

    fn copy_forward(&mut self) -> io::Result<()> {
        let Some(oldest) = self.segments.front() else { return Ok(()) };
        let (number, salt, shift) = (oldest.number, oldest.salt, oldest.shift);
        if oldest.live == 0 {
            return Ok(());
        }
        let bytes = self.storage.read(&name(number))?;
        let here: Vec<u64> = self.live.iter().filter(|l| l.1.segment == number).map(|l| *l.0).collect();
        for id in here {
            let live = &self.live[&id];
            let record = bytes.get(live.at - FRAME..).and_then(|b| record::decode(salt, b));
            let Some((_, mut change, _)) = record else {
                return Err(io::Error::new(io::ErrorKind::InvalidData, "a record changed under the journal"));
            };
            change.shift(shift);
            let Change::Taken(mut message) = change else {
                return Err(io::Error::new(io::ErrorKind::InvalidData, "a record changed under the journal"));
            };
            message.progress = live.progress.clone();
            let progress = message.progress.clone();
            let place = self.write(id, &Change::Taken(message))?;
            self.enter(id, place, progress);
        }
        Ok(())
    }

    /// Removes the oldest segment. Later ones must stay until it is gone: they may hold the ends of what began there.
    fn drop_oldest(&mut self) -> io::Result<()> {
        if let Some(oldest) = self.segments.front() {
            self.storage.remove(&name(oldest.number))?;
            self.segments.pop_front();
        }
        Ok(())
    }

    /// Writes to the newest segment, or to a fresh one once that is large or may hold a torn record.
    fn write(&mut self, id: u64, change: &Change) -> io::Result<(u64, usize, u64)> {
        let full = self.segments.back().is_none_or(|s| s.size >= self.segment_size);
        if !self.appending || full {
            self.begin_segment()?;
        }
        let segment = self.segments.back_mut().expect("one is being appended to");
        let mut bytes = Vec::new();
        if segment.size == 0 {
            bytes = segment::head(&(self.moment)(), segment.salt);
        }
        let start = segment.size as usize + bytes.len();
        let record = record::encode(segment.salt, id, change);
        bytes.extend_from_slice(&record);
        if let Err(e) = self.storage.append(&bytes) {
            // What may be torn is cut off, or else nothing may follow it.
            if self.storage.cut(segment.size).is_err() {
                segment.size += bytes.len() as u64;
                self.appending = false;
            }
            return Err(e);
        }
        segment.size += bytes.len() as u64;
        Ok((segment.number, start + FRAME, record.len() as u64))
    }

    fn begin_segment(&mut self) -> io::Result<()> {
        self.appending = false;
        let number = self.next_number;
        // Where this fails the file may be there all the same: its number is used up.
        self.next_number += 1;
        self.storage.begin(&name(number))?;
        let salt = self.salt.wrapping_add(SALT_STEP.wrapping_mul(number as u32));
        self.segments.push_back(Segment { number, salt, ..Segment::default() });
        self.appending = true;
        Ok(())
    }

    /// From now on nothing is written: another process may own the folder. Fails, and changes nothing, while something is owed
    /// that cannot be written.
    pub fn pause(&mut self) -> Result<(), JournalError> {
        self.retry()?;
        self.paused = true;
        self.appending = false;
        Ok(())
    }

    /// Another process may be writing.
    pub fn is_paused(&self) -> bool {
        self.paused
    }

    /// Writes again, after another process has read the folder and changed nothing of what lives.
    pub fn resume(&mut self) {
        self.paused = false;
        // What cannot be written now stays owed.
        let _ = self.retry();
    }
}
