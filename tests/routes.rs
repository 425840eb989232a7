//! The routes of the site file: every error with its code and position, and the behaviour of the policy under accepted
//! routes.

mod common;
use cedarbridge::routes::{worst_case, NamedSettings};
use cedarbridge::settings_json::Names;
use cedarbridge::site::Site;
use cedarbridge::*;
use common::*;
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::sync::Arc;

fn settings_and_names() -> (Settings, Names) {
    let mut settings = settings();
    settings.max_attempts = 10;
    settings.classes.truncate(3);
    settings.classes[WITH_KEY].deduplication_window = 15 * SECOND;
    let names = |all: &[&str]| all.iter().map(|name| name.to_string()).collect();
    let names = Names {
        classes: names(&["free", "notice", "once"]),
        kinds: names(&["small", "apart", "large"]),
        ..Names::default()
    };
    (settings, names)
}

fn read(text: &str) -> Result<Site, Vec<String>> {
    let (settings, names) = settings_and_names();
    let site = Site::read(text, NamedSettings { settings: &settings, names: &names });
    site.map_err(|errors| {
        errors
            .iter()
            .map(|error| format!("{}:{} {}", error.at.line, error.at.column, error.code.as_str()))
            .collect()
    })
}

/// A site file with these routes, one on each line from line 3 on.
fn routes(texts: &[&str]) -> String {
    let mut text = String::from("version: 1\nroutes:\n");
    texts.iter().for_each(|route| text += &format!("- {{{route}}}\n"));
    text
}

/// Removes the marks `^` from a text; returns it with the positions of the marks, at which errors are expected.
fn without_marks(text: &str) -> (String, Vec<String>) {
    let mut positions = Vec::new();
    for (line_index, line) in text.lines().enumerate() {
        for (earlier_marks, column) in line.match_indices('^').map(|mark| mark.0).enumerate() {
            positions.push(format!("{}:{}", line_index + 1, column - earlier_marks + 1));
        }
    }
    (text.replace('^', ""), positions)
}

