//! The platform, which sends the endpoint list on watches and receives delivery reports.

use super::script::expand_ids;
use super::sockets::{
    bound_socket, listen, local_address, read_message, serve_connections, write, STEP_TIMEOUT,
};
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

/// If no delivery report arrives in this time, the forwarder is taken to have stopped repeating reports.
const REPORTS_SETTLE_TIME: Duration = Duration::from_millis(500);
/// The time from a copy of the response before to the response itself.
const OWN_RESPONSE_DELAY: Duration = Duration::from_millis(20);
/// The time between two heartbeats on the watches.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// The state that the platform's threads share with the script.
#[derive(Default)]
struct SharedState {
    /// How many addresses the platform has had. This is also the number of its present address, from 1; requests at
    /// addresses with lower numbers get no answer.
    address_number: AtomicU32,
    /// Whether the complete list is held back on new watches.
    delays_list: AtomicBool,
    /// The entries of the endpoint list by endpoint name.
    list: Mutex<BTreeMap<String, Value>>,
    /// The head that answers requests for watches instead of a list; `None` to accept them.
    watch_rejection: Mutex<Option<String>>,
    /// The version of the list, which each change increments.
    generation: AtomicU32,
    /// The open watches.
    watches: Mutex<Vec<OpenWatch>>,
    /// The number of the watch that was opened last.
    last_watch: AtomicU32,
    /// Whether delivery reports are answered with a 500.
    rejects_reports: AtomicBool,
    /// The delay of answers to delivery reports, in milliseconds.
    report_answer_delay_ms: AtomicU32,
    /// Whether the next delivery report gets no answer.
    drops_next_report: AtomicBool,
    /// Whether the response to a further request on a connection follows a copy of the response before.
    copies_responses: AtomicBool,
    /// The connections of delivery reports that get no answer; they stay open.
    unanswered: Mutex<Vec<TcpStream>>,
    sends_no_heartbeats: AtomicBool,
}

/// A watch whose connection is open.
struct OpenWatch {
    /// Distinguishes the watches of a scenario.
    id: u32,
    /// The number of the address at which it was opened.
    address_number: u32,
    stream: TcpStream,
    /// Whether the complete list was sent on it. Nothing else may come before that.
    has_list: bool,
}

/// The platform of a scenario.
pub struct Platform {
    shared: Arc<SharedState>,
    /// Its present address.
    pub address: SocketAddr,
    /// The received delivery reports that the script has not expected yet.
    reports: Receiver<Value>,
    /// The generation that each watch request names, or `-`.
    watch_requests: Receiver<String>,
    request_sender: RequestSender,
}

/// Passes the delivery reports and watch requests that the platform's threads receive to the script.
#[derive(Clone)]
struct RequestSender {
    reports: Sender<Value>,
    watch_requests: Sender<String>,
}

impl Platform {
    /// Starts the platform with an empty list of generation 1.
    pub fn start() -> Self {
        let shared = Arc::new(SharedState::default());
        shared.generation.store(1, Ordering::SeqCst);
        let (report_sender, reports) = channel();
        let (watch_sender, watch_requests) = channel();
        let request_sender = RequestSender { reports: report_sender, watch_requests: watch_sender };
        let address = shared.listen(&request_sender);
        let weak_shared = Arc::downgrade(&shared);
        thread::spawn(move || {
            while let Some(shared) = weak_shared.upgrade() {
                if !shared.sends_no_heartbeats.load(Ordering::SeqCst) {
                    shared.send_on_watches("\n");
                }
                drop(shared);
                thread::sleep(HEARTBEAT_INTERVAL);
            }
        });
        Platform { shared, address, reports, watch_requests, request_sender }
    }

    /// Returns the event that contains the complete list.
    pub fn complete_list(&self) -> String {
        self.shared.complete_list()
    }

    /// Sets an entry of the list without sending it on the watches.
    pub fn set_entry(&self, name: &str, entry: Value) {
        self.shared.list.lock().expect("unpoisoned").insert(name.to_owned(), entry);
    }

    /// Sends changed entries on all watches.
    pub fn send_changes(&self, entries: Vec<Value>) {
        self.increment_generation();
        self.shared.send_on_watches(&self.shared.event(false, entries));
    }

    /// Sends changed entries only on the watches at former addresses.
    pub fn send_changes_on_old_watches(&self, entries: Vec<Value>) {
        self.increment_generation();
        let line = self.shared.event(false, entries);
        let present_number = self.shared.address_number.load(Ordering::SeqCst);
        for watch in self.shared.watches.lock().expect("unpoisoned").iter_mut() {
            if watch.address_number != present_number {
                write(&mut watch.stream, http_chunk(&line).as_bytes()).expect("written");
            }
        }
    }

