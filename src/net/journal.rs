//! What outlasts the process: every message taken on, its attempts and its end, in segments of checked records.
//!
//! A record is a length, a CRC-32 and its content, appended by one write. Segments are only ever given up from
//! the oldest on, after what still lives there was copied to the newest: so the end of a message never goes
//! before its beginning does. The folder stays under its limit at any moment, also while survivors are copied.

use std::collections::{BTreeMap, VecDeque};
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

const UNIT: u64 = 512;
const FRAME: usize = 8;
/// What a message may still need after its body: a dozen attempts, each with its zone and taken back, and an end.
const AFTERWARDS: u64 = 1024;
/// The largest record; more is a damaged length.
const LARGEST: usize = 1 << 20;
/// The share of the limit that what lives may take; the rest keeps copying rare.
const LIVE_SHARE: u64 = 70;

/// A message as it is kept. Classes and tenants are kept by name, as settings may change between starts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Kept {
    /// The user agent's name for it.
    pub word: String,
    /// What marks repeats of it.
    pub key: Option<String>,
    /// Its class.
    pub class: String,
    /// Whose it is.
    pub tenant: Option<String>,
    /// Where it goes.
    pub destination: u64,
    /// Up to when it may be delivered, in microseconds of Unix time.
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
    pub first: Option<Sent>,
    /// How it ended, where the platform has not confirmed that yet.
    pub verdict: Option<Verdict>,
}

impl Progress {
    /// An attempt was begun of which no end is known that says it never ran.
    pub fn may_have_run(&self) -> bool {
        self.ran || self.out
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Attempt(number, sent) => {
                self.attempts = self.attempts.max(number.saturating_add(1));
                if !self.may_have_run() {
                    self.first = sent;
                }
                // One that was never told to be back unrun may have run.
                self.ran |= self.out;
                self.out = true;
            }
            Step::Back => {
                self.out = false;
                self.first = self.first.take().filter(|_| self.ran);
            }
            Step::Verdict(how) => self.verdict = Some(how),
        }
    }
}

/// When and where an attempt was sent. The zone is kept by name, as settings may change between starts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sent {
    /// In microseconds of Unix time.
    pub at: u64,
    /// Its endpoint's zone.
    pub zone: String,
}

/// How a message ended that was not delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It failed.
    Failed,
    /// It may come again, after so many milliseconds if that is told.
    Returned(Option<u64>),
}

/// There is no room for a message.
#[derive(Debug, PartialEq, Eq)]
pub struct Full;

struct Live {
    segment: u64,
    size: u64,
    place: (u64, usize), // where the record's content starts in its segment, and its length
    progress: Progress,
}

struct Segment {
    number: u64,
    size: u64,
}

/// The journal of one forwarder.
pub struct Journal {
    folder: PathBuf,
    limit: u64,
    segment_size: u64,
    segments: VecDeque<Segment>,
    newest: Option<File>,
    live: BTreeMap<u64, Live>,
    live_size: u64,
    foreign: u64,
    /// Nothing is written: another process may own the folder. Ends that came meanwhile, in case it does not.
    paused: Option<Vec<u64>>,
}

/// What a journal held when it was opened.
pub struct Restored {
    /// The messages without an end, by id.
    pub kept: Vec<(u64, Kept)>,
    /// Lines on damage that was cut off.
    pub damage: Vec<String>,
    /// The highest id ever seen in it.
    pub last_id: u64,
}

fn units(size: u64) -> u64 {
    size.div_ceil(UNIT) * UNIT
}

