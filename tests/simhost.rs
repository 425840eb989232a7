//! The simulator's adapter: it answers valid lines. At an invalid line it ends with an error message and prints no reply.

use serde_json::{json, Value};
use std::io::Write;
use std::process::{Command, Stdio};

/// The result of a run of the adapter.
struct Run {
    succeeded: bool,
    output: String,
    errors: String,
}

/// Runs the adapter on some lines of input.
fn run(lines: &[String]) -> Run {
    let mut child = Command::new(env!("CARGO_BIN_EXE_cedarbridge-simhost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut input = child.stdin.take().expect("a pipe");
    for line in lines {
        // The write fails if the adapter has ended at an earlier line, which the caller checks.
        let _ = writeln!(input, "{line}");
    }
    drop(input);
    let output = child.wait_with_output().expect("it ends");
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("text");
    Run { succeeded: output.status.success(), output: text(output.stdout), errors: text(output.stderr) }
}

/// The settings of an instance, as the simulator sends them.
fn params() -> Value {
    json!({
        "azs": ["east"], "zone": "east", "balancers": 1, "kinds": ["k"], "discovery": "pushed",
        "categories": [{"name": "note", "semantics": "pure", "promise": 1000.0, "deadline": 9000.0, "gain": 1.0}],
        "realms": [], "granularity": 5.0, "weight-source": "rough", "fees": {}, "unheard-of": 1,
        "permissions": {"max-open": 50, "max-attempts": 4},
        "rules": {"fall-multiple": 2.0, "fall": 2000.0, "cold": 9000.0, "cold-from": 0.2},
        "specifics": {"call-slots": 4, "late": "linear", "own-limits": [false], "per-call": [1]},
    })
}

/// A line of input: the events of instance 3 at a time in milliseconds.
fn batch(time_ms: f64, events: Value) -> String {
    json!({"t": time_ms, "parts": [{"courier-id": 3, "news": events}]}).to_string()
}

/// The line that creates instance 3 with endpoint 7.
fn start() -> String {
    let list = json!([[7, "east", "k", 1, "IN", 9.5, null]]);
    batch(100.0, json!([["create", 1, params()], ["catalog", 0, list], ["discovery", "stale_copy", 1, 0]]))
}

/// The event of a new message for destination 1.
fn new_message(id: &str) -> Value {
    json!(["job-in", id, "note", null, null, 9000.0, null, 1, 0])
}

#[test]
fn a_message_is_sent_and_its_result_is_accepted() {
    let Run { succeeded, output, errors } = run(&[
        json!({"t": 1.0, "parts": []}).to_string(),
        start(),
        batch(105.0, json!([new_message("c:a")])),
        batch(150.0, json!([["result", "c:a", 0, 7, 200, 45.0, true, null, {"x0": 0.5, "x1": 9.0}]])),
    ]);
    assert!(succeeded, "{errors}");
    let lines: Vec<Value> = output.lines().map(|line| serde_json::from_str(line).expect("JSON")).collect();
    assert_eq!(lines.len(), 4);
    assert_eq!(lines[0], json!({"parts": []}));
    let first = &lines[2]["parts"][0];
    assert_eq!(first["courier-id"], 3);
    assert_eq!(first["outbox"][0][0], "submit-to");
    assert_eq!(first["outbox"][0][1], "c:a");
    assert_eq!(first["outbox"][0][3], 7);
}

#[test]
fn a_list_number_reused_within_a_batch_is_read_in_order() {
    let list = |endpoint: u32| json!([[endpoint, "east", "k", 1, "IN", 9.5, null]]);
    let events = json!([
        ["create", 1, params()],
        ["catalog", 0, list(7)],
        ["discovery", "stale_copy", 1, 0],
        ["catalog", 0, list(8)],
        ["discovery", "whole", 2, 0],
        new_message("c:a")
    ]);
    let Run { succeeded, output, errors } = run(&[batch(1.0, events)]);
    assert!(succeeded, "{errors}");
    assert!(
        output.contains("\"submit-to\",\"c:a\"") && output.contains(",8]") && !output.contains(",7]"),
        "{output}"
    );
}

#[test]
fn a_stopped_instance_loses_its_state_and_may_restart_in_one_batch() {
    let restart =
        json!([["stop"], ["create", 2, params()], ["discovery", "stale_copy", 1, 0], new_message("c:b")]);
    let Run { succeeded, output, errors } =
        run(&[start(), batch(105.0, json!([new_message("c:a")])), batch(110.0, restart)]);
    assert!(succeeded, "{errors}");
    assert!(output.lines().nth(2).expect("a reply").contains("\"c:b\""));
}

#[test]
fn malformed_input_is_reported_and_ends_the_adapter() {
    let mut no_slots = params();
    no_slots["specifics"].as_object_mut().expect("an object").remove("call-slots");
    let cases = [
        ("{oops".to_string(), "not JSON"),
        (json!({"parts": []}).to_string(), "`t`"),
        (json!({"t": 1.0}).to_string(), "`parts`"),
        (batch(1.0, json!([["create", 1, no_slots]])), "`call-slots`"),
        (batch(1.0, json!([["bell", 1]])), "no instance 3"),
    ];
    for (line, expected_error) in cases {
        let Run { succeeded, output, errors } = run(&[line]);
        assert!(
            !succeeded && output.is_empty() && errors.contains(expected_error),
            "{expected_error}: {errors}"
        );
    }
    let invalid_events = [
        (json!([["surprise", 1]]), "surprise"),
        (json!([["result", "c:a", 0, 7, 777, 45.0, true, null, null]]), "777"),
        (json!([["result", "c:a", 0, 7, 200, 45.0]]), "`ended`"),
        (json!([["job-in", "c:a", "stranger", null, null, 9000.0, null, 1, 0]]), "stranger"),
        (json!([["discovery", "whole", 2, 9]]), "number 9"),
    ];
    for (events, expected_error) in invalid_events {
        let Run { succeeded, output, errors } = run(&[start(), batch(105.0, events)]);
        assert!(
            !succeeded && output.lines().count() == 1 && errors.contains(expected_error),
            "{expected_error}: {errors}"
        );
    }
}
