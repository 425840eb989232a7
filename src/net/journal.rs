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
/// What a message may still need after its body: attempts and an end.
const AFTERWARDS: u64 = 512;
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
    /// Attempts begun.
    pub attempts: u32,
    /// An attempt may have run that is not out any more.
    pub ran: bool,
    /// An attempt is out.
    pub out: bool,
    /// How it ended, where the platform has not confirmed that yet.
    pub verdict: Option<Verdict>,
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
    attempts: u32,
    ran: bool,
    out: bool,
    verdict: Option<Verdict>,
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
                        step.apply(&mut live.attempts, &mut live.ran, &mut live.out, &mut live.verdict);
                        (kept.attempts, kept.ran, kept.out) = (live.attempts, live.ran, live.out);
                        kept.verdict = live.verdict;
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
        let Kept { attempts, ran, out, verdict, .. } = *kept;
        self.live.insert(id, Live { segment, size, place, attempts, ran, out, verdict });
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
    pub fn attempt(&mut self, id: u64, number: u32) -> io::Result<()> {
        self.step(id, Step::Attempt(number))
    }

    /// Notes that an attempt never ran; one that was not noted before changes nothing.
    pub fn never_ran(&mut self, id: u64, number: u32) -> io::Result<()> {
        if self.live.get(&id).is_none_or(|l| !l.out || l.attempts != number.saturating_add(1)) {
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
        self.append(&write_record(id, &Change::Step(step)))?;
        if let Some(live) = self.live.get_mut(&id) {
            step.apply(&mut live.attempts, &mut live.ran, &mut live.out, &mut live.verdict);
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
            (kept.attempts, kept.ran, kept.out) = (live.attempts, live.ran, live.out);
            kept.verdict = live.verdict;
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

#[derive(Clone, Copy, Debug)]
enum Step {
    Attempt(u32),
    Back,
    Verdict(Verdict),
}

impl Step {
    fn apply(self, attempts: &mut u32, ran: &mut bool, out: &mut bool, verdict: &mut Option<Verdict>) {
        match self {
            Step::Attempt(number) => {
                *attempts = (*attempts).max(number.saturating_add(1));
                // One that was never told to be back unrun may have run.
                *ran |= *out;
                *out = true;
            }
            Step::Back => *out = false,
            Step::Verdict(v) => *verdict = Some(v),
        }
    }
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

fn write_record(id: u64, change: &Change) -> Vec<u8> {
    let mut to = vec![0; FRAME];
    to.extend_from_slice(&id.to_le_bytes());
    match change {
        Change::Taken(k) => {
            to.push(1);
            to.extend_from_slice(&k.destination.to_le_bytes());
            to.extend_from_slice(&k.deadline.to_le_bytes());
            to.extend_from_slice(&k.attempts.to_le_bytes());
            to.push(u8::from(k.ran) | u8::from(k.out) << 1 | u8::from(k.key.is_some()) << 2);
            let last = to.len() - 1;
            to[last] |= u8::from(k.tenant.is_some()) << 3;
            put_verdict(&mut to, k.verdict);
            let texts = [Some(&k.word), Some(&k.class), k.key.as_ref(), k.tenant.as_ref()];
            texts.into_iter().flatten().for_each(|t| put(&mut to, t.as_bytes()));
            put(&mut to, &k.body);
        }
        Change::Step(Step::Attempt(number)) => {
            to.push(2);
            to.extend_from_slice(&number.to_le_bytes());
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
            let head = Kept { word, key, class, tenant, destination, deadline, ..Kept::default() };
            Change::Taken(Box::new(Kept { body, attempts, ran, out, verdict, ..head }))
        }
        2 => Change::Step(Step::Attempt(r.u32()?)),
        3 => Change::Step(Step::Back),
        4 => Change::Step(Step::Verdict(r.verdict()??)),
        5 => Change::End,
        _ => return None,
    };
    Some((id, change, length))
}

#[cfg(test)]
mod tests {
    use super::*;

    struct Folder(PathBuf);

    impl Folder {
        fn new(test: &str) -> Self {
            let path = std::env::temp_dir().join(format!("cedarbridge-{test}-{}", std::process::id()));
            let _ = fs::remove_dir_all(&path);
            Folder(path)
        }

        fn open(&self, limit: u64) -> (Journal, Restored) {
            Journal::open(&self.0, limit).expect("opens")
        }

        fn files(&self) -> Vec<PathBuf> {
            let mut all: Vec<_> =
                fs::read_dir(&self.0).expect("a folder").map(|e| e.expect("an entry").path()).collect();
            all.sort();
            all
        }

        fn size(&self) -> u64 {
            self.files().iter().map(|f| units(fs::metadata(f).expect("a file").len())).sum()
        }
    }

    impl Drop for Folder {
        fn drop(&mut self) {
            let _ = fs::remove_dir_all(&self.0);
        }
    }

    fn message(word: &str, size: usize) -> Kept {
        let head = Kept { word: word.into(), class: "notice".into(), destination: 7, ..Kept::default() };
        Kept { key: Some("k".into()), deadline: 99, body: vec![b'x'; size], ..head }
    }

    #[test]
    fn what_is_unended_comes_back_with_its_attempts() {
        let folder = Folder::new("unended");
        let (mut j, _) = folder.open(1 << 20);
        for id in 1..=4 {
            j.take(id, &message(&format!("m{id}"), 10)).expect("room");
        }
        j.attempt(1, 0).expect("written");
        j.never_ran(1, 0).expect("written");
        j.attempt(2, 0).expect("written");
        // The second is called back before it was written: the first may still have run.
        j.never_ran(2, 1).expect("nothing to write");
        j.attempt(2, 1).expect("written");
        j.verdict(3, Verdict::Returned(Some(500))).expect("written");
        j.end(4).expect("written");
        drop(j);
        let (_, restored) = folder.open(1 << 20);
        let seen: Vec<_> =
            restored.kept.iter().map(|(id, k)| (*id, k.attempts, k.ran, k.out, k.verdict)).collect();
        let returned = Some(Verdict::Returned(Some(500)));
        let wanted = [(1, 1, false, false, None), (2, 2, true, true, None), (3, 0, false, false, returned)];
        assert_eq!(seen, wanted);
        assert_eq!((restored.last_id, restored.kept[0].1.body.len()), (4, 10));
    }

    /// Guards against a crash loop: a tail that a dying write or a bad block left must not stop the start.
    #[test]
    fn a_torn_or_damaged_tail_is_cut_wherever_it_is() {
        let folder = Folder::new("torn");
        let (mut j, _) = folder.open(1 << 20);
        j.take(1, &message("one", 40)).expect("room");
        let whole = j.disk_exact();
        j.take(2, &message("two", 40)).expect("room");
        drop(j);
        let file = folder.files().pop().expect("a segment");
        let bytes = fs::read(&file).expect("read");
        for cut in whole + 1..bytes.len() {
            let mut spoilt = bytes.clone();
            spoilt[cut] ^= 0x40;
            for damaged in [&bytes[..cut], &spoilt] {
                fs::write(&file, damaged).expect("written");
                let (mut j, restored) = folder.open(1 << 20);
                assert_eq!(restored.kept.iter().map(|k| k.0).collect::<Vec<_>>(), [1]);
                assert_eq!(restored.damage.len(), 1);
                j.take(3, &message("three", 40)).expect("room");
                drop(j);
                let (_, again) = folder.open(1 << 20);
                assert_eq!((again.kept.len(), again.damage.len()), (2, 0));
                for extra in folder.files().into_iter().filter(|f| f != &file) {
                    fs::remove_file(extra).expect("removed");
                }
            }
        }
    }

    /// Guards against passing the limit while survivors are copied, with bodies large against it.
    #[test]
    fn the_folder_stays_under_its_limit_and_keeps_what_lives() {
        for (limit, body) in [(3_000_000u64, 65_536usize), (1_000_000, 65_536), (60_000, 300)] {
            let folder = Folder::new(&format!("limit-{limit}"));
            let (mut j, _) = folder.open(limit);
            let (mut held, mut refused) = (VecDeque::new(), 0);
            for id in 1..600u64 {
                match j.take(id, &message(&format!("m{id}"), body)) {
                    Ok(()) => held.push_back(id),
                    Err(Full) => {
                        refused += 1;
                        // The first of all stays to the end, so that it has to be copied over and over.
                        for _ in 0..2 {
                            let gone = held.remove(1).expect("several fit");
                            j.attempt(gone, 0).expect("there is always room for what follows");
                            j.end(gone).expect("there is always room for an end");
                        }
                    }
                }
                assert!(folder.size() <= limit, "{} of {limit} at {id}", folder.size());
            }
            assert!(refused > 0);
            drop(j);
            let (_, restored) = folder.open(limit);
            assert_eq!(restored.kept.iter().map(|k| k.0).collect::<VecDeque<_>>(), held);
            assert!(restored.kept.iter().all(|(id, k)| *k == message(&format!("m{id}"), body)));
        }
    }

    impl Journal {
        fn disk_exact(&self) -> usize {
            self.segments.iter().map(|s| s.size as usize).sum()
        }
    }
}
