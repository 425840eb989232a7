//! The journal on a storage that fails: each of its operations fails once, at each place, as SQLite's tests do; and for whole
//! stretches, by a seed. After each run the process is taken to be killed, and the journal is opened again and held against what
//! was acknowledged.

use cedarbridge::journal::storage::Storage;
use cedarbridge::journal::{
    AttemptStart, Journal, JournaledMessage, Moment, ReportedEnd, Restored, Unreadable,
};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;

const NOW: Moment = Moment { boot: 7, clock: 1_000, wall: 5_000_000 };
const LIMIT: u64 = 40_000;
const STEPS: usize = 150;

/// How an operation fails that is struck.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    /// Nothing is done.
    Clean,
    /// An append writes half, and the cut that follows fails too.
    Torn,
}

/// Which operations fail, counted from 0.
#[derive(Clone, Copy, Debug)]
struct Plan {
    from: usize,
    to: usize,
    fault: Fault,
}

#[derive(Default)]
struct Disk {
    files: BTreeMap<String, Vec<u8>>,
    newest: Option<String>,
    operations: usize,
    plan: Option<Plan>,
    torn: bool,
}

#[derive(Clone, Default)]
struct Memory(Rc<RefCell<Disk>>);

fn broken() -> io::Error {
    io::Error::from_raw_os_error(5)
}

impl Memory {
    /// Counts an operation; how it fails, if it does.
    fn struck(&self) -> Option<Fault> {
        let mut disk = self.0.borrow_mut();
        let at = disk.operations;
        disk.operations += 1;
        disk.plan.filter(|plan| (plan.from..plan.to).contains(&at)).map(|plan| plan.fault)
    }

    fn fails(&self) -> io::Result<()> {
        self.struck().map_or(Ok(()), |_| Err(broken()))
    }

    fn open(&self) -> (Journal, Restored) {
        let unreadable = Unreadable::Fail;
        Journal::open(Box::new(self.clone()), LIMIT, || NOW, 3, unreadable).expect("opens")
    }
}

impl Storage for Memory {
    fn list(&mut self) -> io::Result<Vec<(String, u64)>> {
        self.fails()?;
        Ok(self.0.borrow().files.iter().map(|(name, bytes)| (name.clone(), bytes.len() as u64)).collect())
    }

    fn read(&mut self, name: &str) -> io::Result<Vec<u8>> {
        self.fails()?;
        self.0.borrow().files.get(name).cloned().ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    fn begin(&mut self, name: &str) -> io::Result<()> {
        self.fails()?;
        let mut disk = self.0.borrow_mut();
        assert!(disk.files.insert(name.into(), Vec::new()).is_none(), "{name} was there");
        disk.newest = Some(name.into());
        Ok(())
    }

    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        let struck = self.struck();
        let mut disk = self.0.borrow_mut();
        let written = match struck {
            Some(Fault::Clean) => 0,
            Some(Fault::Torn) => bytes.len() / 2,
            None => bytes.len(),
        };
        disk.torn = struck == Some(Fault::Torn);
        let newest = disk.newest.clone().expect("begun");
        disk.files.get_mut(&newest).expect("there").extend_from_slice(&bytes[..written]);
        struck.map_or(Ok(()), |_| Err(broken()))
    }

    fn cut(&mut self, size: u64) -> io::Result<()> {
        self.fails()?;
        let mut disk = self.0.borrow_mut();
        if std::mem::take(&mut disk.torn) {
            return Err(broken());
        }
        let newest = disk.newest.clone().expect("begun");
        disk.files.get_mut(&newest).expect("there").truncate(size as usize);
        Ok(())
    }

    fn cut_file(&mut self, name: &str, size: u64) -> io::Result<()> {
        self.fails()?;
        self.0.borrow_mut().files.get_mut(name).expect("there").truncate(size as usize);
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.fails()?;
        self.0.borrow_mut().files.remove(name);
        Ok(())
    }
}

/// What was acknowledged of a message that lives: attempts, whether one is out, and its reported end.
type Known = BTreeMap<u64, (u32, bool, Option<ReportedEnd>)>;

fn message(id: u64, size: usize) -> JournaledMessage {
    let head =
        JournaledMessage { request_id: format!("m{id}"), class: "notice".into(), ..Default::default() };
    JournaledMessage { body: vec![b'x'; size], deadline: 9, ..head }
}