    /// The ids of the messages in the delivery reports that the script has not expected yet.
    pub fn take_reported_ids(&self) -> impl Iterator<Item = String> + '_ {
        self.reports.try_iter().filter_map(|report| report["id"].as_str().map(str::to_owned))
    }

    /// Increments the generation of the list.
    pub fn increment_generation(&self) {
        self.shared.generation.fetch_add(1, Ordering::SeqCst);
    }

    /// Runs a line of the script that changes no entry of the list.
    pub fn step(&mut self, words: &[&str]) {
        let set = |flag: &AtomicBool, value| flag.store(value, Ordering::SeqCst);
        match words {
            ["expect", id, state, more @ ..] => {
                let report =
                    self.reports.recv_timeout(STEP_TIMEOUT).expect("a delivery report arrives in time");
                assert!(more.iter().all(|m| report[*m] == true), "{more:?} of {report}");
                assert_eq!((report["id"].as_str(), report["state"].as_str()), (Some(*id), Some(*state)));
            }
            ["expect-no-report"] => {
                let report = self.reports.try_recv();
                assert!(report.is_err(), "{report:?}");
            }
            ["expect-all", ids @ .., state] => self.expect_reports(expand_ids(ids), state),
            ["expect-watch", after] => self.expect_watch(after, STEP_TIMEOUT),
            ["expect-watch", after, "within", time] => {
                let time = time.parse().expect("`within` takes milliseconds");
                self.expect_watch(after, Duration::from_millis(time));
            }
            ["rejects-watches", headers @ ..] => self.shared.reject_watches(headers),
            ["accepts-watches"] => *self.shared.watch_rejection.lock().expect("unpoisoned") = None,
            ["closes-watches"] => self.shared.close_watches(),
            ["rejects-reports"] => set(&self.shared.rejects_reports, true),
            ["accepts-reports"] => set(&self.shared.rejects_reports, false),
            ["answers-reports-after", delay] => {
                let delay = delay.parse().expect("`answers-reports-after` takes milliseconds");
                self.shared.report_answer_delay_ms.store(delay, Ordering::SeqCst);
            }
            ["copies-responses"] => set(&self.shared.copies_responses, true),
            ["drops-next-report"] => set(&self.shared.drops_next_report, true),
            ["moves"] => self.address = self.shared.listen(&self.request_sender),
            ["delays-list"] => set(&self.shared.delays_list, true),
            ["releases-list"] => set(&self.shared.delays_list, false),
            ["closes-old-watches"] => self.shared.close_old_watches(),
            ["stops-heartbeats"] => set(&self.shared.sends_no_heartbeats, true),
            _ => panic!("no such step of the platform"),
        }
    }

    fn expect_watch(&self, after: &str, timeout: Duration) {
        assert_eq!(self.watch_requests.recv_timeout(timeout).expect("a watch request"), after);
    }

    /// Expects reports of exactly these messages, in any order and each with this state. A report may be repeated, as the
    /// forwarder sends it again if its confirmation is late; the repetitions must end.
    fn expect_reports(&self, ids: Vec<String>, state: &str) {
        let (started_at, mut reported) = (Instant::now(), BTreeSet::new());
        loop {
            let all_reported = reported.len() == ids.len();
            let timeout = if all_reported { REPORTS_SETTLE_TIME } else { STEP_TIMEOUT };
            match self.reports.recv_timeout(timeout) {
                Ok(report) => {
                    let id = report["id"].as_str().expect("a report has an id").to_owned();
                    assert_eq!(report["state"].as_str(), Some(state), "{report}");
                    assert!(ids.contains(&id), "{report} is not one of {ids:?}");
                    reported.insert(id);
                }
                Err(_) => return assert!(all_reported, "only {reported:?} of {ids:?} were reported"),
            }
            assert!(started_at.elapsed() < STEP_TIMEOUT, "reports are repeated without end");
        }
    }
}

impl SharedState {
    /// Listens at a new address, which becomes the present one.
    fn listen(self: &Arc<Self>, request_sender: &RequestSender) -> SocketAddr {
        let number = self.address_number.fetch_add(1, Ordering::SeqCst) + 1;
        let socket = bound_socket();
        let address = local_address(&socket);
        let (shared, request_sender) = (self.clone(), Mutex::new(request_sender.clone()));
        serve_connections(listen(socket, 64), move |stream| {
            let request_sender = request_sender.lock().expect("unpoisoned").clone();
            shared.serve(number, stream, &request_sender);
        });
        address
    }

    /// Returns an event with entries: all of the list if it is complete, else the changed ones.
    fn event(&self, complete: bool, instances: Vec<Value>) -> String {
        let generation = self.generation.load(Ordering::SeqCst);
        json!({"generation": generation, "reset": complete, "instances": instances}).to_string() + "\n"
    }

    fn complete_list(&self) -> String {
        let entries = self.list.lock().expect("unpoisoned").values().cloned().collect();
        self.event(true, entries)
    }

    /// Sends a line on all watches that have the list, and removes those that the forwarder has closed.
    fn send_on_watches(&self, line: &str) {
        let chunk = http_chunk(line);
        let mut watches = self.watches.lock().expect("unpoisoned");
        watches.retain_mut(|watch| !watch.has_list || write(&mut watch.stream, chunk.as_bytes()).is_ok());
    }

