//! The site file's routes: every error by its code and place, and what the policy makes of an accepted file.

mod common;
use cedarbridge::routes::{worst_case, NamedSettings};
use cedarbridge::settings_json::Names;
use cedarbridge::site::Site;
use cedarbridge::*;
use common::*;
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::sync::Arc;

fn platform() -> (Settings, Names) {
    let mut s = settings();
    s.max_attempts = 10;
    s.classes.truncate(3);
    s.classes[WITH_KEY].deduplication_window = 15 * SECOND;
    let names = |all: &[&str]| all.iter().map(|n| n.to_string()).collect();
    let names = Names {
        classes: names(&["free", "notice", "once"]),
        kinds: names(&["small", "apart", "large"]),
        ..Names::default()
    };
    (s, names)
}

fn read(text: &str) -> Result<Site, Vec<String>> {
    let (settings, names) = platform();
    let read = Site::read(text, NamedSettings { settings: &settings, names: &names });
    read.map_err(|all| {
        all.iter().map(|b| format!("{}:{} {}", b.at.line, b.at.column, b.code.as_str())).collect()
    })
}

/// Entries, one a line, from line 3 on.
fn routes(entries: &[&str]) -> String {
    let mut text = String::from("version: 1\nroutes:\n");
    entries.iter().for_each(|e| text += &format!("- {{{e}}}\n"));
    text
}

/// Takes the marks out of a text; each marks a place where an error is expected.
fn marked(text: &str) -> (String, Vec<String>) {
    let mut places = Vec::new();
    for (at, line) in text.lines().enumerate() {
        for (before, column) in line.match_indices('^').map(|m| m.0).enumerate() {
            places.push(format!("{}:{}", at + 1, column - before + 1));
        }
    }
    (text.replace('^', ""), places)
}

