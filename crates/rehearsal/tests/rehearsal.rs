//! The rehearsal program: it rejects invalid scenarios, a live run and a simulation agree, the audit detects each fault,
//! and no process is left behind.

use cedarbridge_rehearsal::audit::Rule;
use cedarbridge_rehearsal::captured_traffic::CapturedTraffic;
use cedarbridge_rehearsal::scenario::Scenario;
use cedarbridge_rehearsal::scenario_environment::build_environment;
use cedarbridge_rehearsal::simulation::simulate;
use cedarbridge_rehearsal::verdict::{Lateness, RunMode, RunReport, Verdict};
use serde_json::Value;
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_cedarbridge-rehearsal");

fn shipped_scenario(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios").join(name)
}

/// A temporary folder of one test. It is removed when this is dropped.
struct TestFolder(PathBuf);

impl TestFolder {
    fn new(name: &str) -> Self {
        let folder = std::env::temp_dir().join(format!("cedarbridge-kit-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        TestFolder(folder)
    }

    fn file(&self, name: &str) -> PathBuf {
        self.0.join(name)
    }

    fn scenario(&self, text: &str) -> PathBuf {
        let path = self.file("scenario.yaml");
        std::fs::write(&path, text).expect("written");
        path
    }
}

impl Drop for TestFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Starts a live rehearsal of a scenario with further arguments.
fn start_rehearsal(folder: &TestFolder, scenario: &Path, arguments: &[&str]) -> Child {
    let mut command = Command::new(PROGRAM);
    command.current_dir(&folder.0).arg("rehearse").arg(scenario).arg("--keep").arg(folder.file("kept"));
    command
        .arg("--json")
        .arg(folder.file("told.json"))
        .arg("--junit")
        .arg(folder.file("told.xml"))
        .args(arguments);
    command
        .env("RUST_BACKTRACE", "0")
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the rehearsal program")
}

fn read_verdict(folder: &TestFolder, out: &Output) -> Value {
    let text =
        std::fs::read_to_string(folder.file("told.json")).unwrap_or_else(|_| panic!("no figures: {out:?}"));
    serde_json::from_str(&text).expect("JSON")
}

/// Checks that no rule was violated, unless the machine was too loaded to judge the run.
fn assert_no_violation(verdict: &Value) {
    let not_judged = verdict["verdict"] == "not judged";
    assert!(not_judged || verdict["broken"] == Value::Array(vec![]), "{verdict:#}");
}

/// Simulates a scenario. Returns the share of the value that was delivered, and the number of violations.
fn simulate_scenario(text: &str, seed: u64) -> (f64, usize) {
    let scenario = Scenario::parse(text).expect("a scenario");
    let environment = build_environment(&scenario, seed, None);
    let (figures, violations) = simulate(&environment, None, seed);
    (figures.value().share(), violations.len())
}

/// Guards against a simulation that differs from the real program: the same scenario on sockets delivers about the same
/// share of the value. If the machine is too loaded, the run has no verdict and the shares are not compared.
#[test]
fn a_brief_rehearsal_is_as_expected_and_agrees_with_virtual_time() {
    let folder = TestFolder::new("brief");
    let out =
        start_rehearsal(&folder, &shipped_scenario("brief.yaml"), &[]).wait_with_output().expect("an end");
    let verdict = read_verdict(&folder, &out);
    assert_no_violation(&verdict);
    assert!(
        ["passed", "not judged"].contains(&verdict["verdict"].as_str().expect("a verdict")),
        "{verdict:#}"
    );
    let page = std::fs::read_to_string(folder.file("brief.html")).expect("a page");
    assert!(page.matches("<svg").count() == 5 && page.contains("operator"));
    let junit = std::fs::read_to_string(folder.file("told.xml")).expect("JUnit");
    assert!(junit.contains("rule one-answer") && junit.contains("expected worth"));
    if verdict["verdict"] == "passed" {
        // The forwarders' counters show that the breaker of the hanging destination opened and closed again.
        let operator = verdict["breakers"]["operator"].as_array().expect("a list of breaker states");
        assert!(
            operator.iter().any(|b| b[1] == "open") && operator.last().is_some_and(|b| b[1] == "closed"),
            "{verdict:#}"
        );
        let text = std::fs::read_to_string(shipped_scenario("brief.yaml")).expect("there");
        let live = verdict["worth"]["share"].as_f64().expect("a share");
        let (simulated, _) = simulate_scenario(&text, 1);
        // On a quiet machine the shares differ by at most 0.01 (`docs/measured-lab.md`); this machine may be busy.
        assert!((live - simulated).abs() < 0.15, "live {live}, in virtual time {simulated}");
    }
}

/// Guards against lost or repeated messages when a forwarder is killed: the journal restores the open ones.
#[test]
fn a_forwarder_killed_with_200_open_messages_ends_each_of_them() {
    let folder = TestFolder::new("killed");
    let scenario = folder.scenario(
        "title: Killed\nrate: 40\nforwarders: {count: 1, held: 400}\nclients: {again: 0}\npartners:\n  \
         - {name: operator, kind: cable-operator, share: 1, work: 60ms, headroom: 2, endpoints: 2}\n\
         phases:\n  - {name: all, for: 8s, load: 1}\nclumps:\n  \
         - {name: clump, partner: operator, at: {after: 1s}, messages: 220, within: 100ms}\nstops:\n  \
         - {forwarder: 1, signal: kill, at: {clump: clump, after: 350ms}}\n",
    );
    let out =
        start_rehearsal(&folder, &scenario, &["--log-level", "debug"]).wait_with_output().expect("an end");
    let verdict = read_verdict(&folder, &out);
    assert_no_violation(&verdict);
    // On a slow machine the restart may take longer than clients try to connect; their requests count as rejected.
    let count = |key: &str| verdict[key].as_u64().expect("a number");
    assert_eq!(
        (count("failed"), count("delivered") + count("refused")),
        (0, count("messages")),
        "{verdict:#}"
    );
    // The log, from before the kill and after, has the traffic for a simulation.
    let capture = folder.file("traffic.zst");
    let log = folder.file("kept/forwarder-1/log");
    let captured = Command::new(PROGRAM)
        .arg("capture")
        .arg(log)
        .arg("--out")
        .arg(&capture)
        .output()
        .expect("the rehearsal program");
    assert!(captured.status.success(), "{captured:?}");
    let traffic = CapturedTraffic::read(&capture).expect("captured traffic");
    assert!(
        traffic.messages.len() as u64 + count("refused") >= count("messages"),
        "{}",
        traffic.messages.len()
    );
    let simulated =
        Command::new(PROGRAM).arg("simulate").arg(&scenario).arg("--capture").arg(&capture).output();
    let summary = String::from_utf8(simulated.expect("the rehearsal program").stdout).expect("text");
    let messages = summary.lines().find_map(|l| l.split_once(" messages:")?.0.parse::<usize>().ok());
    assert!(messages.is_some_and(|n| n > 0 && n <= traffic.messages.len()), "{summary}");
}

/// Guards against a hand-over that loses or repeats messages, or rejects requests meanwhile.
#[test]
fn a_forwarder_upgraded_under_load_violates_no_rule() {
    let folder = TestFolder::new("replaced");
    let scenario = folder.scenario(
        "title: Replaced\nrate: 40\nforwarders: {count: 1, held: 100}\npartners:\n  \
         - {name: operator, kind: cable-operator, share: 3, work: 60ms, headroom: 1.5, endpoints: 2}\n  \
         - {name: shop, kind: small-partner, share: 1, work: 200ms, headroom: 1.5, tells-wait: 300ms}\n\
         phases:\n  - {name: all, for: 17s, load: 0.9, clumps: 0.1}\nstops:\n  \
         - {forwarder: 1, signal: upgrade, at: {after: 1s}, times: 3, every: 5s}\n",
    );
    let out = start_rehearsal(&folder, &scenario, &[]).wait_with_output().expect("an end");
    let verdict = read_verdict(&folder, &out);
    assert_no_violation(&verdict);
    assert_eq!(verdict["upgrades"].as_array().expect("a list").len(), 3, "{verdict:#}");
}

const FAULTS: &str = "title: Faults
rate: 40
forwarders: {count: 1, held: 24}
clients: {again: 0}
partners:
  - {name: operator, kind: cable-operator, share: 2, work: 150ms, headroom: 2, endpoints: 2}
  - {name: shop, kind: small-partner, share: 2, work: 150ms, headroom: 0.4, queue: 2, tells-wait: 700ms}
  - {name: away, kind: small-partner, share: 1, work: 100ms, headroom: 2}
phases:
  - {name: all, for: 5s, load: 1.4}
troubles:
  - {kind: refuse, partner: away, at: {after: 1s}, for: 1500ms}
replacements:
  - {partner: operator, at: {after: 1500ms}, drains: 1500ms}
limit: 16s
";

/// Guards against an audit that detects nothing: each fault of a proxy is reported under its rule, with its time and, where
/// it applies, its message and forwarder. The same scenario without a fault has no violation.
#[test]
fn each_fault_of_a_proxy_is_reported_under_its_rule() {
    let cases = [
        ("", None),
        ("twice", Some(Rule::SingleAttempt)),
        ("thirteen", Some(Rule::AttemptLimit)),
        ("in-wait", Some(Rule::RetryAfter)),
        ("after-drain", Some(Rule::Draining)),
        ("other-id", Some(Rule::StrayMessages)),
        ("push", Some(Rule::RecoveryOverload)),
        ("keep-notices", Some(Rule::SingleAnswer)),
        ("both-ends", Some(Rule::SingleAnswer)),
    ];
    let runs = cases.map(|(fault, rule)| {
        let folder = TestFolder::new(&format!("fault-{fault}"));
        let scenario = folder.scenario(FAULTS);
        let arguments = if fault.is_empty() { vec![] } else { vec!["--fault", fault] };
        let child = start_rehearsal(&folder, &scenario, &arguments);
        (fault, rule, folder, child)
    });
    for (fault, rule, folder, child) in runs {
        let out = child.wait_with_output().expect("an end");
        let verdict = read_verdict(&folder, &out);
        let violations = verdict["broken"].as_array().expect("a list");
        let Some(rule) = rule else {
            assert_no_violation(&verdict);
            continue;
        };
        let found = violations.iter().find(|v| v["rule"] == rule.name());
        let found = found.unwrap_or_else(|| panic!("{fault} was not detected: {violations:#?}"));
        assert!(found["at_us"].as_u64().is_some_and(|t| t > 0), "{found}");
        let has_number = |key: &str| found[key].is_u64();
        match rule {
            Rule::StrayMessages => assert!(has_number("forwarder")),
            Rule::RecoveryOverload => {
                assert!(found["what"].as_str().is_some_and(|w| w.contains("partner 3")))
            }
            _ => assert!(has_number("forwarder") && has_number("message"), "{found}"),
        }
    }
}

/// Guards against forwarders that keep running, and keep their ports, when the rehearsal is killed.
#[test]
fn a_rehearsal_that_is_killed_leaves_no_process_and_no_port() {
    let folder = TestFolder::new("gone");
    let mut rehearsal = start_rehearsal(&folder, &shipped_scenario("calm-evening.yaml"), &[]);
    let config = folder.file("kept/forwarder-2/config.json");
    let wait_for = |what: &str, check: &mut dyn FnMut() -> bool| {
        let until = Instant::now() + Duration::from_secs(20);
        while !check() {
            assert!(Instant::now() < until, "not within 20 s: {what}");
            std::thread::sleep(Duration::from_millis(20));
        }
    };
    let mut listen: Option<SocketAddr> = None;
    wait_for("a forwarder", &mut || {
        let text = std::fs::read_to_string(&config).unwrap_or_default();
        let v: Value = serde_json::from_str(&text).unwrap_or_default();
        listen = v["listen"].as_str().and_then(|l| l.parse().ok());
        listen.is_some_and(|l| TcpStream::connect(l).is_ok())
    });
    rehearsal.kill().expect("killed");
    rehearsal.wait().expect("gone");
    wait_for("the forwarder's end", &mut || listen.is_some_and(|l| TcpStream::connect(l).is_err()));
}

/// Guards against a run that starts and then fails because it lacks file descriptors.
#[test]
fn a_lack_of_descriptors_is_reported_before_anything_starts() {
    let folder = TestFolder::new("large");
    let out =
        start_rehearsal(&folder, &shipped_scenario("large.yaml"), &[]).wait_with_output().expect("an end");
    let error = String::from_utf8_lossy(&out.stderr);
    assert!(!out.status.success() && error.contains("descriptors") && error.contains("simulate"), "{error}");
    assert!(!folder.file("kept/forwarder-1").exists());
}

/// Guards against a verdict on the forwarder when the machine was too loaded for the run.
#[test]
fn a_run_that_was_late_itself_is_not_judged() {
    let text = std::fs::read_to_string(shipped_scenario("brief.yaml")).expect("there");
    let scenario = Scenario::parse(&text).expect("a scenario");
    let environment = build_environment(&scenario, 1, None);
    let (figures, _) = simulate(&environment, None, 1);
    let incidents = ["an incident".to_owned()];
    let run = |late_sends| RunReport {
        scenario: &scenario,
        environment: &environment,
        seed: 1,
        figures: &figures,
        violations: &[],
        run_mode: RunMode::Live(Lateness {
            loop_p99: 2_000,
            loop_max: 9_000,
            late_sends,
            sends: 100,
            counters_p90: 9_000,
        }),
        incidents: &incidents,
        took: Duration::from_secs(1),
    };
    assert!(matches!(run(1).verdict(), Verdict::Failed(_)));
    assert!(matches!(run(5).verdict(), Verdict::NotJudged(_)));
    assert!(run(5).junit().contains("skipped"));
}

/// The shipped scenarios meet their expectations in virtual time, violate no rule, and give the same result again.
#[test]
fn the_shipped_scenarios_are_as_expected_in_virtual_time() {
    let folder = std::fs::read_dir(shipped_scenario("")).expect("there");
    let mut count = 0;
    for path in folder.map(|e| e.expect("an entry").path()).filter(|p| !p.ends_with("large.yaml")) {
        let text = std::fs::read_to_string(&path).expect("text");
        let scenario = Scenario::parse(&text).unwrap_or_else(|e| panic!("{}: {e:?}", path.display()));
        let first = simulate_scenario(&text, scenario.seed);
        assert_eq!(first.1, 0, "{}", path.display());
        let min_share = scenario.expect.min_delivered_share.as_ref().map_or(0.0, |e| e.value);
        assert!(first.0 >= min_share, "{}: {}", path.display(), first.0);
        assert_eq!(first, simulate_scenario(&text, scenario.seed), "{}", path.display());
        count += 1;
    }
    assert!(count >= 8, "only {count} scenarios");
}

/// Each kind of error in a scenario is reported with its position and its reason.
#[test]
fn an_invalid_scenario_is_rejected_with_the_positions_of_its_errors() {
    let good = "title: x\nrate: 10\npartners:\n  - {name: a, kind: small-partner, share: 1, work: 50ms}\nphases:\n  \
                - {name: all, for: 10s, load: 1}\n";
    Scenario::parse(good).expect("a scenario");
    let cases = [
        ("troubles: [{kind: hang, partner: b, at: {after: 1s}, for: 1s}]", 7, "there is no partner `b`; there are a"),
        ("troubles: [{kind: slow, partner: a, at: {after: 1s}, for: 1s}]", 7, "`slow` needs a `size` above 1"),
        ("troubles: [{kind: hang, partner: a, at: {phase: night}, for: 1s}]", 7, "no phase or clump `night`"),
        ("troubles: [{kind: hang, partner: a, at: {after: 9s}, for: 2s}]", 7, "the run ends at 10 s"),
        ("troubles: [{kind: hang, partner: a, at: {after: 1}, for: 2s}]", 7, "unit"),
        ("troubles: [{kind: hangs, partner: a, at: {after: 1s}, for: 2s}]", 7, "hangs"),
        ("partner: {}", 7, "partner"),
        (
            "clumps:\n  - {name: c, partner: a, at: {after: 1s}, messages: 60, within: 1s}\n  \
             - {name: d, partner: a, at: {after: 1s}, messages: 60, within: 1s}",
            9,
            "more than 100% of the 100 messages of phase `all`",
        ),
        ("stops: [{forwarder: 3, signal: kill, at: {after: 1s}}]", 7, "numbered from 1 to 2"),
        (
            "stops:\n  - {forwarder: 1, signal: term, at: {after: 1s}}\n  - {forwarder: 1, signal: kill, at: {after: 2s}}",
            9,
            "not back yet",
        ),
        ("expect: {worth: 1.5}", 7, "a share from 0 to 1"),
    ];
    for (section, line, reason) in cases {
        let errors = Scenario::parse(&format!("{good}{section}\n")).expect_err(section);
        let found = errors.iter().any(|e| e.line == line && e.column > 0 && e.reason.contains(reason));
        assert!(found, "{section}: {errors:?}");
    }
    let twice = good.replace("phases:", "  - {name: a, kind: small-partner, share: 0, work: 50ms}\nphases:");
    let errors = Scenario::parse(&twice).expect_err("two destinations with the same name");
    assert_eq!(errors.iter().map(|e| e.line).collect::<Vec<_>>(), [5, 5], "all errors at once: {errors:?}");
}
