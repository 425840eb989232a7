//! Discovery ends its watches and turns calls away for some seconds. Then it takes calls again, and an endpoint leaves
//! whose address serves another destination from then on. The rule: 6 s after discovery had the change and could be
//! reached it counts as told, and the grace later nothing more is sent to the endpoint that has left.

#[path = "../lab/lab.rs"]
mod lab;

use lab::*;

use std::sync::{Arc, Mutex};
use std::time::Instant;

const FORWARDERS: usize = 12;
/// How long discovery turns calls away.
const REFUSING_MS: u64 = 8_000;
const TOLD_AFTER_MS: u64 = 6_000;
const GRACE_MS: u64 = 250;
/// What the page on real sockets adds to each time limit.
const SLACK_MS: u64 = 50;

fn main() {
    let record = Record::create(&case_folder().join("record.txt"));
    let calls: Arc<Mutex<Vec<(u64, String)>>> = Arc::default();
    let endpoint = |name: &'static str, calls: Option<Arc<Mutex<Vec<(u64, String)>>>>| {
        let record = record.clone();
        start_endpoint(Arc::new(move |call: &Call| {
            for message in &call.messages {
                record.line(format!("{name}: call with {}", message.id));
                if let Some(calls) = &calls {
                    calls.lock().unwrap().push((record.now_ms(), message.id.clone()));
                }
            }
            vec![Step::Wait(120), Step::Write(delivered(call))]
        }))
    };
    let member = |id: &str, address, destination| Member {
        id: id.to_owned(),
        address,
        zone: "tartu-room".to_owned(),
        kind: "small-partner".to_owned(),
        destination,
        lifecycle: "active",
        weight: 400.0,
    };
    let leaving = member("s-1", endpoint("address of s-1", Some(calls.clone())), 1);
    let replacing = member("s-2", endpoint("address of s-2", None), 1);
    let settings = |me: usize| {
        format!(
            r#"{{"azs":["tartu-room"],"zone":"tartu-room","balancers":{FORWARDERS},"me":{me},
            "kinds":["cable-operator","small-partner"],"discovery":"pushed","granularity":5.0,"weight-source":"rough",
            "callers":{{"marks-retry":true}},"layers":["partner-systems"],"stage":0,"value-by":"request","family":"deliver",
            "categories":[{{"name":"notice","semantics":"token","dedup-scope":"all","memory-span":30000.0,
              "promise":2500.0,"deadline":28000.0,"gain":1.0,"late-worth":0.3,"stream":false}}],
            "realms":[{{"name":"lounatv","portion":1.0,"quota-per-s":400.0}}],"over-share-worth":0.1,
            "fees":{{"cross-zone":0.0,"handshake":0.02}},
            "permissions":{{"max-open":388,"max-attempts":12,"cancel":true,"probing":false,"peers":false,"retry-after":true,
              "max-retry-after":3000.0,"conn-idle":5000.0,"dial-timeout":1500.0,"second-copies":false,"multiplex":1}},
            "rules":{{"fall-multiple":2.0,"fall":3000.0,"cold":9400.0,"cold-from":0.23,"drain-grace":{GRACE_MS}.0,
              "answer-slack":20.0,"must-ask-in":10000.0}},
            "report":{{"fields":["x0","x1"],"how":"inline"}},
            "specifics":{{"call-slots":18,"late":"halving","own-limits":[false,false],"per-call":[10,1],"toll":[0.0]}}}}"#
        )
    };
    // Each forwarder has an agent on its own machine.
    let platforms: Vec<Platform> = (0..FORWARDERS)
        .map(|number| Platform::start(&record, &format!("agent of n{number}"), vec![leaving.clone()]))
        .collect();
    let mut forwarders: Vec<Forwarder> = (0..FORWARDERS)
        .map(|number| {
            Forwarder::prepare(&record, &format!("n{number}"), &platforms[number], &settings(number))
        })
        .collect();
    for index in 0..FORWARDERS {
        if !forwarders[index].start() {
            could_not_run(&record, "a forwarder is not ready", &mut forwarders);
        }
    }
    sleep_ms(1_000);
    if with_trouble() {
        platforms.iter().for_each(|platform| platform.refuse(true));
    }
    let started_at = Instant::now();
    let elapsed = || started_at.elapsed().as_millis() as u64;
    let (mut changed_at, mut number) = (None, 0);
    let end = REFUSING_MS + TOLD_AFTER_MS + 4_000;
    while elapsed() < end {
        if changed_at.is_none() && elapsed() >= REFUSING_MS {
            // s-1 is replaced by s-2, and its machine is given to another partner: its address is that of s-9 from now on.
            let gone = Member { lifecycle: "left", ..leaving.clone() };
            let new = member("s-9", leaving.address, 2);
            platforms
                .iter()
                .for_each(|platform| platform.change(vec![gone.clone(), replacing.clone(), new.clone()]));
            if with_trouble() {
                platforms.iter().for_each(|platform| platform.refuse(false));
            }
            changed_at = Some(record.now_ms());
        }
        let (id, key) = (format!("m-{number}"), format!("k-{number}"));
        let submission = Submission {
            id: &id,
            class: "notice",
            tenant: "lounatv",
            deadline_ms: 28_000,
            key: &key,
            destination: 1,
            retry: None,
            body: b"a schedule change",
        };
        submission.send(&record, forwarders[number % FORWARDERS].listen);
        number += 1;
        // More messages from shortly before the change counts as told.
        sleep_ms(if elapsed() < REFUSING_MS + TOLD_AFTER_MS - 500 { 60 } else { 3 });
    }
    let changed_at = changed_at.expect("the list was changed");
    let limit = changed_at + TOLD_AFTER_MS + GRACE_MS + SLACK_MS;
    let late: Vec<(u64, String)> =
        calls.lock().unwrap().iter().filter(|(at, _)| *at > limit).cloned().collect();
    record.line(format!(
        "the change was at {changed_at}, calls to the address of s-1 are late from {limit} on"
    ));
    let verdict = match late.last() {
        None => Ok(()),
        Some((at, id)) => Err(format!(
            "{} messages for destination 1 came late to the address of s-1, the last ({id}) {} ms after the change",
            late.len(),
            at - changed_at
        )),
    };
    finish(&record, verdict, &mut forwarders);
}
