//! Writes the fixtures of `tests/data/` with the release in service. Usage: make_fixtures FOLDER
use cedarbridge::journal::{record, storage::Storage, AttemptStart, Journal, JournaledMessage, Moment, ReportedEnd, Unreadable};
use cedarbridge::membership::{Key, Listing, State};
use cedarbridge::net::cordons::Cordons;
use cedarbridge::net::eureka::snapshot::Snapshot;
use cedarbridge::net::folder::Folder;
use cedarbridge::net::owner::{Lock, Owner};
use cedarbridge::*;
use std::cell::Cell;
use std::fs;
use std::io;
use std::path::Path;
use std::rc::Rc;

/// Fails one append, so that the journal probes its storage.
struct FailsOnce(Folder, Rc<Cell<bool>>);

impl Storage for FailsOnce {
    fn list(&mut self) -> io::Result<Vec<(String, u64)>> { self.0.list() }
    fn read(&mut self, name: &str) -> io::Result<Vec<u8>> { self.0.read(name) }
    fn begin(&mut self, name: &str) -> io::Result<()> { self.0.begin(name) }
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        match self.1.take() {
            true => Err(io::Error::other("as asked")),
            false => self.0.append(bytes),
        }
    }
    fn cut(&mut self, size: u64) -> io::Result<()> { self.0.cut(size) }
    fn cut_file(&mut self, name: &str, size: u64) -> io::Result<()> { self.0.cut_file(name, size) }
    fn remove(&mut self, name: &str) -> io::Result<()> { self.0.remove(name) }
}

fn message(id: &str) -> JournaledMessage {
    JournaledMessage {
        request_id: id.into(),
        key: Some(format!("key-{id}")),
        class: "notice".into(),
        tenant: Some("north".into()),
        destination: 7,
        deadline: 90_000_000,
        body: id.repeat(3).into_bytes(),
        ..JournaledMessage::default()
    }
}

fn sent(at: u64, zone: &str) -> AttemptStart { AttemptStart { at, zone: zone.into() } }

fn journal(folder: &Path, moment: Moment) {
    let fail = Rc::new(Cell::new(false));
    let storage = FailsOnce(Folder::open(folder).unwrap(), fail.clone());
    let (mut j, _) = Journal::open(Box::new(storage), 1 << 20, move || moment, 0x5EED, Unreadable::Fail).unwrap();
    j.take(1, &message("untried")).unwrap();
    j.take(2, &JournaledMessage { key: None, tenant: None, ..message("plain") }).unwrap();
    j.take(3, &message("sent")).unwrap();
    j.attempt(3, 0, sent(11_000_000, "east")).unwrap();
    j.take(4, &message("never-ran")).unwrap();
    j.attempt(4, 0, sent(12_000_000, "west")).unwrap();
    j.never_ran(4, 0);
    j.take(5, &message("retried")).unwrap();
    j.attempt(5, 0, sent(13_000_000, "east")).unwrap();
    j.attempt(5, 1, sent(14_000_000, "west")).unwrap();
    j.never_ran(5, 1);
    for (id, name, end) in [(6, "failed", ReportedEnd::Failed), (7, "returned", ReportedEnd::Returned(None)), (8, "returned-after", ReportedEnd::Returned(Some(750)))] {
        j.take(id, &message(name)).unwrap();
        j.report(id, end);
    }
    j.take(9, &message("ended")).unwrap();
    j.end(9);
    fail.set(true);
    assert!(j.attempt(1, 0, sent(15_000_000, "east")).is_err());
    j.retry().unwrap();
    // What an earlier process had journaled already comes in with its progress.
    let mut carried = message("carried");
    carried.progress.attempts = 4;
    carried.progress.ran = true;
    carried.progress.first = Some(sent(9_000_000, "west"));
    carried.progress.report = Some(ReportedEnd::Returned(Some(20)));
    j.take(10, &carried).unwrap();
}

