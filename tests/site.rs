//! The site file, tested with the running program and with the commands that read it. The scenarios are scripts in the
//! language of `scenario/mod.rs`.

mod scenario;

use scenario::process::forwarder_command;
use scenario::run_scenario;
use std::process::Output;

/// Guards against a timeout that a slow and a fast endpoint share, and against more attempts than the route allows.
#[test]
fn attempts_time_out_and_are_counted_by_route() {
    run_scenario(
        "with e1=1 e2=2:many
         site {version: 1, routes: [{name: fast, match: {kind: one}, timeout: 300ms, attempts: 2}, {name: slow, match: {kind: many}, timeout: 9s}]}
         start
         u1 send m1
         u1 expect 202
         u2 send m2 dest=2
         u2 expect 202
         e1 expect m1
         e2 expect m2
         e1 expect m1
         platform expect m1 failed
         e2 send m2 200 m2=delivered
         wait delivered=1 failed=1 timed_out=2 open=0
         wait routes/fast/attempts=2 routes/fast/outcomes/timed_out=2 routes/fast/ends/failed=1 routes/fast/held=0
         wait routes/slow/ends/delivered=1 routes/slow/delivery_ms/count=1 routes/slow/delivery_ms/p99.9>=300",
    );
}

/// Guards against a call with several messages that ends early for all of them because one message has a short timeout or
/// `give-up`.
#[test]
fn messages_of_different_routes_do_not_time_out_for_each_other() {
    run_scenario(
        "with e1=1:many tick=60
         site {version: 1, routes: [{name: short, match: {class: free}, timeout: 400ms, attempts: 1}, {name: long, match: {class: notice}, timeout: 8s, give-up: 9s}]}
         start
         stop
         u1 send m1 class=notice
         u2 send m2 class=free
         u3 send m3 class=notice
         continue
         u1 expect 202
         u2 expect 202
         u3 expect 202
         platform expect m2 returned
         wait routes/short/ends/returned=1 routes/long/attempts=2 routes/long/held=2 timed_out=1 calls=2",
    );
}

/// Guards against a reload that changes the timeout of attempts in flight, and against a reload that applies an invalid
/// file.
#[test]
fn a_reload_applies_to_the_next_attempt_and_an_invalid_file_changes_nothing() {
    run_scenario(
        "with e1=1 e2=2
         site {version: 1, routes: [{name: all, match: {}, timeout: 8s, attempts: 2}]}
         start
         u1 send m1
         u1 expect 202
         e1 expect m1
         u2 send m2 dest=2
         u2 expect 202
         e2 expect m2
         site {version: 1, routes: [{name: all, match: {}, timeout: 200ms, attempts: 13}, {name: all, match: {kind: odd}}]}
         reload open=8
         log [attempts] 13 attempts are more than any message may have; 1 to 3 are allowed; 
         log [unknown-kind] the settings list no kind `odd`
         site {version: 1, routes: [{name: all, match: {}, timeout: 200ms, attempts: 1}]}
         reload open=8
         wait reloads=1
         u3 send m3
         u3 expect 202
         e1 expect m3
         platform expect m3 failed
         e1 send m1 200
         e2 send m2 503
         platform expect m2 returned
         wait routes/all/ends/delivered=1 routes/all/ends/failed=1 routes/all/ends/returned=1 routes/all/held=0 open=0",
    );
}

/// Guards against a reload that loses or cuts off a burst of messages in flight, with another burst right after it.
#[test]
fn a_reload_between_two_bursts_loses_nothing() {
    let burst = |from: usize| {
        let send = |number| format!("u{number} send m{number}\nu{number} expect 202\n");
        (from..from + 4).map(send).collect::<String>()
    };
    let serve = |from: usize| {
        let all: String = (from..from + 4).map(|number| format!(" m{number}")).collect();
        format!("e1 serves{all}\n")
    };
    let first = "with e1=1 open=40
         site {version: 1, routes: [{name: all, match: {}, timeout: 5s}]}
         start\n";
    let reload = "site {version: 1, routes: [{name: other, match: {kind: one}, timeout: 4s, attempts: 3}]}
         reload open=40
         wait reloads=1\n";
    // The calls of a burst may arrive in any order; `serves` responds to each message once.
    let script =
        [first, &burst(1), reload, &serve(1), &burst(5), &serve(5), "wait delivered=8 open=0 timed_out=0\n"];
    run_scenario(&script.concat());
}