#[test]
#[expect(clippy::too_many_lines, reason = "a table of cases")]
fn every_error_is_reported_with_its_own_code_and_place() {
    let named = |rest: &str| format!("name: a, match: {{class: notice}}, {rest}");
    let one = |rest: &str| vec![named(rest)];
    let all = |entries: &[&str]| entries.iter().map(|e| e.to_string()).collect::<Vec<_>>();
    let cases: Vec<(Vec<String>, &str)> = vec![
        (one("attempts: ^0"), "attempts"),
        (one("timeout: 100ms, attempts: ^11"), "attempts"),
        (one("timeout: 100ms, attempts: ^13"), "attempts"),
        (one("timeout: 3s, second-copy: {after: ^2s}"), "second-copy"),
        // Without a time-out, an attempt may be out for as long as the module lets it.
        (one("second-copy: {after: ^2s}"), "second-copy"),
        (all(&["name: a, match: {class: once}, timeout: 2s, second-copy: {after: ^2s}"]), "side-effect"),
        (one("timeout: 3s, attempts: ^6, pause: {first: 50ms, longest: 50ms}"), "memory-span"),
        (all(&["name: a, match: {class: free}, timeout: 6s, attempts: ^4"]), "deadline"),
        (all(&["name: a, match: {class: once}, timeout: ^21s"]), "deadline"),
        (one("attempts: ^2"), "memory-span deadline"),
        (one("timeout: 2s, attempts: 4, give-up: ^7s"), "give-up"),
        (one("give-up: ^21s"), "deadline"),
        (all(&["name: a, match: {kind: small}", "name: b, match: ^{kind: small}"]), "overlap"),
        (
            all(&["name: a, match: {destination: [1, 2]}", "name: b, match: ^{destination: [2, 3]}"]),
            "overlap",
        ),
        (
            all(&[
                "name: a, match: ^{}",
                "name: b, match: {kind: small}",
                "name: c, match: {kind: apart}",
                "name: d, match: {kind: large}",
            ]),
            "shadowed",
        ),
        (
            all(&[
                "name: a, match: ^{destination: 4}",
                "name: b, match: {destination: 4, class: free}",
                "name: c, match: {destination: 4, class: notice}",
                "name: d, match: {destination: 4, class: once}",
            ]),
            "shadowed",
        ),
        (all(&["name: a, match: {kind: small}", "name: ^a, match: {kind: large}"]), "repeated-name"),
        (all(&["name: a, match: {kind: ^huge}"]), "unknown-kind"),
        (all(&["name: a, match: {class: ^rare}"]), "unknown-class"),
        (one("^time-out: 2s"), "unknown-key"),
        (one("timeout: 2s, ^timeout: 3s"), "repeated-key"),
        (one("timeout: ^0s"), "time"),
        (one("timeout: ^-1s"), "time"),
        (one("give-up: ^1441m"), "time"),
        (one("timeout: ^3"), "unit"),
        (one("timeout: ^3h"), "unit"),
        (one("timeout: ^1e3ms"), "unit"),
        (one("timeout: ^[3s]"), "type"),
        (one("attempts: ^2.5"), "type"),
        (all(&["name: ^7, match: {}"]), "type"),
        (one("pause: {first: 2s, longest: ^1s}"), "pause"),
        (one("pause: ^{first: 2s}"), "missing-key"),
        (all(&["name: a, match: {destination: ^[]}"]), "no-destination"),
        (all(&["name: a, match: {destination: [5, 6, ^5]}"]), "repeated-destination"),
        (all(&["name: a, match: {destination: ^five}"]), "type"),
    ];
    let whole = ["version: ^2\n", "^routes: []\n", "version: 1\n^version: 1\n", "version: 1\n^quotas: {}\n"];
    let whole = whole.into_iter().zip(["version", "missing-key", "repeated-key", "unknown-key"]);
    let more = [
        ("version: 1\nroutes: ^5\n", "type"),
        ("^- 1\n", "type"),
        ("version: 1\nroutes: [^{match: {}}]\n", "missing-key"),
        ("version: 1\nroutes: [^{name: a}]\n", "missing-key"),
        ("version: [1\nroutes^: 2", "syntax"),
    ];
    let cases = cases
        .iter()
        .map(|(entries, codes)| (routes(&entries.iter().map(String::as_str).collect::<Vec<_>>()), *codes));
    let rest = whole.chain(more).map(|(text, code)| (text.to_owned(), code));
    for (text, codes) in cases.chain(rest) {
        let (text, places) = marked(&text);
        let wanted: Vec<String> = codes.split(' ').map(|c| format!("{} {c}", places[0])).collect();
        assert_eq!(read(&text).expect_err(&text), wanted, "{text}");
    }
}

#[test]
fn a_file_that_is_nested_or_expands_without_end_is_rejected() {
    let bomb = (0..40).fold("a0: &a0 [x, x]\n".to_owned(), |all, i| {
        all + &format!("a{}: &a{} [*a{i}, *a{i}]\n", i + 1, i + 1)
    });
    for text in ["[".repeat(1_000_000), "a: ".repeat(10_000), bomb, "x".repeat(17 * 1024 * 1024)] {
        assert!(read(&text).expect_err("refused")[0].ends_with("syntax"));
    }
}

#[test]
fn all_errors_are_reported_at_once_in_the_order_of_the_file() {
    let text = routes(&[
        "name: a, match: {kind: small, knd: x}, timeout: 3",
        "name: b, match: {class: notice}, timeout: 4s, attempts: 7, give-up: 30s",
        "name: b, match: {class: rare}, pause: {first: 3s, longest: 2s}",
    ]);
    let wanted = [
        "3:34 unknown-key",
        "3:52 unit",
        "4:60 memory-span",
        "4:60 deadline",
        "4:72 deadline",
        "5:10 repeated-name",
        "5:28 unknown-class",
    ];
    assert_eq!(read(&text).expect_err("refused"), wanted);
}