/// Plays a day by its seed; what must be there afterwards.
fn play(journal: &mut Journal, seed: u64, mut after_each: impl FnMut(&mut Journal)) -> Known {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut known = Known::new();
    for id in 1..=STEPS as u64 {
        if journal.take(id, &message(id, random.usize(0..900))).is_ok() {
            known.insert(id, (0, false, None));
        }
        for _ in 0..2 {
            let Some(id) = random.choice(known.keys().copied().collect::<Vec<_>>()) else { break };
            let (attempts, out, report) = known[&id];
            match random.u32(0..6) {
                0 | 1 if report.is_none() => {
                    let start = AttemptStart { at: id, zone: "east".into() };
                    if journal.attempt(id, attempts, start).is_ok() {
                        known.insert(id, (attempts + 1, true, None));
                    }
                }
                2 if out => {
                    journal.never_ran(id, attempts - 1);
                    known.insert(id, (attempts, false, report));
                }
                3 if report.is_none() => {
                    journal.report(id, ReportedEnd::Failed);
                    known.insert(id, (attempts, out, Some(ReportedEnd::Failed)));
                }
                4 | 5 => {
                    journal.end(id);
                    known.remove(&id);
                }
                _ => {}
            }
        }
        after_each(journal);
    }
    known
}

fn restored(memory: &Memory) -> Known {
    let (_, restored) = memory.open();
    let of = |m: &JournaledMessage| (m.progress.attempts, m.progress.out, m.progress.report);
    restored.messages.iter().map(|(id, m)| (*id, of(m))).collect()
}

/// Plays a day under a plan, lets the storage come back, and says what it took and what is there after a kill.
fn after_faults(plan: Plan, seed: u64) -> (Known, Known, usize) {
    let memory = Memory::default();
    let (mut journal, _) = memory.open();
    memory.0.borrow_mut().plan = Some(plan);
    let known = play(&mut journal, seed, |journal| drop(journal.retry()));
    let operations = memory.0.borrow().operations;
    memory.0.borrow_mut().plan = None;
    journal.retry().expect("the storage is back");
    assert_eq!(journal.owed(), 0);
    assert!(journal.disk() <= LIMIT);
    drop(journal);
    (known, restored(&memory), operations)
}

/// Guards against what is acknowledged and then lost, and against what is refused and then comes back.
#[test]
fn whichever_operation_fails_once_what_was_acknowledged_is_there_after_a_kill() {
    for fault in [Fault::Clean, Fault::Torn] {
        for from in 0.. {
            let (known, found, operations) = after_faults(Plan { from, to: from + 1, fault }, 11);
            // Without its copy a message that was reported needs no progress but that.
            assert_eq!(found, known, "operation {from}, {fault:?}");
            if from >= operations {
                break;
            }
        }
    }
}

/// The same for stretches in which nothing works.
#[test]
fn after_stretches_of_failure_what_was_acknowledged_is_there() {
    for seed in 0..60 {
        let mut random = fastrand::Rng::with_seed(seed);
        let from = random.usize(0..400);
        let fault = if random.bool() { Fault::Clean } else { Fault::Torn };
        let plan = Plan { from, to: from + random.usize(2..120), fault };
        let (known, found, _) = after_faults(plan, seed);
        assert_eq!(found, known, "seed {seed}, {plan:?}");
    }
}

/// Guards against an end that is forgotten as it cannot be written: its message would be sent or failed once more.
#[test]
fn what_ends_while_nothing_can_be_written_is_written_later() {
    let memory = Memory::default();
    let (mut journal, _) = memory.open();
    for id in 1..=3 {
        journal.take(id, &message(id, 10)).expect("room");
    }
    journal.attempt(1, 0, AttemptStart { at: 1, zone: "east".into() }).expect("written");
    let operations = memory.0.borrow().operations;
    memory.0.borrow_mut().plan = Some(Plan { from: operations, to: usize::MAX, fault: Fault::Clean });
    journal.never_ran(1, 0);
    journal.end(2);
    journal.report(3, ReportedEnd::Failed);
    assert!(journal.is_failing() && journal.take(4, &message(4, 10)).is_err());
    assert_eq!(journal.owed(), 3);
    memory.0.borrow_mut().plan = None;
    assert!(journal.take(5, &message(5, 10)).is_err(), "only a retry finds out that it is back");
    journal.retry().expect("it is back");
    drop(journal);
    let wanted = [(1, (1, false, None)), (3, (0, false, Some(ReportedEnd::Failed)))];
    assert_eq!(restored(&memory), wanted.into());
}