#[test]
fn a_message_that_has_used_up_its_attempts_under_the_new_routes_ends_at_once_after_a_restart() {
    run_scenario(
        "with e1=1
         site {version: 1, routes: [{name: all, match: {}, timeout: 9s, attempts: 2}]}
         start
         u1 send m1
         u1 expect 202
         e1 expect m1
         kill
         start
         e1 expect m1
         site {version: 1, routes: [{name: all, match: {}, timeout: 9s, attempts: 1}]}
         kill
         start
         platform expect m1 failed
         wait attempts=0 open=0",
    );
}

fn run(arguments: &[&str]) -> (Option<i32>, String, String) {
    let Output { status, stdout, stderr } = forwarder_command().args(arguments).output().expect("it runs");
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("text");
    (status.code(), text(stdout), text(stderr))
}

#[test]
fn the_commands_exit_differently_for_a_rejected_file_and_a_usage_error() {
    let config = "examples/config.json";
    let (code, stdout, _) = run(&["check", "--config", config, "deploy/site.yaml"]);
    assert_eq!((code, stdout.as_str()), (Some(0), "deploy/site.yaml: 2 routes, nothing against it\n"));
    let folder = std::env::temp_dir().join(format!("cedarbridge-site-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let path = folder.join("broken.yaml");
    std::fs::write(&path, "version: 1\nroutes:\n- {name: a, match: {}, attempts: 13}\n").expect("written");
    let invalid_file = path.to_str().expect("text");
    let error = format!(
        "{invalid_file}:3:34: [attempts] 13 attempts are more than any message may have; 1 to 12 are allowed\n"
    );
    assert_eq!(run(&["check", "--config", config, invalid_file]).0, Some(1));
    assert_eq!(run(&["check", "--config", config, invalid_file]).1, error);
    let (_, json, _) = run(&["check", "--json", "--config", config, invalid_file]);
    let json: serde_json::Value = serde_json::from_str(&json).expect("JSON");
    assert_eq!((&json["ok"], &json["breaches"][0]["code"]), (&false.into(), &"attempts".into()));
    // The forwarder rejects the file with the same check, before it starts anything.
    let (code, _, stderr) = run(&["run", config, "--site", invalid_file]);
    assert_eq!((code, stderr), (Some(1), format!("cedarbridge: {error}")));
    for arguments in
        [&["check", "--config", config][..], &["check", "--config", "none", invalid_file], &["--odd"], &[]]
    {
        assert_eq!(run(arguments).0, Some(2), "{arguments:?}");
    }
    std::fs::remove_dir_all(folder).expect("removed");
}

#[test]
fn explain_names_the_entry_that_wins_and_its_worst_case() {
    let arguments =
        ["explain", "--config", "examples/config.json", "deploy/site.yaml", "--kind", "cable-operator"];
    let (code, stdout, _) = run(&arguments);
    assert_eq!(code, Some(0));
    for part in ["`cable-operators` (deploy/site.yaml:", "matches kind cable-operator, class notice", "25.4s"]
    {
        assert!(stdout.contains(part), "no {part} in {stdout}");
    }
    let (_, json, _) = run(&[&arguments[..], &["--json"]].concat());
    let json: serde_json::Value = serde_json::from_str(&json).expect("JSON");
    assert_eq!(
        (&json[0]["entry"]["name"], &json[0]["ends_ms"]),
        (&"cable-operators".into(), &27000.0.into())
    );
    assert_eq!(json[0]["worst_case"].as_array().map(Vec::len), Some(4));
}
