//! Tests of settings that are missing, of the wrong type or out of range. At a start, one line names the
//! wrong setting and the program exits; at a reload, the previous settings remain in use.

mod scenario;

use cedarbridge::net::config::Config;
use scenario::process::forwarder_command;
use scenario::run_scenario;
use serde_json::{json, Value};

/// A valid configuration that contains every setting, with no value at its limit.
fn complete_config() -> Value {
    let class = |name: &str, semantics: &str, promise: f64, deadline: f64, late: f64| {
        json!({"name": name, "semantics": semantics, "promise": promise, "deadline": deadline, "gain": 1.0,
               "late-worth": late, "memory-span": 6000.0, "dedup-scope": "all", "serial-by-key": false})
    };
    json!({
        "name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "state": "unused", "seed": "1f",
        "limits": {"cores": 1.0, "memory_mb": 48, "sockets": 384, "disk_mb": 16},
        "settings": {
            "azs": ["left", "right"], "zone": "left", "balancers": 3, "me": 1, "kinds": ["wide", "narrow"],
            "discovery": "pushed", "granularity": 5.0, "weight-source": "nominal", "over-share-worth": 0.2,
            "categories": [
                class("copy", "token", 2500.0, 24000.0, 0.5), class("state", "pure", 1000.0, 6000.0, 0.0),
            ],
            "realms": [{"name": "desk", "portion": 1.0, "quota-per-s": 12.0}],
            "fees": {"cross-zone": 0.013, "handshake": 0.02},
            "callers": {"marks-retry": true},
            "permissions": {"max-open": 100, "max-attempts": 12, "cancel": true, "retry-after": true, "probing": true,
                "second-copies": false, "max-retry-after": 3000.0, "conn-idle": 10000.0, "dial-timeout": 1500.0},
            "rules": {"fall-multiple": 2.0, "fall": 1500.0, "cold": 9400.0, "cold-from": 0.17, "drain-grace": 500.0,
                "must-ask-in": 10000.0, "key-rest": 300.0},
            "specifics": {"call-slots": 8, "late": "halving", "own-limits": [false, false], "per-call": [5, 1],
                "toll": [0.0, 0.0]},
        },
    })
}

fn config_with(pointer: &str, value: Value) -> String {
    let mut config = complete_config();
    *config.pointer_mut(pointer).unwrap_or_else(|| panic!("no {pointer}")) = value;
    config.to_string()
}

fn error_of(text: &str) -> String {
    let error = Config::read(text, |_| None).err().unwrap_or_else(|| panic!("accepted: {text}"));
    error.to_string()
}

/// The required settings as JSON pointers, each with invalid values.
fn required() -> Vec<(&'static str, Vec<Value>)> {
    let word = || vec![json!(7), json!("no such word")];
    let time = || vec![json!("soon"), json!(-1.0)];
    let count = || vec![json!("many"), json!(0), json!(-3), json!(2.5)];
    vec![
        ("/name", vec![json!(7)]),
        ("/listen", word()),
        ("/discovery", word()),
        ("/state", vec![json!(7)]),
        ("/seed", vec![json!("xyz"), json!(-1)]),
        ("/settings", vec![json!(7)]),
        ("/limits", vec![json!(7)]),
        ("/limits/sockets", vec![json!("many"), json!(10)]),
        ("/limits/disk_mb", vec![json!("much"), json!(-1)]),
        ("/settings/azs", vec![json!("left"), json!([7])]),
        ("/settings/zone", word()),
        ("/settings/balancers", count()),
        ("/settings/kinds", vec![json!("wide"), json!([7])]),
        ("/settings/discovery", word()),
        ("/settings/granularity", time()),
        ("/settings/weight-source", word()),
        ("/settings/categories", vec![json!("copy"), json!([])]),
        ("/settings/categories/0/name", vec![json!(7)]),
        ("/settings/categories/0/semantics", word()),
        ("/settings/categories/0/memory-span", time()),
        ("/settings/categories/1/promise", vec![json!("soon"), json!(-1.0), json!(6001.0)]),
        ("/settings/categories/1/deadline", vec![json!("soon"), json!(-1.0), json!(0)]),
        ("/settings/categories/1/gain", vec![json!("much"), json!(-1)]),
        ("/settings/realms", vec![json!("desk")]),
        ("/settings/realms/0/name", vec![json!(7)]),
        ("/settings/realms/0/quota-per-s", vec![json!("much"), json!(-1)]),
        ("/settings/fees", vec![]),
        ("/settings/permissions", vec![json!(7)]),
        ("/settings/permissions/max-open", count()),
        ("/settings/permissions/max-attempts", count()),
        ("/settings/permissions/conn-idle", time()),
        ("/settings/permissions/dial-timeout", vec![json!("soon"), json!(-1.0), json!(0)]),
        ("/settings/rules", vec![json!(7)]),
        ("/settings/rules/fall-multiple", vec![json!("much"), json!(0), json!(-1)]),
        ("/settings/rules/fall", time()),
        ("/settings/rules/cold", time()),
        ("/settings/rules/cold-from", vec![json!("much"), json!(0), json!(1.1)]),
        ("/settings/rules/drain-grace", time()),
        ("/settings/specifics", vec![json!(7)]),
        ("/settings/specifics/call-slots", count()),
        ("/settings/specifics/late", word()),
    ]
}

