//! The platform: it sends the endpoint list on watches and accepts delivery reports.

use super::script::numbered;
use super::sockets::{accept, bound, listening, local_address, read_message, write, PATIENCE};
use super::trace::trace;
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Without a report for so long, none is sent again.
const SETTLED_AFTER: Duration = Duration::from_millis(500);
/// Time between two heartbeats on the watches.
const HEARTBEAT: Duration = Duration::from_millis(500);

/// What the platform's threads share with the script.
#[derive(Default)]
struct Shared {
    /// Counts its addresses; only at the last one does it answer.
    address_number: AtomicU32,
    delays_list: AtomicBool,
    list: Mutex<BTreeMap<String, Value>>,
    generation: AtomicU32,
    /// The open watches, each with the number of the address at which it was opened.
    watches: Mutex<Vec<(u32, TcpStream)>>,
    rejects_reports: AtomicBool,
    /// Reports are answered after so many milliseconds.
    answers_reports_after: AtomicU32,
    /// The next connection that brings a report gets no answer.
    drops_next_report: AtomicBool,
    unanswered: Mutex<Vec<TcpStream>>,
    sends_no_heartbeats: AtomicBool,
}

pub struct Platform {
    shared: Arc<Shared>,
    /// Where it listens now.
    pub address: SocketAddr,
    reports: Receiver<Value>,
    watched: Receiver<String>,
    observer: Observer,
}

/// Where the platform's threads put the reports and watches that they receive.
#[derive(Clone)]
struct Observer {
    reports: Sender<Value>,
    watched: Sender<String>,
}

impl Platform {
    pub fn start() -> Self {
        let shared = Arc::new(Shared::default());
        shared.generation.store(1, Ordering::SeqCst);
        let (report_sender, reports) = channel();
        let (watch_sender, watched) = channel();
        let observer = Observer { reports: report_sender, watched: watch_sender };
        let address = shared.listen(&observer);
        let beating = Arc::downgrade(&shared);
        thread::spawn(move || {
            while let Some(shared) = beating.upgrade() {
                if !shared.sends_no_heartbeats.load(Ordering::SeqCst) {
                    shared.send_on_watches("\n");
                }
                drop(shared);
                thread::sleep(HEARTBEAT);
            }
        });
        Platform { shared, address, reports, watched, observer }
    }

    /// The complete list as one event.
    pub fn complete_list(&self) -> String {
        self.shared.complete_list()
    }

    /// Puts an entry on the list, without sending it on the watches yet.
    pub fn set_entry(&self, name: &str, entry: Value) {
        self.shared.list.lock().expect("unpoisoned").insert(name.to_owned(), entry);
    }

    /// Sends changed entries on all watches.
    pub fn send_changes(&self, entries: Vec<Value>) {
        self.next_generation();
        self.shared.send_on_watches(&self.shared.event(false, entries));
    }

    /// Sends changed entries on the watches at the addresses that it has left, and on no other.
    pub fn send_changes_on_old_watches(&self, entries: Vec<Value>) {
        self.next_generation();
        let line = self.shared.event(false, entries);
        let present = self.shared.address_number.load(Ordering::SeqCst);
        for (number, stream) in self.shared.watches.lock().expect("unpoisoned").iter_mut() {
            if *number != present {
                write(stream, chunk(&line).as_bytes()).expect("written");
            }
        }
    }

    /// Counts a change that is not sent on the watches.
    pub fn next_generation(&self) {
        self.shared.generation.fetch_add(1, Ordering::SeqCst);
    }

    /// Plays a line of the script that changes no entry.
    pub fn step(&mut self, words: &[&str]) {
        let set = |flag: &AtomicBool, value| flag.store(value, Ordering::SeqCst);
        match words {
            ["expect", id, state, more @ ..] => {
                let report = self.reports.recv_timeout(PATIENCE).expect("a report");
                assert!(more.iter().all(|m| report[*m] == true), "{more:?} of {report}");
                assert_eq!((report["id"].as_str(), report["state"].as_str()), (Some(*id), Some(*state)));
            }
            ["expect-no-report"] => {
                let report = self.reports.try_recv();
                assert!(report.is_err(), "{report:?}");
            }
            ["expect-all", ids, state] => self.expect_reports(numbered(&[ids]), state),
            ["expect-watch", after] => {
                assert_eq!(self.watched.recv_timeout(PATIENCE).expect("a watch"), *after);
            }
            ["rejects-reports"] => set(&self.shared.rejects_reports, true),
            ["accepts-reports"] => set(&self.shared.rejects_reports, false),
            ["answers-reports-after", delay] => {
                let delay = delay.parse().expect("a number");
                self.shared.answers_reports_after.store(delay, Ordering::SeqCst);
            }
            ["drops-next-report"] => set(&self.shared.drops_next_report, true),
            ["moves"] => self.address = self.shared.listen(&self.observer),
            ["delays-list"] => set(&self.shared.delays_list, true),
            ["releases-list"] => set(&self.shared.delays_list, false),
            ["closes-old-watches"] => self.shared.close_old_watches(),
            ["stops-heartbeats"] => set(&self.shared.sends_no_heartbeats, true),
            _ => panic!("no such step of the platform"),
        }
    }