impl Journal {
    /// Opens the journal of a folder, which may be empty, to stay under a limit in bytes.
    pub fn open(folder: &Path, limit: u64) -> io::Result<(Journal, Restored)> {
        fs::create_dir_all(folder)?;
        let mut journal = Journal {
            folder: folder.to_owned(),
            limit: 0,
            segment_size: 0,
            segments: VecDeque::new(),
            newest: None,
            live: BTreeMap::new(),
            live_size: 0,
            foreign: 0,
            paused: None,
        };
        journal.limit(limit);
        let mut numbers = Vec::new();
        for entry in fs::read_dir(folder)? {
            let entry = entry?;
            let name = entry.file_name();
            let number = name.to_str().and_then(|n| n.strip_suffix(".journal")).and_then(|n| n.parse().ok());
            match number {
                Some(number) => numbers.push(number),
                None => journal.foreign += units(entry.metadata()?.len()),
            }
        }
        numbers.sort_unstable();
        let mut found = BTreeMap::new();
        let mut restored = Restored { kept: Vec::new(), damage: Vec::new(), last_id: 0 };
        for number in numbers {
            journal.replay(number, &mut found, &mut restored)?;
        }
        // Appending goes to a fresh segment, so nothing is ever written behind a cut.
        journal
            .segments
            .retain(|s| s.size > 0 || fs::remove_file(journal.folder.join(name(s.number))).is_err());
        restored.kept = found.into_iter().collect();
        Ok((journal, restored))
    }

    /// From now on nothing is written.
    pub fn pause(&mut self) {
        self.paused = Some(Vec::new());
        self.newest = None;
    }

    /// Another process may be writing.
    pub fn is_paused(&self) -> bool {
        self.paused.is_some()
    }

    /// Writes again, after another process has read the folder and changed nothing of what lives.
    pub fn go_on(&mut self) -> io::Result<()> {
        let ends = self.paused.take().unwrap_or_default();
        let (fresh, _) = Journal::open(&self.folder, self.limit + 4 * UNIT)?;
        *self = fresh;
        ends.into_iter().try_for_each(|id| self.end(id))
    }

    /// Sets the limit. Under a lower one than what lives takes, nothing is taken on until enough has ended.
    pub fn limit(&mut self, limit: u64) {
        // Some units are kept free for what the folder itself may count.
        self.limit = limit.saturating_sub(4 * UNIT);
        self.segment_size = (limit / 12).max(8 * UNIT);
    }

    /// Reads a segment up to the first record that is not whole, and cuts the rest off.
    fn replay(&mut self, number: u64, found: &mut BTreeMap<u64, Kept>, to: &mut Restored) -> io::Result<()> {
        let path = self.folder.join(name(number));
        let bytes = fs::read(&path)?;
        let mut at = 0;
        while let Some((id, change, length)) = bytes.get(at..).and_then(record) {
            to.last_id = to.last_id.max(id);
            let size = (FRAME + length) as u64;
            match change {
                Change::Taken(kept) => {
                    self.enter(id, number, size, (at + FRAME, length), &kept);
                    found.insert(id, *kept);
                }
                Change::End => {
                    self.forget(id);
                    found.remove(&id);
                }
                Change::Step(step) => {
                    if let Some(kept) = found.get_mut(&id) {
                        let live = self.live.get_mut(&id).expect("found and live go together");
                        live.progress.apply(step);
                        kept.progress = live.progress.clone();
                    }
                }
            }
            at += FRAME + length;
        }
        if at < bytes.len() {
            to.damage
                .push(format!("segment {number}: {} bytes at {at} are damaged and cut", bytes.len() - at));
            OpenOptions::new().write(true).open(&path)?.set_len(at as u64)?;
        }
        self.segments.push_back(Segment { number, size: at as u64 });
        Ok(())
    }

    fn enter(&mut self, id: u64, segment: u64, size: u64, place: (usize, usize), kept: &Kept) {
        self.forget(id);
        self.live_size += size + AFTERWARDS;
        let place = (place.0 as u64, place.1);
        self.live.insert(id, Live { segment, size, place, progress: kept.progress.clone() });
    }

    fn forget(&mut self, id: u64) {
        if let Some(live) = self.live.remove(&id) {
            self.live_size -= live.size + AFTERWARDS;
        }
    }

    /// What the folder holds, each file in whole units.
    pub fn disk(&self) -> u64 {
        self.foreign + self.segments.iter().map(|s| units(s.size)).sum::<u64>()
    }