#[test]
fn the_more_specific_entry_wins() {
    let shapes = [
        "",
        "class: notice",
        "kind: small",
        "kind: small, class: notice",
        "destination: 5",
        "destination: 5, class: notice",
        "destination: 5, kind: small",
        "destination: 5, kind: small, class: notice",
    ];
    // Each entry with all that are less specific: the last one wins.
    for last in 0..shapes.len() {
        let entries: Vec<String> =
            (0..=last).map(|i| format!("name: e{i}, match: {{{}}}", shapes[i])).collect();
        let text = routes(&entries.iter().map(String::as_str).collect::<Vec<_>>());
        let plan = read(&text).expect(&text).routes;
        let won = plan.find(DestinationId(5), Some(KindId(0)), ClassId(WITH_KEY)).expect("one wins");
        assert_eq!(plan.routes()[won.0 as usize].name, format!("e{last}"));
        let other = plan.find(DestinationId(6), Some(KindId(1)), ClassId(IDEMPOTENT)).expect("the default");
        assert_eq!(plan.routes()[other.0 as usize].name, "e0");
        let unknown = plan.find(DestinationId(6), None, ClassId(WITH_KEY)).expect("by class alone");
        assert_eq!(plan.routes()[unknown.0 as usize].name, if last > 0 { "e1" } else { "e0" });
    }
}

fn with_routes(entries: &[&str]) -> Settings {
    let mut s = platform().0;
    s.routes = Some(Arc::new(read(&routes(entries)).expect("accepted").routes));
    s
}

fn cut_of(actions: &[Action], of: MessageId) -> Option<(Micros, bool)> {
    actions.iter().find_map(|a| match a {
        Action::Send { id, timeout_at: cut_at, final_attempt: last, .. } if *id == of => {
            Some((*cut_at, *last))
        }
        _ => None,
    })
}

#[test]
fn attempts_timeout_pause_and_end_are_those_of_the_route() {
    let entry_of = "name: a, match: {class: notice}, timeout: 700ms, attempts: 3, \
                    pause: {first: 300ms, longest: 400ms}, give-up: 9s";
    let mut w = PolicyHarness::new(with_routes(&[entry_of]), vec![entry(7, 1, 0)]);
    let m = w.new_message(WITH_KEY, 1);
    let id = m.id;
    let mut actions = w.step(vec![Event::Message(m)]);
    for (attempt, pause) in [(0, 300), (1, 400)] {
        assert_eq!(cut_of(&actions, id), Some((w.now + 700 * MS, false)));
        let back =
            w.step_after(10 * MS, vec![attempt_ended(id, attempt, EndpointId(7), Outcome::Rejected(None))]);
        assert!(sends(&back).is_empty());
        assert!(sends(&w.step_after((pause - 1) * MS, vec![])).is_empty(), "before its pause is over");
        // The module's own pause after a refusal may be the longer one.
        actions = w.step_after(MS, vec![]);
        while sends(&actions).is_empty() {
            actions = w.step_after(10 * MS, vec![]);
        }
    }
    let over = w.step_after(10 * MS, vec![attempt_ended(id, 2, EndpointId(7), Outcome::Rejected(None))]);
    assert!(is_rejected(&over, id), "at once after the last attempt");
    // And one that nothing can take ends with its give-up.
    let gone = EndpointEntry { lifecycle: Lifecycle::Removed, ..entry(7, 1, 0) };
    let m = w.new_message(WITH_KEY, 1);
    let id = m.id;
    w.step(vec![Event::EndpointList(EndpointListUpdate::Patch(vec![gone])), Event::Message(m)]);
    assert!(!is_rejected(&w.step_after(8900 * MS, vec![]), id));
    assert!(is_rejected(&w.step_after(100 * MS, vec![]), id));
}