/// The optional settings as JSON pointers, each with invalid values.
fn optional() -> Vec<(&'static str, Vec<Value>)> {
    let flag = || vec![json!("yes"), json!(1)];
    let time = || vec![json!("soon"), json!(-1.0)];
    let fee = || vec![json!("much")];
    vec![
        ("/settings/over-share-worth", fee()),
        ("/settings/categories/0/dedup-scope", vec![json!(7), json!("no such word")]),
        ("/settings/categories/0/late-worth", vec![json!("much"), json!(-0.1), json!(1.1)]),
        ("/settings/categories/0/serial-by-key", flag()),
        ("/settings/fees/cross-zone", fee()),
        ("/settings/fees/handshake", fee()),
        ("/settings/callers/marks-retry", flag()),
        ("/settings/permissions/cancel", flag()),
        ("/settings/permissions/retry-after", flag()),
        ("/settings/permissions/probing", flag()),
        ("/settings/permissions/second-copies", flag()),
        ("/settings/permissions/max-retry-after", time()),
        ("/settings/rules/must-ask-in", time()),
        ("/settings/rules/key-rest", time()),
        ("/settings/specifics/own-limits", vec![json!(true), json!([1])]),
        ("/settings/specifics/per-call", vec![json!(5), json!(["five"]), json!([0, 1]), json!([-1, 1])]),
        ("/settings/specifics/toll", vec![json!(0.1), json!(["much"])]),
    ]
}

#[test]
fn each_setting_that_is_missing_or_wrong_is_named() {
    Config::read(&complete_config().to_string(), |_| None).map(|_| ()).expect("the complete one is accepted");
    for (pointer, invalid_values) in required() {
        let name = pointer.rsplit('/').next().expect("a name");
        let error = error_of(&config_with(pointer, Value::Null));
        assert!(error.contains(&format!("`{name}`")) && error.contains("missing"), "{pointer}: {error}");
        for value in invalid_values {
            let error = error_of(&config_with(pointer, value.clone()));
            // If a section is not an object, the error names the first setting that is missing in it.
            let is_section = complete_config().pointer(pointer).is_some_and(Value::is_object);
            assert!(is_section || error.contains(name), "{pointer} {value}: {error}");
            assert_eq!(error.lines().count(), 1, "{error}");
        }
    }
    for (pointer, invalid_values) in optional() {
        let name = pointer.rsplit('/').next().expect("a name");
        if let Err(error) = Config::read(&config_with(pointer, Value::Null), |_| None) {
            panic!("{pointer} may be absent: {error}");
        }
        for value in invalid_values {
            let error = error_of(&config_with(pointer, value.clone()));
            assert!(error.contains(name), "{pointer} {value}: {error}");
        }
    }
}

#[test]
fn unknown_settings_are_ignored() {
    for pointer in
        ["", "/settings", "/settings/permissions", "/settings/categories/0", "/settings/specifics", "/limits"]
    {
        let mut config = complete_config();
        config.pointer_mut(pointer).expect("an object")["of-next-year"] = json!({"any": [1, "thing"]});
        assert!(Config::read(&config.to_string(), |_| None).is_ok(), "{pointer}");
    }
}

#[test]
fn a_start_with_a_wrong_setting_ends_with_one_line_that_names_it() {
    let folder = std::env::temp_dir().join(format!("cedarbridge-settings-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let path = folder.join("config.json");
    for (pointer, value, expected) in [
        ("/settings/permissions/max-open", Value::Null, "max-open"),
        ("/settings/rules/drain-grace", json!("500"), "drain-grace"),
        ("/settings/rules/cold-from", json!(17), "cold-from"),
        ("/settings/specifics/per-call", json!([5, 0]), "per-call"),
    ] {
        std::fs::write(&path, config_with(pointer, value)).expect("written");
        let output = forwarder_command().arg(&path).output().expect("it runs");
        let stderr = String::from_utf8_lossy(&output.stderr);
        assert!(
            !output.status.success() && stderr.lines().count() == 1 && stderr.contains(expected),
            "{stderr}"
        );
    }
    let _ = std::fs::remove_dir_all(&folder);
}

/// Guards against a reload that applies part of a file whose other part is invalid, or that ends the program.
#[test]
fn a_reload_with_a_wrong_setting_changes_nothing() {
    run_scenario(
        "with e1=1 e2=9:one:leaving open=2
         start
         u1 send m1 dest=9
         u1 expect 202
         config settings/permissions/max-open 1
         config settings/rules/cold-from 17
         reload
         log setting `cold-from`: 17 is out of range
         config settings/rules/cold-from 0.2
         config settings/rules/drain-grace \"500\"
         reload
         log setting `drain-grace`: expected a number
         config settings/rules/drain-grace null
         reload
         log missing setting `drain-grace`
         u1 send m2 dest=9
         u1 expect 202
         u1 send m3 dest=9
         u1 expect 503
         config settings/rules/drain-grace 500
         config settings/of-next-year {\"any\":1}
         config settings/permissions/max-open 3
         reload
         log configuration reloaded
         u1 send m4 dest=9
         u1 expect 202
         wait open=3 reloads=1",
    );
}
