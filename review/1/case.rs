//! One answer of an endpoint is followed by a second copy of it, and the next call on the connection is refused late. The
//! rules: a message that may not be repeated is not sent again after an attempt that may have run, and a message that was
//! taken on is delivered or ends by a notice.

#[path = "../lab/lab.rs"]
mod lab;

use lab::*;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};

/// The time between an answer and the copy right behind it.
const COPY_BEHIND_MS: u64 = 2;
/// One way between the forwarder and the endpoint.
const ONE_WAY_MS: u64 = 15;
const WORK_MS: u64 = 150;
/// How late the refusal of the second call on the first connection is.
const LATE_REFUSAL_MS: u64 = 600;
const DEADLINE_MS: u64 = 6_000;
/// How long after its time a message may be without an end: 300 ms, and 50 ms as for each limit on sockets.
const OVERDUE_MS: u64 = 350;

/// What the endpoint has done with each message.
#[derive(Default)]
struct Done {
    runs: BTreeMap<String, usize>,
    /// The messages for which an answer 200 was written.
    delivered: BTreeSet<String>,
}

fn main() {
    let record = Record::create(&case_folder().join("record.txt"));
    let done: Arc<Mutex<Done>> = Arc::default();
    let (log, state) = (record.clone(), done.clone());
    let address = start_endpoint(Arc::new(move |call: &Call| {
        let id = call.messages[0].id.clone();
        let place = format!("endpoint: connection {} call {}", call.connection, call.number);
        if (call.connection, call.number) == (0, 1) {
            log.line(format!(
                "{place}: {id} is turned away, with 503 in {LATE_REFUSAL_MS} ms; it never runs"
            ));
            return vec![Step::Wait(LATE_REFUSAL_MS), Step::Write(response(503, "", ""))];
        }
        log.line(format!("{place}: {id} runs, and is answered with 200"));
        let mut done = state.lock().unwrap();
        *done.runs.entry(id.clone()).or_default() += 1;
        done.delivered.insert(id);
        let mut steps = vec![Step::Wait(WORK_MS), Step::Write(delivered(call))];
        if with_trouble() && (call.connection, call.number) == (0, 0) {
            log.line(format!("{place}: a second copy of this answer comes right behind it"));
            steps.extend([Step::Wait(COPY_BEHIND_MS), Step::WriteIfQuiet(delivered(call))]);
        }
        steps
    }));
    let member = Member {
        id: "s-1".to_owned(),
        address: start_delay(address, ONE_WAY_MS),
        zone: "tartu-room".to_owned(),
        kind: "small-partner".to_owned(),
        destination: 1,
        lifecycle: "active",
        weight: 20.0,
    };
    let platform = Platform::start(&record, "platform", vec![member]);
    let settings = r#"{"azs":["tartu-room"],"zone":"tartu-room","balancers":2,"me":0,
        "kinds":["cable-operator","small-partner"],"discovery":"pushed","granularity":5.0,"weight-source":"rough",
        "callers":{"marks-retry":true},"layers":["partner-systems"],"stage":0,"value-by":"request","family":"deliver",
        "categories":[{"name":"notice","semantics":"side_effect",
          "promise":2500.0,"deadline":28000.0,"gain":1.0,"late-worth":0.3,"stream":false}],
        "realms":[{"name":"lounatv","portion":1.0,"quota-per-s":45.0}],"over-share-worth":0.1,
        "fees":{"cross-zone":0.0,"handshake":0.02},
        "permissions":{"max-open":388,"max-attempts":12,"cancel":true,"probing":false,"peers":false,"retry-after":true,
          "max-retry-after":3000.0,"conn-idle":5000.0,"dial-timeout":1500.0,"second-copies":false,"multiplex":1},
        "rules":{"fall-multiple":2.0,"fall":3000.0,"cold":9400.0,"cold-from":0.23,"drain-grace":250.0,
          "answer-slack":20.0,"must-ask-in":10000.0},
        "report":{"fields":["x0","x1"],"how":"inline"},
        "specifics":{"call-slots":3,"late":"halving","own-limits":[false,false],"per-call":[10,1],"toll":[0.0]}}"#;
    let mut forwarders = vec![Forwarder::prepare(&record, "n0", &platform, settings)];
    if !forwarders[0].start() {
        could_not_run(&record, "the forwarder is not ready", &mut forwarders);
    }
    // Three messages take the three slots, and the fourth waits for the first answer. The fifth comes later.
    let mut taken: Vec<(String, u64)> = Vec::new();
    for number in 0..5 {
        if number == 4 {
            sleep_ms(660);
        }
        let (id, key) = (format!("m-{number}"), format!("k-{number}"));
        let submission = Submission {
            id: &id,
            class: "notice",
            tenant: "lounatv",
            deadline_ms: DEADLINE_MS,
            key: &key,
            destination: 1,
            retry: None,
            body: b"a schedule change",
        };
        let time_is_up = record.now_ms() + DEADLINE_MS;
        if matches!(submission.send(&record, forwarders[0].listen), Some(200 | 202)) {
            taken.push((id, time_is_up));
        }
    }
    if taken.len() < 5 {
        could_not_run(&record, "a message was not taken on", &mut forwarders);
    }
    sleep_ms(DEADLINE_MS + OVERDUE_MS + 500);
    let notices = platform.notices();
    let done = done.lock().unwrap();
    let mut broken = Vec::new();
    for (id, time_is_up) in &taken {
        let runs = done.runs.get(id).copied().unwrap_or(0);
        let is_delivered = done.delivered.contains(id);
        let is_noticed =
            notices.iter().any(|(noticed, _, at)| noticed == id && *at <= time_is_up + OVERDUE_MS);
        record.line(format!(
            "{id}: runs {runs}, delivered {is_delivered}, ended by a notice in time {is_noticed}"
        ));
        if runs > 1 {
            broken.push(format!("{id} may not be repeated and ran {runs} times"));
        }
        if !is_delivered && !is_noticed {
            broken.push(format!("{id} was taken on and has no end"));
        }
    }
    drop(done);
    let verdict = if broken.is_empty() { Ok(()) } else { Err(broken.join("; ")) };
    finish(&record, verdict, &mut forwarders);
}
