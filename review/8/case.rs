//! Case 8: after an upgrade whose new process is killed, two processes call for the same messages. See claim.txt.

#[path = "../lab-2/lab.rs"]
mod lab;

use lab::*;
use std::collections::BTreeMap;
use std::fs;
use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const DEADLINE: Duration = Duration::from_secs(28);
const SLACK: Duration = Duration::from_millis(350);
/// How long the partner takes for a call, always.
const CALL_TIME: Duration = Duration::from_millis(1_500);
/// The new process has to say yes within this time.
const READY_LIMIT: Duration = Duration::from_secs(6);
/// From the yes of the new process to its end by SIGKILL.
const KILLED_AFTER: Duration = Duration::from_millis(150);
/// The folder is there at the next start, 0.6 s after SIGKILL.
const RESTART_PAUSE: Duration = Duration::from_millis(600);
const MESSAGES: u64 = 4;
/// A call that the forwarder gives up may have its end on the way: the earlier one counts as out if it still is this much later.
const GIVEN_UP_SLACK: Duration = Duration::from_millis(100);

/// What the endpoints saw.
#[derive(Default)]
struct Seen {
    /// The calls with a message that are out: their numbers.
    out: BTreeMap<String, Vec<u64>>,
    delivered: BTreeMap<String, Instant>,
    last_number: u64,
    second_copies: Vec<String>,
}

/// Whether the other side has neither closed the connection nor ended its sending on it.
fn is_open(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut [0]);
    let _ = stream.set_nonblocking(false);
    matches!(peeked, Err(error) if error.kind() == ErrorKind::WouldBlock)
}

fn endpoint(record: &Record, seen: Arc<Mutex<Seen>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("its address");
    let record = record.clone();
    serve(listener, move |mut stream| {
        while let Ok(Some(request)) = read_message(&mut stream) {
            let id = called_messages(&request).and_then(|called| called.first().cloned()).map_or_else(String::new, |m| m.id);
            let (number, earlier) = {
                let mut seen = seen.lock().unwrap();
                seen.last_number += 1;
                let number = seen.last_number;
                let out = seen.out.entry(id.clone()).or_default();
                let earlier = out.clone();
                out.push(number);
                (number, earlier)
            };
            record.line(format!("call {number} with {id}; out with the same message: {earlier:?}"));
            let ends_at = Instant::now() + CALL_TIME;
            let checked_at = Instant::now() + GIVEN_UP_SLACK;
            let mut is_checked = earlier.is_empty();
            let mut is_given_up = false;
            while Instant::now() < ends_at && !is_given_up {
                thread::sleep(Duration::from_millis(5));
                is_given_up = !is_open(&stream);
                if !is_checked && Instant::now() >= checked_at {
                    is_checked = true;
                    let mut seen = seen.lock().unwrap();
                    let still_out: Vec<u64> =
                        earlier.iter().copied().filter(|other| seen.out[&id].contains(other)).collect();
                    if !still_out.is_empty() && !is_given_up {
                        record.line(format!("SECOND COPY: call {number} with {id} while {still_out:?} is out"));
                        seen.second_copies.push(id.clone());
                    }
                }
            }
            seen.lock().unwrap().out.entry(id.clone()).or_default().retain(|other| *other != number);
            if is_given_up {
                record.line(format!("call {number} with {id} is given up"));
                return;
            }
            let share = (record.seconds() * 1e6) as u64 % 999_983;
            let response = format!("HTTP/1.1 200 OK\r\nX-Load: x0=0.{share:06},x1=60\r\nContent-Length: 0\r\n\r\n");
            if stream.write_all(response.as_bytes()).is_err() {
                return;
            }
            record.line(format!("call {number} with {id} is answered with 200"));
            seen.lock().unwrap().delivered.entry(id).or_insert_with(Instant::now);
        }
    });
    address
}

fn could_not_run(record: &Record, reason: &str) -> ! {
    record.say(format!("could not run: {reason}"));
    finish(2);
}

