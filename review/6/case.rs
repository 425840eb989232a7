//! Case 6: the journal's compaction takes the lasting folder over `disk_mb`. See claim.txt.

#[path = "../lab-2/lab.rs"]
mod lab;

use lab::*;
use std::collections::BTreeMap;
use std::fs;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The limit that the configuration tells, in megabytes: that of the deploy page's example.
const DISK_MB: u64 = 3;
/// How long the partner hangs; the site file has 6.8 to 17 s.
const HANG: Duration = Duration::from_secs(14);
/// The folder is there at the next start, 0.6 s after SIGKILL.
const RESTART_PAUSE: Duration = Duration::from_millis(600);
const DEADLINE: Duration = Duration::from_secs(28);
/// A message is lost if it has no end 300 ms after its time, and every time limit is 50 ms longer.
const SLACK: Duration = Duration::from_millis(350);
/// The calls a second that the partner with the clump takes, and the clump: as many as it takes in 1.9 s.
const RATE: u64 = 15;
const CLUMP: u64 = 28;
const CLUMP_BODY: usize = 60_000;
/// The other messages, handed in one after the other.
const OTHERS: u64 = 160;
const OTHER_BODY: usize = 30_000;

type Times = Arc<Mutex<BTreeMap<String, Instant>>>;

fn rate_of(name: &str) -> u64 {
    if name == "endpoint-1" { RATE } else { 60 }
}

fn endpoint(record: &Record, name: &'static str, hangs: Switch, delivered: Times) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("its address");
    let record = record.clone();
    serve(listener, move |mut stream| {
        while let Ok(Some(request)) = read_message(&mut stream) {
            let called = called_messages(&request).unwrap_or_default();
            let ids: Vec<&str> = called.iter().map(|message| message.id.as_str()).collect();
            let is_hanging = hangs.is_on();
            record.line(format!("{name} called with {ids:?}{}", if is_hanging { ", hangs" } else { "" }));
            if is_hanging {
                // It takes the work and answers nothing. The connection stays open until the forwarder gives it up.
                let _ = read_message(&mut stream);
                return;
            }
            thread::sleep(Duration::from_millis(40));
            // The share of the limit that is left, as it is just now.
            let share = (record.seconds() * 1e6) as u64 % 999_983;
            let load = format!("X-Load: x0=0.{share:06},x1={}", rate_of(name));
            if stream.write_all(format!("HTTP/1.1 200 OK\r\n{load}\r\nContent-Length: 0\r\n\r\n").as_bytes()).is_err() {
                return;
            }
            let mut delivered = delivered.lock().unwrap();
            for message in called {
                delivered.entry(message.id).or_insert_with(Instant::now);
            }
        }
    });
    address
}

/// The size of the folder in whole units of 512 bytes, or less if it changes meanwhile: the files are looked at from the newest
/// to the oldest. The journal appends to the newest and removes the oldest, so at the time of the last look all files were there
/// and none was smaller than it was seen.
fn folder_bytes(folder: &Path) -> u64 {
    let mut files: Vec<PathBuf> = fs::read_dir(folder).into_iter().flatten().flatten().map(|e| e.path()).collect();
    files.sort();
    let sizes = files.iter().rev().filter_map(|file| fs::metadata(file).ok());
    sizes.map(|file| file.len().div_ceil(512) * 512).sum()
}