    /// Keeps a message that is about to be taken on.
    pub fn take(&mut self, id: u64, kept: &Kept) -> Result<(), Full> {
        let record = write_record(id, &Change::Taken(Box::new(kept.clone())));
        let size = record.len() as u64;
        // Room for it, and for the copies while the oldest segment is given up.
        let room = self.limit.saturating_sub(self.foreign) * LIVE_SHARE / 100;
        if self.live_size + size + AFTERWARDS > room {
            return Err(Full);
        }
        self.append(&record).map_err(|_| Full)?;
        let newest = self.segments.back().expect("just written to");
        let (number, at) = (newest.number, (newest.size - size) as usize + FRAME);
        self.enter(id, number, size, (at, record.len() - FRAME), kept);
        Ok(())
    }

    /// Notes an attempt that is about to be written to its endpoint.
    pub fn attempt(&mut self, id: u64, number: u32, sent: Sent) -> io::Result<()> {
        self.step(id, Step::Attempt(number, Some(sent)))
    }

    /// Notes that an attempt never ran; one that was not noted before changes nothing.
    pub fn never_ran(&mut self, id: u64, number: u32) -> io::Result<()> {
        if self
            .live
            .get(&id)
            .is_none_or(|l| !l.progress.out || l.progress.attempts != number.saturating_add(1))
        {
            return Ok(());
        }
        self.step(id, Step::Back)
    }

    /// Notes an end that the platform is yet to confirm.
    pub fn verdict(&mut self, id: u64, verdict: Verdict) -> io::Result<()> {
        self.step(id, Step::Verdict(verdict))
    }

    fn step(&mut self, id: u64, step: Step) -> io::Result<()> {
        if !self.live.contains_key(&id) {
            return Ok(());
        }
        let change = Change::Step(step);
        self.append(&write_record(id, &change))?;
        if let (Some(live), Change::Step(step)) = (self.live.get_mut(&id), change) {
            live.progress.apply(step);
        }
        Ok(())
    }

    /// Notes that nothing more is owed for a message.
    pub fn end(&mut self, id: u64) -> io::Result<()> {
        if let Some(ends) = &mut self.paused {
            ends.push(id);
            return Ok(());
        }
        if self.live.contains_key(&id) {
            self.forget(id);
            self.append(&write_record(id, &Change::End))?;
        }
        Ok(())
    }

    fn append(&mut self, record: &[u8]) -> io::Result<()> {
        if self.is_paused() {
            return Err(io::Error::other("the folder is being handed over"));
        }
        self.make_room(record.len() as u64)?;
        self.write(record)
    }

    /// Gives up the oldest segments until so much more fits, and what the next copying needs beside it.
    fn make_room(&mut self, more: u64) -> io::Result<()> {
        let mut rounds = self.segments.len() + 1;
        loop {
            // Those at the front in which nothing lives cost no copy.
            while self.segments.len() > 1 && !self.lives_in(self.segments[0].number) {
                self.drop_oldest()?;
            }
            let oldest = self.segments.front().map_or(0, |s| self.live_size_in(s.number));
            if self.disk() + more + oldest + 4 * UNIT <= self.limit {
                return Ok(());
            }
            if rounds == 0 {
                // All was copied once and gave no more; without the reserve for copies it may still fit.
                let fits = self.disk() + more + UNIT <= self.limit;
                return if fits { Ok(()) } else { Err(io::ErrorKind::StorageFull.into()) };
            }
            rounds -= 1;
            if self.segments.len() == 1 {
                self.newest = None; // the survivors go to a fresh one
            }
            self.copy_forward()?;
            self.drop_oldest()?;
        }
    }

    fn lives_in(&self, segment: u64) -> bool {
        self.live.values().any(|l| l.segment == segment)
    }

    fn live_size_in(&self, segment: u64) -> u64 {
        self.live.values().filter(|l| l.segment == segment).map(|l| l.size + 2 * UNIT).sum()
    }