#[test]
#[expect(clippy::too_many_lines, reason = "a table of cases")]
fn every_error_is_reported_with_its_own_code_and_position() {
    let named = |rest: &str| format!("name: a, match: {{class: notice}}, {rest}");
    let one = |rest: &str| vec![named(rest)];
    let all = |texts: &[&str]| texts.iter().map(|route| route.to_string()).collect::<Vec<_>>();
    let cases: Vec<(Vec<String>, &str)> = vec![
        (one("attempts: ^0"), "attempts"),
        (one("timeout: 100ms, attempts: ^11"), "attempts"),
        (one("timeout: 100ms, attempts: ^13"), "attempts"),
        (one("timeout: 3s, second-copy: {after: ^2s}"), "second-copy"),
        // Without a timeout in the route, an attempt may be in flight for the longest default timeout.
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
    let files = ["version: ^2\n", "^routes: []\n", "version: 1\n^version: 1\n", "version: 1\n^quotas: {}\n"];
    let files = files.into_iter().zip(["version", "missing-key", "repeated-key", "unknown-key"]);
    let more_files = [
        ("version: 1\nroutes: ^5\n", "type"),
        ("^- 1\n", "type"),
        ("version: 1\nroutes: [^{match: {}}]\n", "missing-key"),
        ("version: 1\nroutes: [^{name: a}]\n", "missing-key"),
        ("version: [1\nroutes^: 2", "syntax"),
    ];
    let cases = cases
        .iter()
        .map(|(texts, codes)| (routes(&texts.iter().map(String::as_str).collect::<Vec<_>>()), *codes));
    let file_cases = files.chain(more_files).map(|(text, code)| (text.to_owned(), code));
    for (text, codes) in cases.chain(file_cases) {
        let (text, positions) = without_marks(&text);
        let expected: Vec<String> = codes.split(' ').map(|code| format!("{} {code}", positions[0])).collect();
        assert_eq!(read(&text).expect_err(&text), expected, "{text}");
    }
}

#[test]
fn a_file_that_is_nested_or_expands_without_end_is_rejected() {
    let alias_bomb = (0..40).fold("a0: &a0 [x, x]\n".to_owned(), |text, level| {
        text + &format!("a{}: &a{} [*a{level}, *a{level}]\n", level + 1, level + 1)
    });
    for text in ["[".repeat(1_000_000), "a: ".repeat(10_000), alias_bomb, "x".repeat(17 * 1024 * 1024)] {
        assert!(read(&text).expect_err("rejected")[0].ends_with("syntax"));
    }
}

#[test]
fn all_errors_are_reported_at_once_in_the_order_of_the_file() {
    let text = routes(&[
        "name: a, match: {kind: small, knd: x}, timeout: 3",
        "name: b, match: {class: notice}, timeout: 4s, attempts: 7, give-up: 30s",
        "name: b, match: {class: rare}, pause: {first: 3s, longest: 2s}",
    ]);
    let expected = [
        "3:34 unknown-key",
        "3:52 unit",
        "4:60 memory-span",
        "4:60 deadline",
        "4:72 deadline",
        "5:10 repeated-name",
        "5:28 unknown-class",
    ];
    assert_eq!(read(&text).expect_err("rejected"), expected);
}

#[test]
fn the_more_specific_route_wins() {
    let matches = [
        "",
        "class: notice",
        "kind: small",
        "kind: small, class: notice",
        "destination: 5",
        "destination: 5, class: notice",
        "destination: 5, kind: small",
        "destination: 5, kind: small, class: notice",
    ];
    // Each route is read together with all less specific ones: the last one wins.
    for last in 0..matches.len() {
        let texts: Vec<String> =
            (0..=last).map(|index| format!("name: e{index}, match: {{{}}}", matches[index])).collect();
        let text = routes(&texts.iter().map(String::as_str).collect::<Vec<_>>());
        let table = read(&text).expect(&text).routes;
        let winner = table.find(DestinationId(5), Some(KindId(0)), ClassId(WITH_KEY)).expect("one wins");
        assert_eq!(table.routes()[winner.0 as usize].name, format!("e{last}"));
        let default =
            table.find(DestinationId(6), Some(KindId(1)), ClassId(IDEMPOTENT)).expect("the default");
        assert_eq!(table.routes()[default.0 as usize].name, "e0");
        let by_class = table.find(DestinationId(6), None, ClassId(WITH_KEY)).expect("by class alone");
        assert_eq!(table.routes()[by_class.0 as usize].name, if last > 0 { "e1" } else { "e0" });
    }
}

fn settings_with_routes(texts: &[&str]) -> Settings {
    let mut settings = settings_and_names().0;
    settings.routes = Some(Arc::new(read(&routes(texts)).expect("accepted").routes));
    settings
}

/// When the attempt that is sent for a message times out, and whether it is the last one; `None` if none is sent.
fn attempt_timeout(actions: &[Action], message: MessageId) -> Option<(Micros, bool)> {
    actions.iter().find_map(|action| match action {
        Action::Send { id, timeout_at: expires_at, final_attempt: is_final, .. } if *id == message => {
            Some((*expires_at, *is_final))
        }
        _ => None,
    })
}

#[test]
fn attempts_timeout_pause_and_end_are_those_of_the_route() {
    let route = "name: a, match: {class: notice}, timeout: 700ms, attempts: 3, \
                 pause: {first: 300ms, longest: 400ms}, give-up: 9s";
    let mut harness = PolicyHarness::new(settings_with_routes(&[route]), vec![entry(7, 1, 0)]);
    let message = harness.new_message(WITH_KEY, 1);
    let id = message.id;
    let mut actions = harness.step(vec![Event::Message(message)]);
    for (attempt, pause) in [(0, 300), (1, 400)] {
        assert_eq!(attempt_timeout(&actions, id), Some((harness.now + 700 * MS, false)));
        let rejected = harness
            .step_after(10 * MS, vec![attempt_ended(id, attempt, EndpointId(7), Outcome::Rejected(None))]);
        assert!(sends(&rejected).is_empty());
        assert!(sends(&harness.step_after((pause - 1) * MS, vec![])).is_empty(), "before its pause is over");
        // The policy's own pause after a rejection may be longer than the route's.
        actions = harness.step_after(MS, vec![]);
        while sends(&actions).is_empty() {
            actions = harness.step_after(10 * MS, vec![]);
        }
    }
    let ended =
        harness.step_after(10 * MS, vec![attempt_ended(id, 2, EndpointId(7), Outcome::Rejected(None))]);
    assert!(is_rejected(&ended, id), "at once after the last attempt");
    // A message without any endpoint ends with the route's `give-up`.
    let removed = EndpointEntry { lifecycle: Lifecycle::Removed, ..entry(7, 1, 0) };
    let message = harness.new_message(WITH_KEY, 1);
    let id = message.id;
    harness
        .step(vec![Event::EndpointList(EndpointListUpdate::Patch(vec![removed])), Event::Message(message)]);
    assert!(!is_rejected(&harness.step_after(8900 * MS, vec![]), id));
    assert!(is_rejected(&harness.step_after(100 * MS, vec![]), id));
}

#[test]
fn a_second_copy_goes_elsewhere_only_once_the_first_attempt_timed_out() {
    let route = "name: a, match: {class: notice}, timeout: 500ms, second-copy: {after: 800ms}";
    let mut harness =
        PolicyHarness::new(settings_with_routes(&[route]), vec![entry(7, 1, 0), entry(8, 1, 0)]);
    let (id, first) = harness.send_one(WITH_KEY, 1);
    assert!(sends(&harness.step_after(500 * MS, vec![])).is_empty(), "nothing while the first is in flight");
    assert!(sends(&harness.step_after(MS, vec![attempt_ended(id, 0, first, Outcome::TimedOut)])).is_empty());
    assert!(sends(&harness.step_after(298 * MS, vec![])).is_empty(), "not before its time");
    let retries = sends(&harness.step_after(2 * MS, vec![]));
    assert_eq!(retries.len(), 1);
    assert_ne!(retries[0], (id, first), "to another endpoint");
    // If there is no other endpoint, it goes to the same one.
    let mut harness = PolicyHarness::new(settings_with_routes(&[route]), vec![entry(7, 1, 0)]);
    let (id, endpoint) = harness.send_one(WITH_KEY, 1);
    harness.step_after(500 * MS, vec![attempt_ended(id, 0, endpoint, Outcome::TimedOut)]);
    assert_eq!(sends(&harness.step_after(300 * MS, vec![])), [(id, endpoint)]);
}

/// Guards against a call that ends for all its messages when the shortest timeout among them is over.
#[test]
fn messages_with_different_timeouts_do_not_share_a_call() {
    let texts =
        ["name: a, match: {class: notice}, timeout: 900ms", "name: b, match: {class: free}, timeout: 4s"];
    let mut harness = PolicyHarness::new(settings_with_routes(&texts), vec![entry(7, 1, 2)]);
    // A retry-after holds the messages back until all of them wait.
    let waits = (0..2).map(|_| Event::RetryAfter { endpoint: EndpointId(7), retry_after: SECOND }).collect();
    harness.step(waits);
    let classes = [WITH_KEY, IDEMPOTENT, WITH_KEY, IDEMPOTENT, WITH_KEY];
    let all: Vec<NewMessage> = classes.iter().map(|class| harness.new_message(*class, 1)).collect();
    let class_of: BTreeMap<MessageId, usize> =
        all.iter().map(|message| (message.id, message.class.0)).collect();
    harness.step(all.into_iter().map(Event::Message).collect());
    let actions = harness.step_after(1100 * MS, vec![]);
    let timeouts: Vec<Micros> =
        sends(&actions).iter().map(|send| attempt_timeout(&actions, send.0).expect("sent").0).collect();
    assert!(!timeouts.is_empty());
    // A call carries up to three messages. All messages of the class that is sent first are among the first
    // three, so the first call carries only that class.
    let first = class_of[&sends(&actions)[0].0];
    let same_class = sends(&actions).iter().take(3).filter(|send| class_of[&send.0] == first).count();
    assert_eq!(
        same_class,
        sends(&actions).len().min(classes.iter().filter(|class| **class == first).count())
    );
}

#[test]
fn a_reload_applies_to_queued_messages_and_not_to_attempts_in_flight() {
    let reload = |route: &str| Event::Settings(Box::new(settings_with_routes(&[route])));
    let mut harness = PolicyHarness::new(
        settings_with_routes(&["name: a, match: {}, timeout: 2s, attempts: 5, give-up: 15s"]),
        vec![entry(7, 1, 0), entry(8, 2, 0)],
    );
    // Both messages have used up their attempts under the new routes. The queued one ends at once, the other one when its
    // attempt ends.
    let (in_flight, endpoint) = harness.send_one(IDEMPOTENT, 1);
    let (queued, other_endpoint) = harness.send_one(IDEMPOTENT, 2);
    harness.step_after(10 * MS, vec![attempt_ended(queued, 0, other_endpoint, Outcome::Rejected(None))]);
    let actions = harness.step(vec![reload("name: a, match: {}, timeout: 300ms, attempts: 1, give-up: 12s")]);
    assert!(is_rejected(&actions, queued) && !is_rejected(&actions, in_flight) && sends(&actions).is_empty());
    assert!(is_rejected(
        &harness.step_after(10 * MS, vec![attempt_ended(in_flight, 0, endpoint, Outcome::Rejected(None))]),
        in_flight
    ));
    // A shorter timeout applies from the next attempt on, a shorter `give-up` at once.
    harness.now += 3 * SECOND;
    let (in_flight, endpoint) = harness.send_one(IDEMPOTENT, 1);
    let actions =
        harness.step(vec![reload("name: a, match: {}, timeout: 200ms, attempts: 4, give-up: 900ms")]);
    assert!(actions.iter().all(|action| !matches!(action, Action::Cancel { .. } | Action::Fail { .. })));
    harness.step_after(950 * MS, vec![]);
    assert!(is_rejected(
        &harness.step_after(MS, vec![attempt_ended(in_flight, 0, endpoint, Outcome::ConnectFailed)]),
        in_flight
    ));
}

/// Guards against a second attempt beside one in flight: a message whose time is over is reported as ended while its shared
/// call goes on for other messages. A longer `give-up` must not make that message pending again.
#[test]
fn a_longer_give_up_does_not_reopen_a_message_whose_last_attempt_is_in_flight() {
    let settings = |give_up: &str| {
        settings_with_routes(&[&format!("name: a, match: {{}}, timeout: 1500ms, give-up: {give_up}")])
    };
    let mut harness = PolicyHarness::new(settings("2s"), vec![entry(7, 1, 2)]);
    let (id, endpoint) = harness.send_one(IDEMPOTENT, 1);
    let end = harness.now + 2 * SECOND;
    let mut actions =
        harness.step_after(800 * MS, vec![attempt_ended(id, 0, endpoint, Outcome::Rejected(None))]);
    while sends(&actions).is_empty() {
        actions = harness.step_after(10 * MS, vec![]);
    }
    // The last attempt times out one step (`min_step_interval`, 5 ms) before the message expires.
    assert_eq!(attempt_timeout(&actions, id), Some((end - 5 * MS, true)));
    harness.step_after(10 * MS, vec![Event::Settings(Box::new(settings("9s")))]);
    let remaining = end - 5 * MS - harness.now;
    let actions = harness.step_after(remaining, vec![attempt_ended(id, 1, endpoint, Outcome::TimedOut)]);
    assert!(is_rejected(&actions, id) && sends(&actions).is_empty());
}

/// The values of a generated route; times are in milliseconds.
#[derive(Clone, Debug)]
struct RouteValues {
    class: usize,
    timeout: u64,
    attempts: u64,
    /// The first and the longest pause.
    pause: Option<(u64, u64)>,
    hedge_after: Option<u64>,
    give_up: Option<u64>,
}

impl RouteValues {
    fn text(&self) -> String {
        let class = ["free", "notice", "once"][self.class];
        let mut text = format!(
            "name: a, match: {{class: {class}}}, timeout: {}ms, attempts: {}",
            self.timeout, self.attempts
        );
        self.pause.iter().for_each(|(first, longest)| {
            text += &format!(", pause: {{first: {first}ms, longest: {longest}ms}}")
        });
        self.hedge_after.iter().for_each(|after| text += &format!(", second-copy: {{after: {after}ms}}"));
        self.give_up.iter().for_each(|after| text += &format!(", give-up: {after}ms"));
        text
    }
}

/// Values that pass most checks: the worst case may still exceed a limit, which the tests filter out.
fn mostly_valid() -> impl Strategy<Value = RouteValues> {
    let pause = proptest::option::of((20u64..400, 0u64..900));
    (0usize..3, 50u64..1500, 1u64..9, pause, proptest::option::of(0u64..300), any::<bool>()).prop_map(
        |(class, timeout, attempts, pause, hedge_after, gives_up)| {
            let pause = pause.map(|(first, more)| (first, first + more));
            let hedge_after = hedge_after.filter(|_| class != NON_IDEMPOTENT).map(|more| timeout + more);
            RouteValues { class, timeout, attempts, pause, hedge_after, give_up: gives_up.then_some(19_900) }
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn a_file_with_one_wrong_value_is_rejected_with_its_code(valid in mostly_valid(), change in 0usize..7) {
        let text = routes(&[&valid.text()]);
        // Many long attempts may exceed the deduplication window of the class with a key, which is an error already.
        prop_assume!(read(&text).is_ok());
        let mut invalid = valid.clone();
        let code = match change {
            0 => { invalid.attempts = 0; "attempts" }
            1 => { invalid.attempts += 10; "attempts" }
            2 => { invalid.timeout = 25_000; invalid.hedge_after = None; "deadline" }
            3 => { invalid.pause = Some((400, 399)); "pause" }
            4 => { invalid.hedge_after = Some(invalid.timeout - 1); "second-copy" }
            5 => { invalid.give_up = Some(20_001); "deadline" }
            _ => { invalid.give_up = Some(invalid.timeout / 2); "give-up" }
        };
        let errors = read(&routes(&[&invalid.text()])).expect_err("rejected");
        prop_assert!(errors.iter().any(|error| error.ends_with(&format!(" {code}"))), "{:?} for {}", errors, code);
    }

    #[test]
    fn no_accepted_file_lets_the_policy_break_a_rule(
        values in mostly_valid(),
        outcomes in proptest::collection::vec((0u8..8, 0u64..100), 200),
    ) {
        let text = routes(&[&values.text()]);
        prop_assume!(read(&text).is_ok());
        let mut harness = PolicyHarness::new(
            settings_with_routes(&[&values.text()]),
            vec![entry(7, 1, 0), entry(8, 1, 0), entry(9, 2, 2)],
        );
        let received_at: BTreeMap<MessageId, Micros> = (0..6).map(|index| {
            let message = harness.new_message(values.class, 1 + index % 2);
            (message.id, harness.now)
        }).collect();
        let mut new_messages: Vec<Event> = received_at.keys().map(|id| {
            let mut message = harness.new_message(values.class, 1 + (id.0 + 1) % 2);
            message.id = *id;
            Event::Message(message)
        }).collect();
        // The attempts in flight: endpoint, number, start and timeout.
        let mut in_flight: BTreeMap<MessageId, (EndpointId, u32, Micros, Micros)> = BTreeMap::new();
        let (mut attempts, mut may_have_run, mut ended) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        let mut draws = outcomes.iter().cycle();
        for _ in 0..2300 {
            harness.now += 10 * MS;
            let mut events = std::mem::take(&mut new_messages);
            let ids: Vec<MessageId> = in_flight.keys().copied().collect();
            for id in ids {
                let (endpoint, attempt, sent, timeout_at) = in_flight[&id];
                let (kind, delay) = draws.next().expect("without end");
                let outcome = match kind {
                    _ if harness.now >= timeout_at => Outcome::TimedOut,
                    _ if *delay > 4 => continue,
                    0 => Outcome::Ok,
                    1 | 2 => Outcome::Rejected(None),
                    3 => Outcome::Rejected(Some(50 * MS)),
                    4 => Outcome::Error,
                    5 => Outcome::ConnectFailed,
                    6 => Outcome::Reset,
                    _ => Outcome::NotSent,
                };
                in_flight.remove(&id);
                if matches!(outcome, Outcome::TimedOut | Outcome::Error | Outcome::Reset) {
                    may_have_run.entry(id).or_insert(sent);
                }
                if outcome == Outcome::Ok {
                    ended.insert(id, harness.now);
                }
                events.push(attempt_ended(id, attempt, endpoint, outcome));
            }
            for action in harness.step(events) {
                match action {
                    Action::Send { id, endpoint, timeout_at, .. } => {
                        prop_assert!(!ended.contains_key(&id), "an attempt after the end");
                        let count = attempts.entry(id).or_insert(0u32);
                        *count += 1;
                        prop_assert!(u64::from(*count) <= values.attempts, "{} attempts", count);
                        prop_assert!(timeout_at <= harness.now + values.timeout * MS, "the timeout is too late");
                        if let Some(first) = may_have_run.get(&id) {
                            prop_assert!(values.class != NON_IDEMPOTENT, "a second side effect");
                            prop_assert!(
                                values.class != WITH_KEY || harness.now < first + 15 * SECOND,
                                "a retry outside of the deduplication window"
                            );
                        }
                        prop_assert!(
                            in_flight.insert(id, (endpoint, *count - 1, harness.now, timeout_at)).is_none(),
                            "two attempts in flight"
                        );
                    }
                    Action::Reject { id, .. } | Action::Fail { id, .. } => {
                        prop_assert!(ended.insert(id, harness.now).is_none(), "a second end");
                    }
                    _ => {}
                }
            }
        }
        let longest = values.give_up.unwrap_or(20_000) * MS;
        for (id, received) in &received_at {
            let end = ended.get(id).copied();
            prop_assert!(end.is_some_and(|end| end <= received + longest + 20 * MS), "{:?} ended at {:?}", id, end);
        }
    }

    #[test]
    fn the_attempts_of_the_worst_case_do_not_overlap_and_end_in_time(values in mostly_valid()) {
        let Ok(site) = read(&routes(&[&values.text()])) else { return Ok(()) };
        let timing = site.routes.routes()[0].timing;
        let steps = worst_case(&timing, values.timeout * MS, values.attempts as u32);
        prop_assert_eq!(steps.len() as u64, values.attempts);
        for pair in steps.windows(2) {
            prop_assert!(pair[1].starts_at >= pair[0].times_out_at, "one attempt at a time");
        }
        prop_assert!(steps[steps.len() - 1].times_out_at <= 20 * SECOND);
    }
}
