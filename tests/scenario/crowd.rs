//! Crowds of misbehaving clients, a load of honest ones and the memory of the processes, observed beside the script.

use super::sockets::poll_until;
use cedarbridge_crowd::{Crowd, CrowdReport, HonestLoad, HonestReport, LoadControl, ProcessMemory, Shape};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// How long after its connect a misbehaving client is owed an error or the end of its connection.
const CROWD_TIMEOUT: Duration = Duration::from_secs(3);
/// The interval at which the memory of the processes is read.
const MEMORY_POLL_INTERVAL: Duration = Duration::from_millis(2);
/// A megabyte, as the limits count it.
const MEGABYTE: u64 = 1_000_000;

/// A crowd that runs beside the script.
struct RunningCrowd {
    shape: Shape,
    thread: JoinHandle<CrowdReport>,
}

/// A load of honest clients that runs beside the script.
struct RunningLoad {
    control: Arc<LoadControl>,
    thread: JoinHandle<HonestReport>,
}

/// The crowds and the honest load of a scenario.
#[derive(Default)]
pub struct Clients {
    crowds: Vec<RunningCrowd>,
    load: Option<RunningLoad>,
    started: usize,
    /// The ids of all messages that the forwarder has accepted from them.
    pub accepted: Vec<String>,
}

impl Clients {
    /// Starts a crowd, with `name=value` words as its options.
    pub fn start_crowd(&mut self, address: SocketAddr, words: &[&str]) {
        let option = |name: &str, default: usize| {
            let value = words.iter().find_map(|word| word.strip_prefix(name)?.strip_prefix('='));
            value.map_or(default, |value| value.parse().expect("an option of a crowd is a number"))
        };
        let shape: Shape = words[0].parse().expect("the shape of a crowd");
        self.started += 1;
        let crowd = Crowd {
            address,
            shape,
            clients: words[1].parse().expect("the number of clients"),
            waves: option("waves", 1),
            flood_time: Duration::from_millis(option("time", 2_000) as u64),
            name: format!("crowd{}", self.started),
        };
        let thread = thread::spawn(move || async_io::block_on(crowd.run()));
        self.crowds.push(RunningCrowd { shape, thread });
    }

    /// Waits for all crowds, and expects that each client got an answer or the end of its connection in time.
    pub fn expect_crowds_answered(&mut self) {
        for crowd in self.crowds.drain(..) {
            let report = crowd.thread.join().expect("the crowd has not failed");
            eprintln!(
                "crowd {:?}: {:?}, {} closed, {} unanswered, slowest {:?}",
                crowd.shape, report.statuses, report.closed, report.unanswered, report.slowest
            );
            assert_eq!(report.unanswered, 0, "{:?}: clients were left without an answer", crowd.shape);
            let is_in_time = report.slowest <= CROWD_TIMEOUT || crowd.shape == Shape::ReadsNothing;
            assert!(is_in_time, "{:?}: an answer came after {:?}", crowd.shape, report.slowest);
            self.accepted.extend(report.accepted);
        }
    }

    /// Starts a load of honest clients.
    pub fn start_load(&mut self, address: SocketAddr, rate: &str, class: &str) {
        let control = Arc::<LoadControl>::default();
        self.started += 1;
        let load = HonestLoad {
            address,
            rate: rate.parse().expect("requests per second"),
            class: class.to_owned(),
            name: format!("honest{}", self.started),
        };
        let thread_control = control.clone();
        let thread = thread::spawn(move || async_io::block_on(load.run(&thread_control)));
        self.load = Some(RunningLoad { control, thread });
    }

    /// Tells the load whether the forwarder is available.
    pub fn set_available(&self, available: bool) {
        self.load.iter().for_each(|load| load.control.set_available(available));
    }

    /// Ends the load, and expects that each of its requests was answered in time.
    pub fn expect_load_answered(&mut self) {
        let RunningLoad { control, thread } = self.load.take().expect("a load was started");
        control.end();
        let report = thread.join().expect("the load has not failed");
        eprintln!(
            "honest: {} sent, {} accepted, {} rejected, {} excused, slowest {:?}",
            report.sent,
            report.accepted.len(),
            report.rejected,
            report.excused,
            report.slowest
        );
        assert!(report.failed.is_empty(), "without an answer: {:?}", report.failed);
        assert!(report.late.is_empty(), "answered late: {:?}", report.late);
        assert!(report.accepted.len() > report.rejected, "{} rejected of {}", report.rejected, report.sent);
        self.accepted.extend(report.accepted);
    }
}

/// Watches the memory of the forwarder's processes together, in a thread of its own.
pub struct MemoryWatch {
    process_ids: Arc<Mutex<Vec<u32>>>,
    peak_bytes: Arc<AtomicU64>,
    ended: Arc<AtomicBool>,
}

impl MemoryWatch {
    /// Starts to watch no process.
    pub fn start() -> Self {
        let watch =
            MemoryWatch { process_ids: Arc::default(), peak_bytes: Arc::default(), ended: Arc::default() };
        let (process_ids, peak_bytes, ended) =
            (watch.process_ids.clone(), watch.peak_bytes.clone(), watch.ended.clone());
        thread::spawn(move || {
            while !ended.load(Ordering::SeqCst) {
                let (resident, peak) = read_memory(&process_ids.lock().expect("unpoisoned"));
                peak_bytes.fetch_max(resident.max(peak), Ordering::SeqCst);
                thread::sleep(MEMORY_POLL_INTERVAL);
            }
        });
        watch
    }

    /// Adds a process to those that are watched.
    pub fn add(&self, process_id: u32) {
        self.process_ids.lock().expect("unpoisoned").push(process_id);
    }

    /// Expects that all processes together, and each by itself, have never taken more than so many megabytes.
    pub fn expect_peak_at_most(&self, megabytes: u64) {
        let (_, peak) = read_memory(&self.process_ids.lock().expect("unpoisoned"));
        let peak = self.peak_bytes.load(Ordering::SeqCst).max(peak);
        eprintln!("peak memory: {} kB", peak / 1000);
        assert!(peak <= megabytes * MEGABYTE, "{peak} bytes at the peak, {megabytes} MB are allowed");
    }

    /// Waits until all processes together take at most so many megabytes.
    pub fn wait_until_at_most(&self, megabytes: u64) {
        poll_until("memory that falls again", || {
            let (resident, _) = read_memory(&self.process_ids.lock().expect("unpoisoned"));
            (resident <= megabytes * MEGABYTE).then_some(())
        });
    }
}

impl Drop for MemoryWatch {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::SeqCst);
    }
}

/// What the processes take together now, and the most that one of them has taken, in bytes.
fn read_memory(process_ids: &[u32]) -> (u64, u64) {
    let memory: Vec<ProcessMemory> = process_ids.iter().filter_map(|id| ProcessMemory::of(*id)).collect();
    let resident = memory.iter().map(|memory| memory.resident_bytes).sum();
    (resident, memory.iter().map(|memory| memory.peak_bytes).max().unwrap_or_default())
}
