//! The messages that the simulator's adapter remembers. Its source is included as a module, because a test cannot import a
//! binary.

#[path = "../src/bin/cedarbridge-simhost/wire/mod.rs"]
mod wire;

use serde_json::{json, Value};
use wire::Host;

const INSTANCE: u64 = 3;

fn params() -> Value {
    json!({
        "azs": ["east"], "zone": "east", "balancers": 1, "kinds": ["k"], "discovery": "pushed",
        "categories": [{"name": "note", "semantics": "pure", "promise": 1e3, "deadline": 9e3, "gain": 1.0}],
        "realms": [], "granularity": 5.0, "weight-source": "off", "fees": {},
        "permissions": {"max-open": 50, "max-attempts": 4},
        "rules": {"fall-multiple": 2.0, "fall": 2000.0, "cold": 9000.0, "cold-from": 0.2},
        "specifics": {"call-slots": 4, "late": "linear"},
    })
}

#[test]
fn messages_are_forgotten_once_they_are_complete_and_no_attempt_is_in_flight() {
    let mut host = Host::default();
    // Processes a batch and returns how many messages the instance remembers then.
    let mut batch = |time_ms: u32, events: Value| {
        let line = json!({"t": time_ms, "parts": [{"courier-id": INSTANCE, "news": events}]}).to_string();
        host.process_batch(&line).expect("a reply");
        host.message_count(INSTANCE).expect("an instance")
    };
    let list = json!([[7, "east", "k", 1, "IN", 1.0, null]]);
    batch(1, json!([["create", 1, params()], ["catalog", 0, list], ["discovery", "whole", 1, 0]]));
    for i in 0..20u32 {
        let (name, time_ms) = (format!("c:{i}"), 1000 * (i + 1));
        assert_eq!(batch(time_ms, json!([["job-in", name, "note", null, null, 9e3, null, 1, 0]])), 1);
        let completed = json!([["result", name, 0, 7, 200, 45.0, true], ["hangup", name], ["hangup", "c:x"]]);
        assert_eq!(batch(time_ms + 50, completed), 0);
    }
    // A message that its client has withdrawn is remembered until its attempt ends.
    batch(90_000, json!([["job-in", "c:z", "note", null, null, 9e3, null, 1, 0]]));
    assert_eq!(batch(90_005, json!([["hangup", "c:z"]])), 1);
    assert_eq!(batch(90_050, json!([["result", "c:z", 0, 7, 504, 45.0, true]])), 0);
}