#[test]
fn a_hedged_request_goes_elsewhere_only_once_the_first_timed_out() {
    let entry_of = "name: a, match: {class: notice}, timeout: 500ms, second-copy: {after: 800ms}";
    let mut w = PolicyHarness::new(with_routes(&[entry_of]), vec![entry(7, 1, 0), entry(8, 1, 0)]);
    let (id, first) = w.send_one(WITH_KEY, 1);
    assert!(sends(&w.step_after(500 * MS, vec![])).is_empty(), "nothing while it is out");
    assert!(sends(&w.step_after(MS, vec![attempt_ended(id, 0, first, Outcome::TimedOut)])).is_empty());
    assert!(sends(&w.step_after(298 * MS, vec![])).is_empty(), "not before its time");
    let copies = sends(&w.step_after(2 * MS, vec![]));
    assert_eq!(copies.len(), 1);
    assert_ne!(copies[0], (id, first), "elsewhere");
    // With nowhere else, it goes to the same endpoint.
    let mut w = PolicyHarness::new(with_routes(&[entry_of]), vec![entry(7, 1, 0)]);
    let (id, e) = w.send_one(WITH_KEY, 1);
    w.step_after(500 * MS, vec![attempt_ended(id, 0, e, Outcome::TimedOut)]);
    assert_eq!(sends(&w.step_after(300 * MS, vec![])), [(id, e)]);
}

/// Guards against a call cut for all that it carries when the shortest time-out among them is over.
#[test]
fn messages_with_different_timeouts_do_not_share_a_call() {
    let entries =
        ["name: a, match: {class: notice}, timeout: 900ms", "name: b, match: {class: free}, timeout: 4s"];
    let mut w = PolicyHarness::new(with_routes(&entries), vec![entry(7, 1, 2)]);
    let hold = (0..2).map(|_| Event::RetryAfter { endpoint: EndpointId(7), retry_after: SECOND }).collect();
    w.step(hold);
    let classes = [WITH_KEY, IDEMPOTENT, WITH_KEY, IDEMPOTENT, WITH_KEY];
    let all: Vec<NewMessage> = classes.iter().map(|c| w.new_message(*c, 1)).collect();
    let class_of: BTreeMap<MessageId, usize> = all.iter().map(|m| (m.id, m.class.0)).collect();
    w.step(all.into_iter().map(Event::Message).collect());
    let actions = w.step_after(1100 * MS, vec![]);
    let cuts: Vec<Micros> = sends(&actions).iter().map(|s| cut_of(&actions, s.0).expect("sent").0).collect();
    assert!(!cuts.is_empty());
    // One step makes one call of up to three to an endpoint that has just told a wait.
    let first = class_of[&sends(&actions)[0].0];
    let alike = sends(&actions).iter().take(3).filter(|s| class_of[&s.0] == first).count();
    assert_eq!(alike, sends(&actions).len().min(classes.iter().filter(|c| **c == first).count()));
}

#[test]
fn a_reload_binds_queued_messages_and_leaves_attempts_in_flight() {
    let one = |text: &str| Event::Settings(Box::new(with_routes(&[text])));
    let mut w = PolicyHarness::new(
        with_routes(&["name: a, match: {}, timeout: 2s, attempts: 5, give-up: 15s"]),
        vec![entry(7, 1, 0), entry(8, 2, 0)],
    );
    // Used up under the new plan: its end comes at once, with the attempt that is out.
    let (out, e) = w.send_one(IDEMPOTENT, 1);
    let (held, h) = w.send_one(IDEMPOTENT, 2);
    w.step_after(10 * MS, vec![attempt_ended(held, 0, h, Outcome::Rejected(None))]);
    let actions = w.step(vec![one("name: a, match: {}, timeout: 300ms, attempts: 1, give-up: 12s")]);
    assert!(is_rejected(&actions, held) && !is_rejected(&actions, out) && sends(&actions).is_empty());
    assert!(is_rejected(
        &w.step_after(10 * MS, vec![attempt_ended(out, 0, e, Outcome::Rejected(None))]),
        out
    ));
    // A shorter time-out is that of the next attempt, a shorter give-up holds at once.
    w.now += 3 * SECOND;
    let (out, e) = w.send_one(IDEMPOTENT, 1);
    let actions = w.step(vec![one("name: a, match: {}, timeout: 200ms, attempts: 4, give-up: 900ms")]);
    assert!(actions.iter().all(|a| !matches!(a, Action::Cancel { .. } | Action::Fail { .. })));
    w.step_after(950 * MS, vec![]);
    assert!(is_rejected(&w.step_after(MS, vec![attempt_ended(out, 0, e, Outcome::ConnectFailed)]), out));
}

