//! The journal on a storage that fails: each of its operations fails once, at each place, as SQLite's tests do; and for whole
//! stretches, by a seed. After each run the process counts as killed, and the journal is opened again and compared with what
//! was acknowledged.

use cedarbridge::journal::storage::Storage;
use cedarbridge::journal::{
    AttemptStart, ClockReading, Journal, JournaledMessage, ReportedEnd, RestoredJournal,
    UnreadableSegmentPolicy,
};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;

const NOW: ClockReading = ClockReading { boot_id: 7, monotonic_us: 1_000, wall_us: 5_000_000 };
const LIMIT: u64 = 40_000;
const STEPS: usize = 150;

/// How an operation fails.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    /// Nothing is done.
    Clean,
    /// An append writes half, and the cut that follows fails too.
    Torn,
}

/// Which operations fail, counted from 0.
#[derive(Clone, Copy, Debug)]
struct FaultPlan {
    from: usize,
    to: usize,
    fault: Fault,
}

#[derive(Default)]
struct MemoryFiles {
    files: BTreeMap<String, Vec<u8>>,
    newest: Option<String>,
    operations: usize,
    plan: Option<FaultPlan>,
    truncation_fails: bool,
}

#[derive(Clone, Default)]
struct MemoryStorage(Rc<RefCell<MemoryFiles>>);

fn io_error() -> io::Error {
    io::Error::from_raw_os_error(5)
}

impl MemoryStorage {
    /// Counts an operation; returns how it fails, if it does.
    fn next_fault(&self) -> Option<Fault> {
        let mut disk = self.0.borrow_mut();
        let at = disk.operations;
        disk.operations += 1;
        disk.plan.filter(|plan| (plan.from..plan.to).contains(&at)).map(|plan| plan.fault)
    }

    fn fail_if_planned(&self) -> io::Result<()> {
        self.next_fault().map_or(Ok(()), |_| Err(io_error()))
    }

    fn open(&self) -> (Journal, RestoredJournal) {
        let unreadable = UnreadableSegmentPolicy::Fail;
        Journal::open(Box::new(self.clone()), LIMIT, || NOW, 3, unreadable).expect("opens")
    }
}

impl Storage for MemoryStorage {
    fn list(&mut self) -> io::Result<Vec<(String, u64)>> {
        self.fail_if_planned()?;
        Ok(self.0.borrow().files.iter().map(|(name, bytes)| (name.clone(), bytes.len() as u64)).collect())
    }

    fn read(&mut self, name: &str) -> io::Result<Vec<u8>> {
        self.fail_if_planned()?;
        self.0.borrow().files.get(name).cloned().ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        self.fail_if_planned()?;
        let mut disk = self.0.borrow_mut();
        assert!(disk.files.insert(name.into(), Vec::new()).is_none(), "{name} was there");
        disk.newest = Some(name.into());
        Ok(())
    }

    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        let fault = self.next_fault();
        let mut disk = self.0.borrow_mut();
        let written = match fault {
            Some(Fault::Clean) => 0,
            Some(Fault::Torn) => bytes.len() / 2,
            None => bytes.len(),
        };
        disk.truncation_fails = fault == Some(Fault::Torn);
        let newest = disk.newest.clone().expect("created");
        disk.files.get_mut(&newest).expect("there").extend_from_slice(&bytes[..written]);
        fault.map_or(Ok(()), |_| Err(io_error()))
    }

    fn truncate_newest(&mut self, size: u64) -> io::Result<()> {
        self.fail_if_planned()?;
        let mut disk = self.0.borrow_mut();
        if std::mem::take(&mut disk.truncation_fails) {
            return Err(io_error());
        }
        let newest = disk.newest.clone().expect("created");
        disk.files.get_mut(&newest).expect("there").truncate(size as usize);
        Ok(())
    }

    fn truncate(&mut self, name: &str, size: u64) -> io::Result<()> {
        self.fail_if_planned()?;
        self.0.borrow_mut().files.get_mut(name).expect("there").truncate(size as usize);
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.fail_if_planned()?;
        self.0.borrow_mut().files.remove(name);
        Ok(())
    }
}

/// What was acknowledged of a message that is not completed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Acknowledged {
    attempts: u32,
    attempt_in_flight: bool,
    report: Option<ReportedEnd>,
}

type AcknowledgedMessages = BTreeMap<u64, Acknowledged>;

fn message(id: u64, size: usize) -> JournaledMessage {
    let head =
        JournaledMessage { request_id: format!("m{id}"), class: "notice".into(), ..Default::default() };
    JournaledMessage { body: vec![b'x'; size], deadline: 9, ..head }
}