    /// Answers requests for watches with a 503 from here on, with these headers.
    fn reject_watches(&self, headers: &[&str]) {
        let headers: String = headers.iter().map(|header| format!("{header}\r\n")).collect();
        let head = format!("HTTP/1.1 503 No\r\nContent-Length: 0\r\n{headers}\r\n");
        *self.watch_rejection.lock().expect("unpoisoned") = Some(head);
    }

    /// Closes all watches.
    fn close_watches(&self) {
        for watch in self.watches.lock().expect("unpoisoned").drain(..) {
            // Fails if the forwarder has closed the watch.
            let _ = watch.stream.shutdown(Shutdown::Both);
        }
    }

    /// Closes the watches at former addresses.
    fn close_old_watches(&self) {
        let present_number = self.address_number.load(Ordering::SeqCst);
        let is_kept = |watch: &OpenWatch| {
            watch.address_number == present_number || watch.stream.shutdown(Shutdown::Both).is_err()
        };
        self.watches.lock().expect("unpoisoned").retain(is_kept);
    }

    /// Serves a connection at the address of the given number.
    fn serve(&self, number: u32, mut stream: TcpStream, request_sender: &RequestSender) {
        let mut reader = BufReader::new(stream.try_clone().expect("a handle"));
        let mut previous_response: Option<String> = None;
        while let Some(request) = read_message(&mut reader) {
            if number != self.address_number.load(Ordering::SeqCst) {
                return;
            }
            if request.head.starts_with("GET ") {
                return self.open_watch(number, stream, &request.head, request_sender);
            }
            if self.drops_next_report.swap(false, Ordering::SeqCst) {
                return self.unanswered.lock().expect("unpoisoned").push(stream);
            }
            let status = self.receive_reports(&request.body, request_sender);
            let delay = self.report_answer_delay_ms.load(Ordering::SeqCst);
            thread::sleep(Duration::from_millis(delay.into()));
            // A write fails if the forwarder has ended. A script in which it must not end checks this with a later line.
            if let Some(copy) = previous_response.filter(|_| self.copies_responses.load(Ordering::SeqCst)) {
                let _ = stream.write_all(copy.as_bytes());
                thread::sleep(OWN_RESPONSE_DELAY);
            }
            let response = format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n");
            let _ = stream.write_all(response.as_bytes());
            previous_response = Some(response);
        }
    }

    /// Responds to a watch request with the complete list and keeps its connection for later events. The script learns of the
    /// request only once the connection is kept, as its next step may close all watches.
    fn open_watch(&self, number: u32, mut stream: TcpStream, head: &str, request_sender: &RequestSender) {
        let after = head.split("after=").nth(1).and_then(|a| a.split(' ').next()).unwrap_or("-");
        // Read before the script learns of the request, which may then change it.
        let rejection = self.watch_rejection.lock().expect("unpoisoned").clone();
        let watch_id = rejection.is_none().then(|| self.keep_watch(number, &stream));
        // Sending fails if the scenario has ended, writing if the forwarder has; neither is an error here.
        let _ = request_sender.watch_requests.send(after.to_owned());
        if let Some(rejection) = rejection {
            let _ = stream.write_all(rejection.as_bytes());
        }
        let Some(watch_id) = watch_id else { return };
        while self.delays_list.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(2));
        }
        self.send_complete_list(watch_id);
    }

    /// Keeps the connection of a watch, on which the list is still to be sent. Returns the id of the watch.
    fn keep_watch(&self, address_number: u32, stream: &TcpStream) -> u32 {
        let id = self.last_watch.fetch_add(1, Ordering::SeqCst) + 1;
        let stream = stream.try_clone().expect("a handle");
        let watch = OpenWatch { id, address_number, stream, has_list: false };
        self.watches.lock().expect("unpoisoned").push(watch);
        id
    }

    /// Sends the complete list on a watch, unless the script has closed it. The watches stay locked meanwhile, so that a
    /// change is either in the list or sent after it.
    fn send_complete_list(&self, watch_id: u32) {
        let mut watches = self.watches.lock().expect("unpoisoned");
        let Some(watch) = watches.iter_mut().find(|watch| watch.id == watch_id) else { return };
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        // Writing fails if the forwarder has ended.
        let _ = watch.stream.write_all(head.as_bytes());
        let _ = watch.stream.write_all(http_chunk(&self.complete_list()).as_bytes());
        watch.has_list = true;
    }

    /// Passes the delivery reports of a request to the script, unless they are rejected. Returns the status of the response.
    fn receive_reports(&self, body: &[u8], request_sender: &RequestSender) -> &'static str {
        if self.rejects_reports.load(Ordering::SeqCst) {
            return "500 No";
        }
        let lines: Vec<&str> = std::str::from_utf8(body).expect("reports are text").lines().collect();
        for line in &lines {
            let mut report: Value = serde_json::from_str(line).expect("a report is JSON");
            trace(format_args!("report {line}"));
            report["alone"] = (lines.len() == 1).into();
            // Sending fails if the scenario has ended.
            let _ = request_sender.reports.send(report);
        }
        "204 No Content"
    }
}

/// Encodes a line as a chunk of a chunked HTTP body.
fn http_chunk(line: &str) -> String {
    format!("{:x}\r\n{line}\r\n", line.len())
}