    fn copy_forward(&mut self) -> io::Result<()> {
        let Some(oldest) = self.segments.front().map(|s| s.number) else { return Ok(()) };
        let bytes = fs::read(self.folder.join(name(oldest)))?;
        let here: Vec<u64> = self.live.iter().filter(|l| l.1.segment == oldest).map(|l| *l.0).collect();
        for id in here {
            let live = &self.live[&id];
            let at = live.place.0 as usize - FRAME;
            let Some((_, Change::Taken(mut kept), _)) = bytes.get(at..).and_then(record) else {
                return Err(io::Error::new(io::ErrorKind::InvalidData, "a record changed under the journal"));
            };
            kept.progress = live.progress.clone();
            let copy = write_record(id, &Change::Taken(kept.clone()));
            self.write(&copy)?;
            let newest = self.segments.back().expect("just written to");
            let (number, at) = (newest.number, newest.size as usize - copy.len() + FRAME);
            self.enter(id, number, copy.len() as u64, (at, copy.len() - FRAME), &kept);
        }
        Ok(())
    }

    fn drop_oldest(&mut self) -> io::Result<()> {
        if let Some(oldest) = self.segments.front() {
            fs::remove_file(self.folder.join(name(oldest.number)))?;
            self.segments.pop_front();
        }
        Ok(())
    }

    /// Writes to the newest segment, or to a fresh one once that is large.
    fn write(&mut self, record: &[u8]) -> io::Result<()> {
        let full = self.segments.back().is_none_or(|s| s.size >= self.segment_size);
        if self.newest.is_none() || full {
            let number = self.segments.back().map_or(1, |s| s.number + 1);
            let path = self.folder.join(name(number));
            self.newest = Some(OpenOptions::new().create_new(true).append(true).open(path)?);
            self.segments.push_back(Segment { number, size: 0 });
        }
        let (file, segment) = (self.newest.as_mut().expect("open"), self.segments.back_mut().expect("there"));
        if let Err(e) = file.write_all(record) {
            // Nothing may follow a torn record: replay stops there.
            file.set_len(segment.size)?;
            return Err(e);
        }
        segment.size += record.len() as u64;
        Ok(())
    }
}

fn name(number: u64) -> String {
    format!("{number:010}.journal")
}

#[derive(Clone, Debug)]
enum Step {
    /// Its number, and when and where it was sent where that is told.
    Attempt(u32, Option<Sent>),
    Back,
    Verdict(Verdict),
}

enum Change {
    Taken(Box<Kept>),
    Step(Step),
    End,
}

fn put(to: &mut Vec<u8>, bytes: &[u8]) {
    to.extend_from_slice(&(bytes.len() as u32).to_le_bytes());
    to.extend_from_slice(bytes);
}

fn put_verdict(to: &mut Vec<u8>, verdict: Option<Verdict>) {
    let (kind, after) = match verdict {
        None => (0, 0),
        Some(Verdict::Failed) => (1, 0),
        Some(Verdict::Returned(None)) => (2, 0),
        Some(Verdict::Returned(Some(ms))) => (3, ms),
    };
    to.push(kind);
    to.extend_from_slice(&after.to_le_bytes());
}

fn put_sent(to: &mut Vec<u8>, sent: &Option<Sent>) {
    if let Some(sent) = sent {
        to.extend_from_slice(&sent.at.to_le_bytes());
        put(to, sent.zone.as_bytes());
    }
}

