//! The journal on a folder of its own: what comes back after a crash, damage and a folder that is nearly full.

use cedarbridge::journal::{
    AttemptStart, Journal, JournalError, JournaledMessage, Moment, Progress, ReportedEnd, Restored,
    Unreadable,
};
use cedarbridge::net::storage;
use std::collections::VecDeque;
use std::fs;
use std::path::PathBuf;

/// The unit in which the platform counts files.
const UNIT: u64 = 512;

fn units(size: u64) -> u64 {
    size.div_ceil(UNIT) * UNIT
}

fn sent(at: u64, zone: &str) -> AttemptStart {
    AttemptStart { at, zone: zone.into() }
}

/// The moment at which journals are opened and written here, unless a test says otherwise.
const NOW: Moment = Moment { boot: 7, clock: 1_000, wall: 5_000_000 };

struct Folder(PathBuf);

impl Folder {
    fn new(test: &str) -> Self {
        let path = std::env::temp_dir().join(format!("cedarbridge-{test}-{}", std::process::id()));
        let _ = fs::remove_dir_all(&path);
        Folder(path)
    }

    fn open(&self, limit: u64) -> (Journal, Restored) {
        self.open_at(limit, NOW)
    }

    fn open_at(&self, limit: u64, now: Moment) -> (Journal, Restored) {
        let storage = storage::Folder::open(&self.0).expect("a folder");
        Journal::open(Box::new(storage), limit, move || now, 99, Unreadable::Fail).expect("opens")
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

fn message(id: &str, size: usize) -> JournaledMessage {
    let head = JournaledMessage {
        request_id: id.into(),
        class: "notice".into(),
        destination: 7,
        ..JournaledMessage::default()
    };
    JournaledMessage { key: Some("k".into()), deadline: 99, body: vec![b'x'; size], ..head }
}

#[test]
fn what_is_unended_comes_back_with_its_attempts() {
    let folder = Folder::new("unended");
    let (mut j, _) = folder.open(1 << 20);
    for id in 1..=4 {
        j.take(id, &message(&format!("m{id}"), 10)).expect("room");
    }
    j.attempt(1, 0, sent(5, "east")).expect("written");
    j.never_ran(1, 0);
    j.attempt(2, 0, sent(6, "east")).expect("written");
    // The second is called back before it was written: the first may still have run.
    j.never_ran(2, 1);
    j.attempt(2, 1, sent(7, "west")).expect("written");
    j.report(3, ReportedEnd::Returned(Some(500)));
    j.end(4);
    assert_eq!(j.owed(), 0, "all is written");
    drop(j);
    let (_, restored) = folder.open(1 << 20);
    let seen: Vec<_> = restored.messages.iter().map(|(id, k)| (*id, k.progress.clone())).collect();
    let report = Some(ReportedEnd::Returned(Some(500)));
    // Taken back, the first is not where repeats would be dropped; of the second it is the first attempt.
    let wanted = [
        (1, Progress { attempts: 1, ..Progress::default() }),
        (2, Progress { attempts: 2, ran: true, out: true, first: Some(sent(6, "east")), report: None }),
        (3, Progress { report, ..Progress::default() }),
    ];
    assert_eq!(seen, wanted);
    assert_eq!((restored.last_id, restored.messages[0].1.body.len()), (4, 10));
}

/// Guards against a crash loop: a tail that a dying write or a bad block left must not stop the start.
#[test]
fn a_torn_or_damaged_tail_is_cut_wherever_it_is() {
    let folder = Folder::new("torn");
    let (mut j, _) = folder.open(1 << 20);
    j.take(1, &message("one", 40)).expect("room");
    let whole = fs::metadata(folder.files().pop().expect("a segment")).expect("a file").len() as usize;
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
            assert_eq!(restored.messages.iter().map(|k| k.0).collect::<Vec<_>>(), [1]);
            assert_eq!(restored.damage.len(), 1);
            j.take(3, &message("three", 40)).expect("room");
            drop(j);
            let (_, again) = folder.open(1 << 20);
            assert_eq!((again.messages.len(), again.damage.len()), (2, 0));
            for extra in folder.files().into_iter().filter(|f| f != &file) {
                fs::remove_file(extra).expect("removed");
            }
        }
    }
}

/// Guards against messages that are lost behind one bad block: what follows it in the segment is whole.
#[test]
fn recovery_goes_past_a_damaged_record() {
    let folder = Folder::new("past");
    let (mut j, _) = folder.open(1 << 20);
    let file = folder.files();
    assert!(file.is_empty(), "a segment is begun by its first record");
    j.take(1, &message("one", 40)).expect("room");
    let file = folder.files().pop().expect("a segment");
    let first = fs::metadata(&file).expect("a file").len() as usize;
    // Its body looks like a record of its own; without the segment's number it is none.
    let forged = cedarbridge::journal::record::encode(0, 1, &cedarbridge::journal::record::Change::End);
    j.take(2, &JournaledMessage { body: forged, ..message("two", 0) }).expect("room");
    j.take(3, &message("three", 40)).expect("room");
    drop(j);
    let mut bytes = fs::read(&file).expect("read");
    bytes[first + 20] ^= 0x40;
    fs::write(&file, &bytes).expect("written");
    let (_, restored) = folder.open(1 << 20);
    assert_eq!(restored.messages.iter().map(|m| m.0).collect::<Vec<_>>(), [1, 3]);
    assert_eq!(restored.damage.len(), 1);
}