    /// Expects reports of just these messages, in any order and each with this end. One whose confirmation comes late is sent
    /// again, which does no harm; but that has to cease.
    fn expect_reports(&self, ids: Vec<String>, state: &str) {
        let (begun, mut reported) = (Instant::now(), BTreeSet::new());
        loop {
            let settled = reported.len() == ids.len();
            let patience = if settled { SETTLED_AFTER } else { PATIENCE };
            match self.reports.recv_timeout(patience) {
                Ok(report) => {
                    let id = report["id"].as_str().expect("an id").to_owned();
                    assert_eq!(report["state"].as_str(), Some(state), "{report}");
                    assert!(ids.contains(&id), "{report} is one of {ids:?}");
                    reported.insert(id);
                }
                Err(_) => return assert!(settled, "only {reported:?} of {ids:?} were reported"),
            }
            assert!(begun.elapsed() < PATIENCE, "reports are repeated without end");
        }
    }
}

impl Shared {
    /// Listens at a further address.
    fn listen(self: &Arc<Self>, observer: &Observer) -> SocketAddr {
        let number = self.address_number.fetch_add(1, Ordering::SeqCst) + 1;
        let socket = bound();
        let address = local_address(&socket);
        let (shared, observer) = (self.clone(), Mutex::new(observer.clone()));
        accept(listening(socket, 64), move |stream| {
            let observer = observer.lock().expect("unpoisoned").clone();
            shared.serve(number, stream, &observer);
        });
        address
    }

    fn event(&self, complete: bool, instances: Vec<Value>) -> String {
        let generation = self.generation.load(Ordering::SeqCst);
        json!({"generation": generation, "reset": complete, "instances": instances}).to_string() + "\n"
    }

    fn complete_list(&self) -> String {
        let all = self.list.lock().expect("unpoisoned").values().cloned().collect();
        self.event(true, all)
    }

    fn send_on_watches(&self, line: &str) {
        let chunk = chunk(line);
        let mut watches = self.watches.lock().expect("unpoisoned");
        watches.retain_mut(|(_, stream)| write(stream, chunk.as_bytes()).is_ok());
    }

    /// Closes the watches that were opened at an address that it has left.
    fn close_old_watches(&self) {
        let present = self.address_number.load(Ordering::SeqCst);
        let mut watches = self.watches.lock().expect("unpoisoned");
        watches.retain(|(number, stream)| *number == present || stream.shutdown(Shutdown::Both).is_err());
    }

    fn serve(&self, number: u32, mut stream: TcpStream, observer: &Observer) {
        let mut reader = BufReader::new(stream.try_clone().expect("a handle"));
        while let Some(request) = read_message(&mut reader) {
            if number != self.address_number.load(Ordering::SeqCst) {
                return;
            }
            if request.head.starts_with("GET ") {
                return self.open_watch(number, stream, &request.head, observer);
            }
            if self.drops_next_report.swap(false, Ordering::SeqCst) {
                return self.unanswered.lock().expect("unpoisoned").push(stream);
            }
            let status = self.take_reports(&request.body, observer);
            let delay = self.answers_reports_after.load(Ordering::SeqCst);
            thread::sleep(Duration::from_millis(delay.into()));
            // The write fails if the forwarder has ended, which the script checks where it matters.
            let _ = stream.write_all(format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n").as_bytes());
        }
    }

    fn open_watch(&self, number: u32, mut stream: TcpStream, head: &str, observer: &Observer) {
        let after = head.split("after=").nth(1).and_then(|a| a.split(' ').next()).unwrap_or("-");
        // Sending and writing fail if the scenario or the forwarder has ended, which is no fault here.
        let _ = observer.watched.send(after.to_owned());
        while self.delays_list.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(2));
        }
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        let line = self.complete_list();
        let _ = stream.write_all(chunk(&line).as_bytes());
        self.watches.lock().expect("unpoisoned").push((number, stream));
    }

    fn take_reports(&self, body: &[u8], observer: &Observer) -> &'static str {
        if self.rejects_reports.load(Ordering::SeqCst) {
            return "500 No";
        }
        let lines: Vec<&str> = std::str::from_utf8(body).expect("text").lines().collect();
        for line in &lines {
            let mut report: Value = serde_json::from_str(line).expect("a report");
            trace(format_args!("report {line}"));
            report["alone"] = (lines.len() == 1).into();
            // The scenario may have ended.
            let _ = observer.reports.send(report);
        }
        "204 No Content"
    }
}

fn chunk(line: &str) -> String {
    format!("{:x}\r\n{line}\r\n", line.len())
}