fn main() {
    let folder = PathBuf::from(std::env::args().nth(1).expect("the folder of the case"));
    let record = Record::create(&folder);
    let temporary = TemporaryFolder::create("6");
    let trouble = has_trouble();
    record.say(format!("case 6, trouble: {trouble}"));
    let (hangs, delivered) = (Switch::default(), Times::default());
    let partners = [
        ("endpoint-1", 1, hangs.clone()),
        ("endpoint-2", 2, Switch::default()),
        ("endpoint-3", 3, Switch::default()),
    ];
    let instances: Vec<String> = partners
        .into_iter()
        .map(|(name, cell, hangs)| {
            let address = endpoint(&record, name, hangs, delivered.clone());
            instance(name, address, "small-partner", cell).replace("60.0", &format!("{}.0", rate_of(name)))
        })
        .collect();
    let platform = Platform::start(&record, instances.join(","));
    let listen = free_address();
    let config = temporary.0.join("config.json");
    fs::write(&config, config_json(listen, platform.address, &temporary.state(), &instances.join(",")))
        .expect("the configuration is written");

    let (largest, stop) = (Maximum::default(), Switch::default());
    let observer = {
        let (record, state) = (record.clone(), temporary.state());
        let (largest, stop) = (largest.clone(), stop.clone());
        thread::spawn(move || {
            while !stop.is_on() {
                let bytes = folder_bytes(&state);
                if largest.raise(bytes) && bytes > DISK_MB * 1_000_000 {
                    record.line(format!("the folder holds {bytes} bytes"));
                }
            }
        })
    };

    let mut forwarder = Forwarder::start(&config, listen, &temporary.0, "forwarder.log");
    if !forwarder.until_ready(Duration::from_secs(30)) {
        record.say("could not run: the forwarder is not ready");
        finish(2);
    }
    let accepted: Arc<Mutex<BTreeMap<String, Instant>>> = Arc::default();
    let hand_in_one = |id: String, destination: u64, length: usize, seed: u64| {
        let sent_at = Instant::now();
        let submission =
            Submission { id: id.clone(), destination, class: "notice", deadline: DEADLINE, body: body(seed, length) };
        let status = hand_in(listen, &submission);
        record.line(format!("handed in {id} for {destination}, {length} bytes: {status:?}"));
        if matches!(status, Some(200 | 202)) {
            accepted.lock().unwrap().insert(id, sent_at);
        }
    };
    hangs.set(trouble);
    let hangs_since = Instant::now();
    record.line(format!("endpoint-1 hangs: {trouble}"));
    for number in 0..4 {
        hand_in_one(format!("first-{number}"), 1 + number % 3, 400, number);
    }
    thread::sleep(Duration::from_millis(500));
    if trouble {
        record.line("SIGKILL, and a start with the same folder");
        forwarder.kill();
        thread::sleep(RESTART_PAUSE);
        forwarder = Forwarder::start(&config, listen, &temporary.0, "forwarder.log");
        if !forwarder.until_ready(Duration::from_secs(30)) {
            record.say("could not run: the forwarder is not ready again");
            finish(2);
        }
    }
    for number in 0..CLUMP {
        hand_in_one(format!("clump-{number}"), 1, CLUMP_BODY, 100 + number);
        thread::sleep(Duration::from_millis(60));
    }
    for number in 0..OTHERS {
        hand_in_one(format!("other-{number}"), 2 + number % 2, OTHER_BODY, 1000 + number);
        thread::sleep(Duration::from_millis(40));
    }
    while hangs_since.elapsed() < HANG {
        thread::sleep(Duration::from_millis(20));
    }
    hangs.set(false);
    record.line("endpoint-1 answers");
    let has_end = |id: &String| {
        delivered.lock().unwrap().contains_key(id) || platform.reports.lock().unwrap().contains_key(id)
    };
    let last_due = accepted.lock().unwrap().values().max().copied().unwrap_or(hangs_since) + DEADLINE + SLACK;
    while Instant::now() < last_due && !accepted.lock().unwrap().keys().all(has_end) {
        thread::sleep(Duration::from_millis(50));
    }
    stop.set(true);
    let _ = observer.join();
    let has_crashed = forwarder.has_ended();
    forwarder.kill();
    let accepted = accepted.lock().unwrap();
    let without_end = accepted.keys().filter(|id| !has_end(id)).count();
    let (bytes, limit) = (largest.get(), DISK_MB * 1_000_000);
    record.say(format!(
        "accepted {}, delivered {}, notices {}, without an end {without_end}, exited by itself: {has_crashed}",
        accepted.len(),
        delivered.lock().unwrap().len(),
        platform.reports.lock().unwrap().len()
    ));
    record.say(format!(
        "the folder held up to {bytes} bytes; disk_mb {DISK_MB} are {limit} (or {} by powers of two)",
        DISK_MB << 20
    ));
    // The larger of the two readings of a megabyte counts.
    let is_broken = bytes > DISK_MB << 20;
    record.say(if is_broken { "BROKEN: the folder held more than disk_mb" } else { "held" });
    drop(forwarder);
    drop(temporary);
    finish(i32::from(is_broken));
}

fn config_json(listen: SocketAddr, platform: SocketAddr, state: &Path, instances: &str) -> String {
    let state = state.display();
    format!(
        r#"{{"name":"n0","listen":"{listen}","discovery":"{platform}","state":"{state}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024,"disk_mb":{DISK_MB}}},
"known":{{"generation":1,"reset":true,"instances":[{instances}]}},
"settings":{{"azs":["room"],"zone":"room","me":0,"balancers":1,"kinds":["cable-operator","small-partner"],
"discovery":"pushed","report":{{"fields":["x0","x1"],"how":"inline"}},"granularity":5.0,"weight-source":"rough","callers":{{"marks-retry":true}},
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