fn random_state(seed: u64) -> serde_json::Value {
    let mut random = fastrand::Rng::with_seed(seed);
    let class = |effect, ordered, scope| Class { effect, dedup_scope: scope, memory_span: 4_000_000, aim: 2_000_000, deadline: 20_000_000, worth: 1.5, late_worth: 0.3, ordered };
    let settings = Settings {
        forwarders: 3, number: Some(1), ahead: 17, zone: ZoneId(1), tolls: vec![0.1, 0.2], cross_zone_fee: 0.01, handshake_fee: 0.02,
        classes: vec![class(Effect::Safe, false, DedupScope::All), class(Effect::Keyed, false, DedupScope::Zone), class(Effect::Unsafe, false, DedupScope::All), class(Effect::Unsafe, true, DedupScope::All)],
        tenants: vec![Tenant { quota_per_s: 4.0 }, Tenant { quota_per_s: 0.5 }],
        over_share_worth: 0.2,
        kinds: vec![Kind { apart: false, per_call: 1 }, Kind { apart: true, per_call: 1 }, Kind { apart: false, per_call: 3 }],
        decay: Decay::Halving, weights: WeightSource::Rough, slots: 12, max_open: 60, max_attempts: 6, cancel: true, marks_retry: true,
        probing: false, retry_after: true, second_copies: false, max_retry_after: 2_000_000, ask_for_list: false, must_ask_in: 10_000_000,
        granularity: 5_000, fall_multiple: 2.0, fall: 2_000_000, cold: 10_000_000, cold_from: 0.2, key_rest: 300_000, routes: None,
    };
    let mut policy = DeliveryPolicy::new(settings, seed).unwrap();
    let mut now = 100_000_000;
    let entry = |e: u32, d: u64, k: usize| Entry { endpoint: EndpointId(e), destination: DestinationId(d), zone: ZoneId(e as usize % 2), kind: KindId(k), lifecycle: Lifecycle::Listed, weight: 20.0 };
    let list: Vec<Entry> = (1..=9).map(|e| entry(e, u64::from(e - 1) / 2 + 1, (e as usize - 1) / 2 % 3)).collect();
    let mut actions = Vec::new();
    policy.step(now, &[Event::List(ListNews::Whole(list.clone()))], &mut actions);
    actions.clear();
    let mut out: Vec<(MessageId, u32, EndpointId, u64)> = Vec::new();
    let mut attempts = std::collections::BTreeMap::new();
    let mut next = 0;
    for round in 0..400 {
        now += 10_000;
        let mut events = Vec::new();
        for _ in 0..random.usize(0..3) {
            next += 1;
            let class = random.usize(0..4);
            events.push(Event::Message(NewMessage {
                id: MessageId(next), class: ClassId(class), tenant: Some(TenantId(random.usize(0..2))),
                key: (class == 3).then(|| OrderKey(random.u64(0..3))), time_left: random.u64(1_000_000..20_000_000),
                destination: DestinationId(random.u64(1..6)), orphan: random.u8(0..10) == 0,
                first: (random.u8(0..10) == 0).then(|| (now - 50_000, ZoneId(0))), again: random.u8(0..8) == 0,
                restored: random.u8(0..8) == 0, attempts: 0,
            }));
        }
        let mut kept = Vec::new();
        for (id, attempt, endpoint, sent) in out.drain(..) {
            if random.u8(0..6) > 0 || endpoint.0 == 9 { kept.push((id, attempt, endpoint, sent)); continue; }
            let outcome = match random.u8(0..9) {
                0 => Outcome::Error, 1 => Outcome::Full(Some(400_000)), 2 => Outcome::Full(None), 3 => Outcome::TimedOut,
                4 => Outcome::ConnectFailed, 5 => Outcome::Reset, 6 => Outcome::Stale, _ => Outcome::Ok,
            };
            let report = (random.u8(0..2) == 0).then(|| LimitReport { left: 0.4, rate: 18.0 });
            events.push(Event::Result { id, attempt, endpoint, outcome, elapsed: now - sent, ended: outcome == Outcome::Ok, report });
        }
        out = kept;
        if round == 200 {
            let mut gone = entry(2, 1, 0);
            gone.lifecycle = Lifecycle::Draining;
            events.push(Event::List(ListNews::Patch(vec![gone])));
        }
        if round == 300 { events.push(Event::Journal { writable: false }); }
        if round == 310 { events.push(Event::Journal { writable: true }); }
        policy.step(now, &events, &mut actions);
        for action in actions.drain(..) {
            match action {
                Action::Send { id, endpoint, .. } => {
                    let n = attempts.entry(id).or_insert(0);
                    out.push((id, *n, endpoint, now));
                    *n += 1;
                }
                Action::Cancel { id, attempt } => {
                    // Reported at the next step.
                    if let Some(at) = out.iter().position(|o| o.0 == id && o.1 == attempt) {
                        let (id, attempt, endpoint, sent) = out.remove(at);
                        let mut more = Vec::new();
                        policy.step(now, &[Event::Result { id, attempt, endpoint, outcome: Outcome::Cancelled, elapsed: now - sent, ended: false, report: None }], &mut more);
                    }
                }
                _ => {}
            }
        }
    }
    serde_json::to_value(&policy).unwrap()
}

