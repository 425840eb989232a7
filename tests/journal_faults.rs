//! Fault injection for the journal's storage. As in SQLite's tests, each storage operation of a run fails once; further
//! runs fail several operations in a row, chosen by a seed. After each run the journal is opened again, as after a
//! kill, and compared with what was acknowledged.

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
/// The size limit of the journal, in bytes.
const LIMIT: u64 = 40_000;
/// The number of messages that a run tries to record.
const MESSAGES: usize = 150;

/// How an operation fails.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    /// The operation changes nothing.
    Clean,
    /// An append writes half of its bytes, and the truncation that follows fails too.
    Torn,
}

/// The operations that fail: from `from` up to, but not including, `to`, counted from 0.
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
    /// Counts an operation and returns its fault, if the plan has one for it.
    fn next_fault(&self) -> Option<Fault> {
        let mut disk = self.0.borrow_mut();
        let operation = disk.operations;
        disk.operations += 1;
        disk.plan.filter(|plan| (plan.from..plan.to).contains(&operation)).map(|plan| plan.fault)
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
        assert!(disk.files.insert(name.into(), Vec::new()).is_none(), "{name} exists already");
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
        let newest = disk.newest.clone().expect("a file was created");
        disk.files.get_mut(&newest).expect("the file exists").extend_from_slice(&bytes[..written]);
        fault.map_or(Ok(()), |_| Err(io_error()))
    }

    fn truncate_newest(&mut self, size: u64) -> io::Result<()> {
        self.fail_if_planned()?;
        let mut disk = self.0.borrow_mut();
        if std::mem::take(&mut disk.truncation_fails) {
            return Err(io_error());
        }
        let newest = disk.newest.clone().expect("a file was created");
        disk.files.get_mut(&newest).expect("the file exists").truncate(size as usize);
        Ok(())
    }

    fn truncate(&mut self, name: &str, size: u64) -> io::Result<()> {
        self.fail_if_planned()?;
        self.0.borrow_mut().files.get_mut(name).expect("the file exists").truncate(size as usize);
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.fail_if_planned()?;
        self.0.borrow_mut().files.remove(name);
        Ok(())
    }
}

/// The acknowledged state of a message that is not completed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Acknowledged {
    attempts: u32,
    attempt_in_flight: bool,
    report: Option<ReportedEnd>,
}

type AcknowledgedMessages = BTreeMap<u64, Acknowledged>;

fn message(id: u64, size: usize) -> JournaledMessage {
    let message =
        JournaledMessage { request_id: format!("m{id}"), class: "notice".into(), ..Default::default() };
    JournaledMessage { body: vec![b'x'; size], deadline: 9, ..message }
}

/// Records a random sequence of messages and of what happens to them, chosen by the seed. Returns what was acknowledged.
fn record_random_messages(
    journal: &mut Journal,
    seed: u64,
    mut after_each: impl FnMut(&mut Journal),
) -> AcknowledgedMessages {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut acknowledged = AcknowledgedMessages::new();
    for id in 1..=MESSAGES as u64 {
        if journal.record_received(id, &message(id, random.usize(0..900))).is_ok() {
            acknowledged.insert(id, Acknowledged::default());
        }
        for _ in 0..2 {
            let Some(id) = random.choice(acknowledged.keys().copied().collect::<Vec<_>>()) else { break };
            let Acknowledged { attempts, attempt_in_flight, report } = acknowledged[&id];
            match random.u32(0..6) {
                0 | 1 if report.is_none() => {
                    let start = AttemptStart { started_at: id, zone: "east".into() };
                    if journal.record_attempt(id, attempts, start).is_ok() {
                        acknowledged.insert(
                            id,
                            Acknowledged { attempts: attempts + 1, attempt_in_flight: true, report: None },
                        );
                    }
                }
                2 if attempt_in_flight => {
                    journal.record_never_ran(id, attempts - 1);
                    acknowledged.insert(id, Acknowledged { attempts, attempt_in_flight: false, report });
                }
                3 if report.is_none() => {
                    journal.record_undelivered(id, ReportedEnd::Failed);
                    acknowledged.insert(
                        id,
                        Acknowledged { attempts, attempt_in_flight, report: Some(ReportedEnd::Failed) },
                    );
                }
                4 | 5 => {
                    journal.record_completed(id);
                    acknowledged.remove(&id);
                }
                _ => {}
            }
        }
        after_each(journal);
    }
    acknowledged
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

/// The result of a run.
struct FaultRun {
    acknowledged: AcknowledgedMessages,
    /// The messages that the journal restores when it is opened again.
    restored: AcknowledgedMessages,
    /// The number of storage operations of the run.
    operations: usize,
}

/// Records a random sequence while the storage fails by a plan. Then the storage works again, the journal is dropped as
/// by a kill and opened again.
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

/// Guards against the loss of an acknowledged record, and against restoring a rejected one, if an operation fails.
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

/// Guards against the loss of an acknowledged record, and against restoring a rejected one, if several operations in a row
/// fail.
#[test]
fn what_was_acknowledged_is_restored_if_several_operations_in_a_row_fail() {
    for seed in 0..60 {
        let mut random = fastrand::Rng::with_seed(seed);
        let from = random.usize(0..400);
        let fault = if random.bool() { Fault::Clean } else { Fault::Torn };
        let plan = FaultPlan { from, to: from + random.usize(2..120), fault };
        let run = run_with_faults(plan, seed);
        assert_eq!(run.restored, run.acknowledged, "seed {seed}, {plan:?}");
    }
}

/// Guards against the loss of a completion that cannot be written at first: the message would be sent again, or reported as
/// failed again.
#[test]
fn events_during_a_failure_are_written_once_the_journal_works_again() {
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
    journal.record_undelivered(3, ReportedEnd::Failed);
    assert!(journal.is_failing() && journal.record_received(4, &message(4, 10)).is_err());
    assert_eq!(journal.unwritten_records(), 3);
    memory.0.borrow_mut().plan = None;
    assert!(
        journal.record_received(5, &message(5, 10)).is_err(),
        "only a retry finds out that the storage works again"
    );
    journal.retry().expect("the storage works again");
    drop(journal);
    let after_one_attempt = Acknowledged { attempts: 1, ..Acknowledged::default() };
    let failed = Acknowledged { report: Some(ReportedEnd::Failed), ..Acknowledged::default() };
    assert_eq!(restored(&memory), [(1, after_one_attempt), (3, failed)].into());
}
