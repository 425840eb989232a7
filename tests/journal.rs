//! The journal on a folder of its own: what comes back after a crash, damage and a folder that is nearly full.

use cedarbridge::net::journal::{Full, Journal, Kept, Progress, Restored, Sent, Verdict};
use std::collections::VecDeque;
use std::fs;
use std::path::PathBuf;

/// The unit in which the platform counts files.
const UNIT: u64 = 512;

fn units(size: u64) -> u64 {
    size.div_ceil(UNIT) * UNIT
}

fn sent(at: u64, zone: &str) -> Sent {
    Sent { at, zone: zone.into() }
}

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
    j.attempt(1, 0, sent(5, "east")).expect("written");
    j.never_ran(1, 0).expect("written");
    j.attempt(2, 0, sent(6, "east")).expect("written");
    // The second is called back before it was written: the first may still have run.
    j.never_ran(2, 1).expect("nothing to write");
    j.attempt(2, 1, sent(7, "west")).expect("written");
    j.verdict(3, Verdict::Returned(Some(500))).expect("written");
    j.end(4).expect("written");
    drop(j);
    let (_, restored) = folder.open(1 << 20);
    let seen: Vec<_> = restored.kept.iter().map(|(id, k)| (*id, k.progress.clone())).collect();
    let verdict = Some(Verdict::Returned(Some(500)));
    // Taken back, the first is not where repeats would be dropped; of the second it is the first attempt.
    let wanted = [
        (1, Progress { attempts: 1, ..Progress::default() }),
        (2, Progress { attempts: 2, ran: true, out: true, first: Some(sent(6, "east")), verdict: None }),
        (3, Progress { verdict, ..Progress::default() }),
    ];
    assert_eq!(seen, wanted);
    assert_eq!((restored.last_id, restored.kept[0].1.body.len()), (4, 10));
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
                        j.attempt(gone, 0, sent(1, "east")).expect("there is always room for what follows");
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
        j.end(id).expect("written");
    }
    j.attempt(1, 1, sent(12, "south-hall")).expect("written");
    drop(j);
    let (_, restored) = folder.open(60_000);
    let progress =
        Progress { attempts: 2, ran: true, out: true, first: Some(sent(11, "north-hall")), verdict: None };
    assert_eq!(restored.kept, [(1, Kept { progress, ..message("stays", 300) })]);
}