fn main() {
    let to = std::env::args().nth(1).unwrap();
    let to = Path::new(&to);
    // Within one boot, and 10 s before the moment at which the tests read it.
    journal(&to.join("journal"), Moment { boot: 7, clock: 50_000_000, wall: 1_800_000_000_000_000 });
    let segment = fs::read(to.join("journal/0000000001.journal")).unwrap();
    for folder in ["journal-flipped", "journal-cut"] { fs::create_dir_all(to.join(folder)).unwrap(); }
    let mut flipped = segment.clone();
    let at = flipped.windows(5).position(|w| w == b"plain").unwrap();
    flipped[at] ^= 0x20;
    fs::write(to.join("journal-flipped/0000000001.journal"), flipped).unwrap();
    fs::write(to.join("journal-cut/0000000001.journal"), &segment[..segment.len() - 9]).unwrap();
    // The form before heads: records with unsalted checksums and times of the wall clock, attempts with no start.
    let mut old = Vec::new();
    let wall = |at: u64| 1_800_000_000_000_000 - 50_000_000 + at;
    let mut m = message("headless");
    m.deadline = wall(m.deadline);
    old.extend(record::encode(0, 1, &record::Change::Taken(Box::new(m))));
    old.extend(record::encode(0, 1, &record::Change::Step(record::Step::Attempt(0, None))));
    fs::create_dir_all(to.join("journal-headless")).unwrap();
    fs::write(to.join("journal-headless/0000000001.journal"), old).unwrap();
    Cordons::new(to).write(["e1", "payments/e2"].into_iter()).unwrap();
    let listing = |n: u16, state| Listing {
        key: Key { group: "PARTNER".into(), id: format!("partner-{n}") }, address: ([127, 0, 0, 1], n).into(), destination: DestinationId(u64::from(n)),
        zone: ZoneId(1), kind: KindId(2), weight: 2.5, state, stamp: 0,
    };
    let all = [listing(4001, State::Up), listing(4002, State::Leaving)];
    Snapshot::new(to).write(1_800_000_000_000_007, all.iter(), 1 << 20).unwrap();
    let mut lock = Lock::owner(to).unwrap().unwrap();
    lock.name(&Owner { operator: ([127, 0, 0, 1], 4100).into(), token: "0123456789abcdef".into() }).unwrap();
    for seed in [1, 2] {
        fs::write(to.join(format!("policy-{seed}.json")), serde_json::to_string(&random_state(seed)).unwrap()).unwrap();
    }
}