fn main() {
    let folder = PathBuf::from(std::env::args().nth(1).expect("the folder of the case"));
    let record = Record::create(&folder);
    let temporary = TemporaryFolder::create("8");
    let trouble = has_trouble();
    record.say(format!("case 8, trouble: {trouble}"));
    let seen: Arc<Mutex<Seen>> = Arc::default();
    let instances = instance("endpoint-1", endpoint(&record, seen.clone()), "small-partner", 1);
    let platform = Platform::start(&record, instances.clone());
    let listen = free_address();
    let config = temporary.0.join("config.json");
    let write_config = |operator: SocketAddr| {
        let text = config_json(listen, operator, platform.address, &temporary.state(), &instances);
        fs::write(&config, text).expect("the configuration is written");
    };

    write_config(free_address());
    let mut old = Forwarder::start(&config, listen, &temporary.0, "old.log");
    if !old.until_ready(Duration::from_secs(30)) {
        could_not_run(&record, "the forwarder is not ready");
    }
    let mut accepted: BTreeMap<String, Instant> = BTreeMap::new();
    let mut hand_in_one = |id: String| {
        let sent_at = Instant::now();
        let submission =
            Submission { id: id.clone(), destination: 1, class: "notice", deadline: DEADLINE, body: body(7, 300) };
        let status = hand_in(listen, &submission);
        record.line(format!("handed in {id}: {status:?}"));
        if matches!(status, Some(200 | 202)) {
            accepted.insert(id, sent_at);
        }
    };
    for number in 0..MESSAGES {
        hand_in_one(format!("message-{number}"));
        thread::sleep(Duration::from_millis(20));
    }

    record.line("the new process is started");
    let operator = free_address();
    write_config(operator);
    let mut new = Forwarder::start(&config, listen, &temporary.0, "new.log");
    let started_at = Instant::now();
    while !get(operator, "/admin/health").is_some_and(|response| response.status() == 200) {
        if started_at.elapsed() > READY_LIMIT {
            could_not_run(&record, "the new process does not say yes");
        }
        thread::sleep(Duration::from_millis(10));
    }
    record.line("the new process says yes; SIGTERM to the old one");
    old.signal(SIGTERM);
    let terminated_at = Instant::now();
    if trouble {
        thread::sleep(KILLED_AFTER);
        record.line("SIGKILL to the new process");
        new.kill();
        thread::sleep(RESTART_PAUSE);
        record.line("it is started again, with the same folder");
        new = Forwarder::start(&config, listen, &temporary.0, "again.log");
        if !new.until_ready(Duration::from_secs(30)) {
            could_not_run(&record, "the forwarder is not ready again");
        }
        record.line("it is ready");
    }
    while terminated_at.elapsed() < Duration::from_millis(3_700) && !old.has_ended() {
        thread::sleep(Duration::from_millis(10));
    }
    record.line(format!("the old process has ended by itself: {}", old.has_ended()));
    old.kill();
    let has_end = |id: &String| {
        seen.lock().unwrap().delivered.contains_key(id) || platform.reports.lock().unwrap().contains_key(id)
    };
    let last_due = accepted.values().max().copied().unwrap_or(started_at) + DEADLINE + SLACK;
    while Instant::now() < last_due && !accepted.keys().all(has_end) {
        thread::sleep(Duration::from_millis(50));
    }
    thread::sleep(Duration::from_millis(500));
    new.kill();
    let without_end = accepted.keys().filter(|id| !has_end(id)).count();
    let copies = seen.lock().unwrap().second_copies.clone();
    record.say(format!("accepted {}, without an end {without_end}, second copies {copies:?}", accepted.len()));
    let is_broken = !copies.is_empty();
    record.say(if is_broken { "BROKEN: two attempts of a message were out together" } else { "held" });
    drop((old, new, temporary));
    finish(i32::from(is_broken));
}

fn config_json(listen: SocketAddr, operator: SocketAddr, platform: SocketAddr, state: &Path, instances: &str) -> String {
    let state = state.display();
    format!(
        r#"{{"name":"n0","listen":"{listen}","operator":"{operator}","discovery":"{platform}","state":"{state}",
"seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":192,"sockets":1024,"disk_mb":3}},
"known":{{"generation":1,"reset":true,"instances":[{instances}]}},
"settings":{{"azs":["room"],"zone":"room","me":0,"balancers":1,"kinds":["cable-operator","small-partner"],
"discovery":"pushed","report":{{"fields":["x0","x1"],"how":"inline"}},"granularity":5.0,"weight-source":"rough",
"callers":{{"marks-retry":true}},
"categories":[{{"name":"notice","semantics":"token","dedup-scope":"all","memory-span":30000.0,"promise":2500.0,
"deadline":28000.0,"gain":1.0,"late-worth":0.3,"stream":false}}],
"realms":[{{"name":"acme","portion":1.0,"quota-per-s":60.0}}],"over-share-worth":0.1,
"fees":{{"cross-zone":0.0,"handshake":0.02}},
"permissions":{{"max-open":388,"max-attempts":12,"cancel":true,"probing":false,"retry-after":true,
"max-retry-after":3000.0,"conn-idle":5000.0,"dial-timeout":1500.0,"second-copies":false}},
"rules":{{"fall-multiple":2.0,"fall":3000.0,"cold":9400.0,"cold-from":0.23,"drain-grace":250.0}},
"specifics":{{"call-slots":18,"late":"halving","own-limits":[false,false],"per-call":[10,1]}}}}}}"#
    )
}