/// Guards against a second attempt beside one that was reported as up while its shared call went on: a longer
/// give-up must not bring that message back.
#[test]
fn a_longer_give_up_does_not_revive_a_message_whose_last_attempt_is_in_flight() {
    let file =
        |give_up: &str| with_routes(&[&format!("name: a, match: {{}}, timeout: 1500ms, give-up: {give_up}")]);
    let mut w = PolicyHarness::new(file("2s"), vec![entry(7, 1, 2)]);
    let (id, e) = w.send_one(IDEMPOTENT, 1);
    let end = w.now + 2 * SECOND;
    let mut actions = w.step_after(800 * MS, vec![attempt_ended(id, 0, e, Outcome::Rejected(None))]);
    while sends(&actions).is_empty() {
        actions = w.step_after(10 * MS, vec![]);
    }
    assert_eq!(cut_of(&actions, id), Some((end - 5 * MS, true)));
    w.step_after(10 * MS, vec![Event::Settings(Box::new(file("9s")))]);
    let left = end - 5 * MS - w.now;
    let actions = w.step_after(left, vec![attempt_ended(id, 1, e, Outcome::TimedOut)]);
    assert!(is_rejected(&actions, id) && sends(&actions).is_empty());
}

#[derive(Clone, Debug)]
struct Figures {
    class: usize,
    timeout: u64,
    attempts: u64,
    pause: Option<(u64, u64)>,
    copy: Option<u64>,
    give_up: Option<u64>,
}

impl Figures {
    fn text(&self) -> String {
        let class = ["free", "notice", "once"][self.class];
        let mut text = format!(
            "name: a, match: {{class: {class}}}, timeout: {}ms, attempts: {}",
            self.timeout, self.attempts
        );
        self.pause.iter().for_each(|(f, l)| text += &format!(", pause: {{first: {f}ms, longest: {l}ms}}"));
        self.copy.iter().for_each(|c| text += &format!(", second-copy: {{after: {c}ms}}"));
        self.give_up.iter().for_each(|g| text += &format!(", give-up: {g}ms"));
        text
    }
}