fn write_record(id: u64, change: &Change) -> Vec<u8> {
    let mut to = vec![0; FRAME];
    to.extend_from_slice(&id.to_le_bytes());
    match change {
        Change::Taken(k) => {
            to.push(1);
            to.extend_from_slice(&k.destination.to_le_bytes());
            to.extend_from_slice(&k.deadline.to_le_bytes());
            let p = &k.progress;
            to.extend_from_slice(&p.attempts.to_le_bytes());
            let flags = [p.ran, p.out, k.key.is_some(), k.tenant.is_some(), p.first.is_some()];
            to.push(flags.iter().enumerate().map(|(i, f)| u8::from(*f) << i).sum());
            put_verdict(&mut to, p.verdict);
            let texts = [Some(&k.word), Some(&k.class), k.key.as_ref(), k.tenant.as_ref()];
            texts.into_iter().flatten().for_each(|t| put(&mut to, t.as_bytes()));
            put(&mut to, &k.body);
            put_sent(&mut to, &p.first);
        }
        Change::Step(Step::Attempt(number, sent)) => {
            to.push(2);
            to.extend_from_slice(&number.to_le_bytes());
            put_sent(&mut to, sent);
        }
        Change::Step(Step::Back) => to.push(3),
        Change::Step(Step::Verdict(v)) => {
            to.push(4);
            put_verdict(&mut to, Some(*v));
        }
        Change::End => to.push(5),
    }
    let length = (to.len() - FRAME) as u32;
    let sum = crc32fast::hash(&to[FRAME..]);
    to[..4].copy_from_slice(&length.to_le_bytes());
    to[4..FRAME].copy_from_slice(&sum.to_le_bytes());
    to
}

/// Takes values off the front of a record's content.
struct Reader<'a>(&'a [u8]);

impl<'a> Reader<'a> {
    fn bytes(&mut self, count: usize) -> Option<&'a [u8]> {
        let (front, rest) = self.0.split_at_checked(count)?;
        self.0 = rest;
        Some(front)
    }

    fn byte(&mut self) -> Option<u8> {
        Some(self.bytes(1)?[0])
    }

    fn u32(&mut self) -> Option<u32> {
        Some(u32::from_le_bytes(self.bytes(4)?.try_into().ok()?))
    }

    fn u64(&mut self) -> Option<u64> {
        Some(u64::from_le_bytes(self.bytes(8)?.try_into().ok()?))
    }

    fn text(&mut self) -> Option<String> {
        let length = self.u32()? as usize;
        String::from_utf8(self.bytes(length)?.to_vec()).ok()
    }

    /// What the record of an older version ends without.
    fn sent(&mut self) -> Option<Option<Sent>> {
        if self.0.is_empty() {
            return Some(None);
        }
        Some(Some(Sent { at: self.u64()?, zone: self.text()? }))
    }

    fn verdict(&mut self) -> Option<Option<Verdict>> {
        let (kind, after) = (self.byte()?, self.u64()?);
        Some(match kind {
            0 => None,
            1 => Some(Verdict::Failed),
            2 => Some(Verdict::Returned(None)),
            3 => Some(Verdict::Returned(Some(after))),
            _ => return None,
        })
    }
}

/// The record at the start of some bytes with its content's length, if it is whole and undamaged.
fn record(bytes: &[u8]) -> Option<(u64, Change, usize)> {
    let mut frame = Reader(bytes);
    let (length, sum) = (frame.u32()? as usize, frame.u32()?);
    let content = frame.bytes(length).filter(|_| length <= LARGEST)?;
    if crc32fast::hash(content) != sum {
        return None;
    }
    let mut r = Reader(content);
    let id = r.u64()?;
    let change = match r.byte()? {
        1 => {
            let (destination, deadline, attempts) = (r.u64()?, r.u64()?, r.u32()?);
            let flags = r.byte()?;
            let verdict = r.verdict()?;
            let (word, class) = (r.text()?, r.text()?);
            let key = if flags & 4 != 0 { Some(r.text()?) } else { None };
            let tenant = if flags & 8 != 0 { Some(r.text()?) } else { None };
            let size = r.u32()? as usize;
            let body = r.bytes(size)?.to_vec();
            let (ran, out) = (flags & 1 != 0, flags & 2 != 0);
            let progress = Progress { attempts, ran, out, first: r.sent()?, verdict };
            Change::Taken(Box::new(Kept { word, key, class, tenant, destination, deadline, body, progress }))
        }
        2 => Change::Step(Step::Attempt(r.u32()?, r.sent()?)),
        3 => Change::Step(Step::Back),
        4 => Change::Step(Step::Verdict(r.verdict()??)),
        5 => Change::End,
        _ => return None,
    };
    Some((id, change, length))
}