/// Guards against deadlines and windows that move with the wall clock.
#[test]
fn times_are_read_by_the_clock_that_both_processes_share_and_else_by_the_wall_clock() {
    let deadline = |boot, clock, wall| {
        let folder = Folder::new(&format!("times-{boot}-{clock}"));
        let (mut j, _) = folder.open_at(1 << 20, Moment { boot: 7, clock: 1_000, wall: 5_000_000 });
        j.take(1, &JournaledMessage { deadline: 9_000, ..message("one", 4) }).expect("room");
        j.attempt(1, 0, sent(1_500, "east")).expect("written");
        drop(j);
        let kept = folder.open_at(1 << 20, Moment { boot, clock, wall }).1.messages;
        (kept[0].1.deadline, kept[0].1.progress.first.as_ref().expect("an attempt").at)
    };
    let same_boot = (9_000, 1_500);
    assert_eq!(deadline(7, 2_000, 5_001_000), same_boot);
    assert_eq!(deadline(7, 2_001, 9_999_999_999), same_boot, "the wall clock was set forward");
    assert_eq!(deadline(7, 2_002, 1), same_boot, "and back");
    // The machine was started anew and 3,000 us went by: 8,000 were left at first, so 5,000 are now.
    assert_eq!(deadline(8, 200, 5_003_000), (5_200, 0));
    assert_eq!(deadline(0, 100_000, 5_003_000), (105_000, 97_500), "the boot is not known");
}

/// A folder of the version before keeps Unix time and has no heads.
#[test]
fn a_segment_of_the_older_form_is_read_by_the_wall_clock() {
    use cedarbridge::journal::record::{encode, Change, Step};
    let folder = Folder::new("older");
    fs::create_dir_all(&folder.0).expect("a folder");
    let taken = JournaledMessage { deadline: 5_020_000, ..message("one", 4) };
    let mut bytes = encode(0, 4, &Change::Taken(Box::new(taken)));
    bytes.extend(encode(0, 4, &Change::Step(Step::Attempt(0, Some(sent(4_999_500, "west"))))));
    fs::write(folder.0.join("0000000003.journal"), bytes).expect("written");
    let (mut j, restored) = folder.open(60_000);
    let (id, kept) = &restored.messages[0];
    assert_eq!((*id, kept.deadline, kept.progress.first.clone()), (4, 21_000, Some(sent(500, "west"))));
    // The same after it was copied to a segment of the new form.
    for id in 5..400 {
        j.take(id, &message("other", 300)).expect("room");
        j.end(id);
    }
    drop(j);
    let (_, again) = folder.open(60_000);
    assert_eq!(again.messages, restored.messages);
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
                Err(JournalError::Failing(e)) => panic!("{e}"),
                Err(_) => {
                    refused += 1;
                    // The first of all stays to the end, so that it has to be copied over and over.
                    for _ in 0..2 {
                        let gone = held.remove(1).expect("several fit");
                        j.attempt(gone, 0, sent(1, "east")).expect("there is always room for what follows");
                        j.end(gone);
                        assert_eq!(j.owed(), 0, "there is always room for an end");
                    }
                }
            }
            assert!(folder.size() <= limit, "{} of {limit} at {id}", folder.size());
        }
        assert!(refused > 0);
        drop(j);
        let (_, restored) = folder.open(limit);
        assert_eq!(restored.messages.iter().map(|k| k.0).collect::<VecDeque<_>>(), held);
        assert!(restored.messages.iter().all(|(id, k)| *k == message(&format!("m{id}"), body)));
    }
}

/// Guards against repeats of a message whose record was copied to another segment, in a zone that does not drop them.
#[test]
fn where_the_first_attempt_went_outlasts_copies_and_later_attempts() {
    let folder = Folder::new("first");
    let (mut j, _) = folder.open(60_000);
    j.take(1, &message("stays", 300)).expect("room");
    j.attempt(1, 0, sent(11, "north-hall")).expect("written");
    let first = folder.files();
    let mut id = 1;
    while folder.files().iter().any(|f| first.contains(f)) {
        id += 1;
        j.take(id, &message(&format!("m{id}"), 300)).expect("room");
        j.end(id);
    }
    j.attempt(1, 1, sent(12, "south-hall")).expect("written");
    drop(j);
    let (_, restored) = folder.open(60_000);
    let progress =
        Progress { attempts: 2, ran: true, out: true, first: Some(sent(11, "north-hall")), report: None };
    assert_eq!(restored.messages, [(1, JournaledMessage { progress, ..message("stays", 300) })]);
}
