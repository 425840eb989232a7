//! A keyed message of a class whose repeats are dropped in one zone only is handed in again after a forwarder has died.
//! Its first attempt may have run in one zone. The rule: no attempt goes to another zone.

#[path = "../lab/lab.rs"]
mod lab;

use lab::*;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::io::Write;
use std::net::TcpStream;
use std::sync::{Arc, Mutex};

const MESSAGES: usize = 4;
/// Of the calls at the endpoints one in a hundred at most is answered with 500, as the site has it.
const CALLS_FOR_ONE_ERROR: usize = 100;
/// Further messages, so that there are so many calls.
const OTHER_MESSAGES: usize = 140;

/// The effects and the attempts at all endpoints.
#[derive(Default)]
struct Effects {
    /// The keys that were run, by zone: each zone drops repeats of its own keys.
    run: HashMap<&'static str, HashSet<String>>,
    /// The zones of the attempts for each message id, in their order.
    attempts: BTreeMap<String, Vec<&'static str>>,
    /// The number of effects for each key.
    effects: BTreeMap<String, usize>,
    /// The calls at all endpoints, and those that were answered with 500.
    calls: usize,
    errors: usize,
}

fn main() {
    let record = Record::create(&case_folder().join("record.txt"));
    let effects = Arc::new(Mutex::new(Effects::default()));
    let endpoint = |zone: &'static str| {
        let (effects, record) = (effects.clone(), record.clone());
        start_endpoint(Arc::new(move |call: &Call| {
            // Each key that is new in this zone runs; a repeat is dropped and answered as delivered. One call is answered
            // with 500 after it has run, which is an ordinary answer: the first one for destination 7.
            let mut effects = effects.lock().unwrap();
            effects.calls += 1;
            let is_error = effects.errors == 0 && call.messages[0].key.starts_with('k');
            effects.errors += usize::from(is_error);
            for message in &call.messages {
                let runs = effects.run.entry(zone).or_default().insert(message.key.clone());
                *effects.effects.entry(message.key.clone()).or_default() += usize::from(runs);
                let attempts = effects.attempts.entry(message.id.clone()).or_default();
                attempts.push(zone);
                let what = if runs { "runs" } else { "is dropped as a repeat" };
                record.line(format!("endpoint in {zone}: {} (key {}) {what}", message.id, message.key));
            }
            record.line(format!("endpoint in {zone}: answers {}", if is_error { 500 } else { 200 }));
            let answer = if is_error { response(500, "", "") } else { delivered(call) };
            vec![Step::Wait(60), Step::Write(answer)]
        }))
    };
    let member = |id: &str, zone: &'static str, destination| Member {
        id: id.to_owned(),
        address: endpoint(zone),
        zone: zone.to_owned(),
        kind: "delivery-platform".to_owned(),
        destination,
        lifecycle: "active",
        weight: 60.0,
    };
    let members = vec![
        member("s-1", "floor-2", 7),
        member("s-2", "floor-3", 7),
        member("s-3", "floor-2", 8),
        member("s-4", "floor-3", 8),
    ];
    let platform = Platform::start(&record, "platform", members);
    let settings = |me: usize| {
        format!(
            r#"{{"azs":["floor-2","floor-3"],"zone":"floor-2","balancers":2,"me":{me},
            "kinds":["delivery-platform"],"discovery":"pushed","granularity":5.0,"weight-source":"rough",
            "callers":{{"marks-retry":true}},"layers":["partner-systems"],"stage":0,"value-by":"request","family":"deliver",
            "categories":[{{"name":"order-message","semantics":"token","dedup-scope":"zone","memory-span":10000.0,
              "promise":3000.0,"deadline":16000.0,"gain":1.0,"late-worth":0.4,"stream":false}}],
            "realms":[{{"name":"sunbite-burgers","portion":1.0,"quota-per-s":60.0}}],"over-share-worth":0.2,
            "fees":{{"cross-zone":0.0,"handshake":0.02}},
            "permissions":{{"max-open":60,"max-attempts":8,"cancel":true,"probing":false,"peers":false,"retry-after":true,
              "max-retry-after":3000.0,"conn-idle":15000.0,"dial-timeout":1500.0,"second-copies":false,"multiplex":1}},
            "rules":{{"fall-multiple":2.0,"fall":3000.0,"cold":14000.0,"cold-from":0.18,"drain-grace":1000.0,
              "answer-slack":20.0,"must-ask-in":10000.0}},
            "report":{{"fields":[],"how":"off"}},
            "specifics":{{"call-slots":8,"late":"linear","own-limits":[false],"per-call":[10],"toll":[0.0,0.0]}}}}"#
        )
    };
    let mut forwarders = vec![
        Forwarder::prepare(&record, "n0", &platform, &settings(0)),
        Forwarder::prepare(&record, "n1", &platform, &settings(1)),
    ];
    for index in 0..forwarders.len() {
        if !forwarders[index].start() {
            could_not_run(&record, "a forwarder is not ready", &mut forwarders);
        }
    }
    // The other messages go to destination 8.
    for number in 0..OTHER_MESSAGES {
        let (id, key) = (format!("o-{number}"), format!("other-{number}"));
        let other = Submission {
            id: &id,
            class: "order-message",
            tenant: "sunbite-burgers",
            deadline_ms: 16_000,
            key: &key,
            destination: 8,
            retry: None,
            body: b"one burger",
        };
        other.send(&record, forwarders[1].listen);
        sleep_ms(25);
    }
    sleep_ms(500);
    let calls = effects.lock().unwrap().calls;
    record.line(format!("{calls} calls so far, none of them answered with 500"));
    if calls < CALLS_FOR_ONE_ERROR - 1 {
        could_not_run(&record, "too few calls for one error", &mut forwarders);
    }
    let submission = |id: &'static str, key: &'static str, deadline_ms, retry| Submission {
        id,
        class: "order-message",
        tenant: "sunbite-burgers",
        deadline_ms,
        key,
        destination: 7,
        retry,
        body: b"one burger",
    };
    let first_ids = ["a-0", "a-1", "a-2", "a-3"];
    let second_ids = ["b-0", "b-1", "b-2", "b-3"];
    let keys = ["k-0", "k-1", "k-2", "k-3"];
    // The clients hand their messages in at n0. With the disruption it dies with the requests unanswered: it is held up
    // for 100 ms, as a process may be, and killed then.
    if with_trouble() {
        forwarders[0].signal(SIGSTOP);
    }
    let mut waiting: Vec<TcpStream> = Vec::new();
    for number in 0..MESSAGES {
        let submission = submission(first_ids[number], keys[number], 16_000, None);
        if !with_trouble() {
            submission.send(&record, forwarders[0].listen);
            continue;
        }
        let mut stream = TcpStream::connect(forwarders[0].listen).expect("the listener of n0");
        stream.write_all(&submission.bytes()).expect("the request is written");
        record.line(format!("client: writes {} to n0", first_ids[number]));
        waiting.push(stream);
    }
    if with_trouble() {
        sleep_ms(100);
        forwarders[0].end();
        for (stream, id) in waiting.iter_mut().zip(first_ids) {
            let status = read_status(stream, 400);
            record.line(format!("client: answer to {id}: {status:?}"));
        }
        // As a client whose forwarder died: under a new id, with the same key, marked, and with the time that is left.
        // The forwarder that died is back 0.6 s after the kill, with its folder.
        sleep_ms(600);
        if !forwarders[0].start() {
            could_not_run(&record, "n0 is not back", &mut forwarders);
        }
        for number in 0..MESSAGES {
            submission(second_ids[number], keys[number], 15_200, Some("again"))
                .send(&record, forwarders[1].listen);
        }
    }
    // Whatever is sent again comes within some seconds.
    sleep_ms(8_000);
    let effects = effects.lock().unwrap();
    let mut broken = Vec::new();
    for (id, zones) in effects.attempts.iter().filter(|(id, _)| !id.starts_with('o')) {
        record.line(format!("message {id}: attempts in {zones:?}"));
        if zones.iter().any(|zone| *zone != zones[0]) {
            broken.push(id.clone());
        }
    }
    record.line(format!("{} calls in all, {} answered with 500", effects.calls, effects.errors));
    for (key, count) in effects.effects.iter().filter(|(key, _)| key.starts_with('k')) {
        record.line(format!("key {key}: {count} effect(s)"));
    }
    if effects.errors == 0 {
        drop(effects);
        could_not_run(&record, "no message for destination 7 came to an endpoint", &mut forwarders);
    }
    let verdict = match broken.is_empty() {
        true => Ok(()),
        false => Err(format!("after an attempt that may have run, {broken:?} went to another zone")),
    };
    finish(&record, verdict, &mut forwarders);
}