/// Figures that break no rule.
fn accepted() -> impl Strategy<Value = Figures> {
    let pause = proptest::option::of((20u64..400, 0u64..900));
    (0usize..3, 50u64..1500, 1u64..9, pause, proptest::option::of(0u64..300), any::<bool>()).prop_map(
        |(class, timeout, attempts, pause, copy, ends)| {
            let pause = pause.map(|(f, more)| (f, f + more));
            let copy = copy.filter(|_| class != NON_IDEMPOTENT).map(|c| timeout + c);
            Figures { class, timeout, attempts, pause, copy, give_up: ends.then_some(19_900) }
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn a_file_with_one_wrong_figure_is_rejected_with_the_code_that_fits(f in accepted(), which in 0usize..7) {
        let good = routes(&[&f.text()]);
        // The span of the keyed class may be passed by many long attempts; those are broken already.
        prop_assume!(read(&good).is_ok());
        let mut broken = f.clone();
        let code = match which {
            0 => { broken.attempts = 0; "attempts" }
            1 => { broken.attempts += 10; "attempts" }
            2 => { broken.timeout = 25_000; broken.copy = None; "deadline" }
            3 => { broken.pause = Some((400, 399)); "pause" }
            4 => { broken.copy = Some(broken.timeout - 1); "second-copy" }
            5 => { broken.give_up = Some(20_001); "deadline" }
            _ => { broken.give_up = Some(broken.timeout / 2); "give-up" }
        };
        let found = read(&routes(&[&broken.text()])).expect_err("refused");
        prop_assert!(found.iter().any(|b| b.ends_with(&format!(" {code}"))), "{:?} for {}", found, code);
    }

    #[test]
    fn no_accepted_file_lets_the_policy_break_a_rule(
        f in accepted(),
        outcomes in proptest::collection::vec((0u8..8, 0u64..100), 200),
    ) {
        let text = routes(&[&f.text()]);
        prop_assume!(read(&text).is_ok());
        let mut w = PolicyHarness::new(with_routes(&[&f.text()]), vec![entry(7, 1, 0), entry(8, 1, 0), entry(9, 2, 2)]);
        let ids: BTreeMap<MessageId, Micros> = (0..6).map(|i| {
            let m = w.new_message(f.class, 1 + i % 2);
            (m.id, w.now)
        }).collect();
        let mut fresh: Vec<Event> = ids.keys().map(|id| {
            let mut m = w.new_message(f.class, 1 + (id.0 + 1) % 2);
            m.id = *id;
            Event::Message(m)
        }).collect();
        let mut out: BTreeMap<MessageId, (EndpointId, u32, Micros, Micros)> = BTreeMap::new();
        let (mut attempts, mut ran, mut over) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        let mut draws = outcomes.iter().cycle();
        for _ in 0..2300 {
            w.now += 10 * MS;
            let mut events = std::mem::take(&mut fresh);
            let due: Vec<MessageId> = out.keys().copied().collect();
            for id in due {
                let (e, attempt, sent, cut) = out[&id];
                let (what, when) = draws.next().expect("without end");
                let outcome = match what {
                    _ if w.now >= cut => Outcome::TimedOut,
                    _ if *when > 4 => continue,
                    0 => Outcome::Ok,
                    1 | 2 => Outcome::Rejected(None),
                    3 => Outcome::Rejected(Some(50 * MS)),
                    4 => Outcome::Error,
                    5 => Outcome::ConnectFailed,
                    6 => Outcome::Reset,
                    _ => Outcome::NotSent,
                };
                out.remove(&id);
                if matches!(outcome, Outcome::TimedOut | Outcome::Error | Outcome::Reset) {
                    ran.entry(id).or_insert(sent);
                }
                if outcome == Outcome::Ok {
                    over.insert(id, w.now);
                }
                events.push(attempt_ended(id, attempt, e, outcome));
            }
            for action in w.step(events) {
                match action {
                    Action::Send { id, endpoint, timeout_at, .. } => {
                        prop_assert!(!over.contains_key(&id), "nothing after the end");
                        let n = attempts.entry(id).or_insert(0u32);
                        *n += 1;
                        prop_assert!(u64::from(*n) <= f.attempts, "{} attempts", n);
                        prop_assert!(timeout_at <= w.now + f.timeout * MS, "the time-out");
                        if let Some(first) = ran.get(&id) {
                            prop_assert!(f.class != NON_IDEMPOTENT, "a second effect");
                            prop_assert!(f.class != WITH_KEY || w.now < first + 15 * SECOND, "out of the span");
                        }
                        prop_assert!(out.insert(id, (endpoint, *n - 1, w.now, timeout_at)).is_none(), "two out");
                    }
                    Action::Reject { id, .. } | Action::Fail { id, .. } => {
                        prop_assert!(over.insert(id, w.now).is_none(), "one end");
                    }
                    _ => {}
                }
            }
        }
        let longest = f.give_up.unwrap_or(20_000) * MS;
        for (id, born) in &ids {
            let end = over.get(id).copied();
            prop_assert!(end.is_some_and(|t| t <= born + longest + 20 * MS), "{:?} ended at {:?}", id, end);
        }
    }

    #[test]
    fn the_worst_case_grows_with_each_figure(f in accepted()) {
        let Ok(site) = read(&routes(&[&f.text()])) else { return Ok(()) };
        let timing = site.routes.routes()[0].timing;
        let steps = worst_case(&timing, f.timeout * MS, f.attempts as u32);
        prop_assert_eq!(steps.len() as u64, f.attempts);
        for pair in steps.windows(2) {
            prop_assert!(pair[1].starts_at >= pair[0].abandoned_at, "one attempt at a time");
        }
        prop_assert!(steps[steps.len() - 1].abandoned_at <= 20 * SECOND);
    }
}