/// Records a random sequence by its seed; returns what must be there afterwards.
fn record_random_messages(
    journal: &mut Journal,
    seed: u64,
    mut after_each: impl FnMut(&mut Journal),
) -> AcknowledgedMessages {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut known = AcknowledgedMessages::new();
    for id in 1..=STEPS as u64 {
        if journal.record_received(id, &message(id, random.usize(0..900))).is_ok() {
            known.insert(id, Acknowledged::default());
        }
        for _ in 0..2 {
            let Some(id) = random.choice(known.keys().copied().collect::<Vec<_>>()) else { break };
            let Acknowledged { attempts, attempt_in_flight, report } = known[&id];
            match random.u32(0..6) {
                0 | 1 if report.is_none() => {
                    let start = AttemptStart { started_at: id, zone: "east".into() };
                    if journal.record_attempt(id, attempts, start).is_ok() {
                        known.insert(
                            id,
                            Acknowledged { attempts: attempts + 1, attempt_in_flight: true, report: None },
                        );
                    }
                }
                2 if attempt_in_flight => {
                    journal.record_never_ran(id, attempts - 1);
                    known.insert(id, Acknowledged { attempts, attempt_in_flight: false, report });
                }
                3 if report.is_none() => {
                    journal.record_end(id, ReportedEnd::Failed);
                    known.insert(
                        id,
                        Acknowledged { attempts, attempt_in_flight, report: Some(ReportedEnd::Failed) },
                    );
                }
                4 | 5 => {
                    journal.record_completed(id);
                    known.remove(&id);
                }
                _ => {}
            }
        }
        after_each(journal);
    }
    known
}

fn restored(memory: &MemoryStorage) -> AcknowledgedMessages {
    let (_, restored) = memory.open();
    let acknowledged = |message: &JournaledMessage| Acknowledged {
        attempts: message.progress.attempts,
        attempt_in_flight: message.progress.attempt_in_flight,
        report: message.progress.report,
    };
    restored.messages.iter().map(|(id, message)| (*id, acknowledged(message))).collect()
}

/// What a run came to.
struct FaultRun {
    acknowledged: AcknowledgedMessages,
    /// What is there after a kill.
    restored: AcknowledgedMessages,
    /// Storage operations of the run.
    operations: usize,
}

/// Records a random sequence under a fault plan, then lets the storage work again, kills the process and opens the journal again.
fn run_with_faults(plan: FaultPlan, seed: u64) -> FaultRun {
    let memory = MemoryStorage::default();
    let (mut journal, _) = memory.open();
    memory.0.borrow_mut().plan = Some(plan);
    let acknowledged = record_random_messages(&mut journal, seed, |journal| drop(journal.retry()));
    let operations = memory.0.borrow().operations;
    memory.0.borrow_mut().plan = None;
    journal.retry().expect("the storage works again");
    assert_eq!(journal.unwritten_records(), 0);
    assert!(journal.disk_bytes() <= LIMIT);
    drop(journal);
    FaultRun { acknowledged, restored: restored(&memory), operations }
}

/// Guards against what is acknowledged and then lost, and against what is rejected and then restored.
#[test]
fn what_was_acknowledged_is_restored_whichever_operation_fails_once() {
    for fault in [Fault::Clean, Fault::Torn] {
        for from in 0.. {
            let run = run_with_faults(FaultPlan { from, to: from + 1, fault }, 11);
            assert_eq!(run.restored, run.acknowledged, "operation {from}, {fault:?}");
            if from >= run.operations {
                break;
            }
        }
    }
}

/// The same for stretches in which nothing works.
#[test]
fn what_was_acknowledged_is_restored_after_stretches_of_failure() {
    for seed in 0..60 {
        let mut random = fastrand::Rng::with_seed(seed);
        let from = random.usize(0..400);
        let fault = if random.bool() { Fault::Clean } else { Fault::Torn };
        let plan = FaultPlan { from, to: from + random.usize(2..120), fault };
        let run = run_with_faults(plan, seed);
        assert_eq!(run.restored, run.acknowledged, "seed {seed}, {plan:?}");
    }
}

/// Guards against a completion that is lost as it cannot be written: its message would be sent or failed once more.
#[test]
fn what_happens_while_the_journal_fails_is_written_once_it_works_again() {
    let memory = MemoryStorage::default();
    let (mut journal, _) = memory.open();
    for id in 1..=3 {
        journal.record_received(id, &message(id, 10)).expect("space");
    }
    journal.record_attempt(1, 0, AttemptStart { started_at: 1, zone: "east".into() }).expect("written");
    let operations = memory.0.borrow().operations;
    memory.0.borrow_mut().plan = Some(FaultPlan { from: operations, to: usize::MAX, fault: Fault::Clean });
    journal.record_never_ran(1, 0);
    journal.record_completed(2);
    journal.record_end(3, ReportedEnd::Failed);
    assert!(journal.is_failing() && journal.record_received(4, &message(4, 10)).is_err());
    assert_eq!(journal.unwritten_records(), 3);
    memory.0.borrow_mut().plan = None;
    assert!(
        journal.record_received(5, &message(5, 10)).is_err(),
        "only a retry finds out that it works again"
    );
    journal.retry().expect("it works again");
    drop(journal);
    let after_one_attempt = Acknowledged { attempts: 1, ..Acknowledged::default() };
    let failed = Acknowledged { report: Some(ReportedEnd::Failed), ..Acknowledged::default() };
    assert_eq!(restored(&memory), [(1, after_one_attempt), (3, failed)].into());
}
