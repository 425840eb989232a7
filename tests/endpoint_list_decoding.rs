//! Decoding of the platform's endpoint list, and the errors for lists and entries that cannot be used.

use cedarbridge::membership::EntryState;
use cedarbridge::net::platform::endpoint_list::decode::{DecodeError, ListVersion, RawList};
use cedarbridge::settings_json::Names;

const ACTIVE: &str = r#"{"instanceId":"a:1","hostPort":"10.0.0.1:80","lifecycle":"active","machineType":"plain",
    "zone":"north","cell":7,"weight":2.5,"unknown":{}}"#;

fn names() -> Names {
    Names { kinds: vec!["plain".into()], zones: vec!["south".into(), "north".into()], ..Names::default() }
}

fn decode(line: &str) -> Result<ListVersion, DecodeError> {
    RawList::parse(line.as_bytes())?.decode(&names())
}

/// Decodes a list with a valid entry and this one; returns why this one cannot be used.
fn entry_error(entry: &str) -> String {
    let version = decode(&format!(r#"{{"generation":1,"instances":[{ACTIVE},{entry}]}}"#)).expect("a list");
    assert_eq!(version.listings.len(), 1, "the other entry is decoded: {entry}");
    version.unusable_entries.iter().map(ToString::to_string).collect()
}

#[test]
fn a_version_is_read_with_its_number_whether_it_is_complete_and_its_entries() {
    let patch = decode(&format!(r#"{{"generation":5,"instances":[{ACTIVE}]}}"#)).expect("a list");
    assert_eq!((patch.generation, patch.complete, patch.unusable_entries.len()), (5, false, 0));
    let listing = &patch.listings[0];
    assert_eq!((&*listing.key.id, listing.address.to_string()), ("a:1", "10.0.0.1:80".into()));
    assert_eq!((listing.destination.0, listing.zone.0, listing.kind.0), (7, 1, 0));
    assert_eq!((listing.weight, listing.state), (2.5, EntryState::Up));
    let complete = decode(r#"{"generation":6,"reset":true,"instances":[]}"#).expect("a list");
    assert!(complete.complete && complete.listings.is_empty());
    for (lifecycle, state) in [("leaving", EntryState::Draining), ("left", EntryState::Removed)] {
        let line = format!(
            r#"{{"generation":7,"instances":[{}]}}"#,
            ACTIVE.replace("\"active\"", &format!("\"{lifecycle}\""))
        );
        assert_eq!(decode(&line).expect("a list").listings[0].state, state);
    }
}

#[test]
fn a_list_without_a_number_or_instances_is_rejected_by_name() {
    for (line, expected) in [
        (r#"{"instances":[]}"#, "missing field `generation`"),
        (r#"{"generation":null,"instances":[]}"#, "missing field `generation`"),
        (
            r#"{"generation":-1,"instances":[]}"#,
            "field `generation`: expected a non-negative integer, got -1",
        ),
        (
            r#"{"generation":1.0,"instances":[]}"#,
            "field `generation`: expected a non-negative integer, got 1.0",
        ),
        (r#"{"generation":"1"}"#, "field `generation`: expected a non-negative integer, got \"1\""),
        (r#"{"generation":1}"#, "missing array `instances`"),
        (r#"{"generation":1,"instances":{}}"#, "missing array `instances`"),
        ("[1,true,[]]", "missing field `generation`"),
        ("7", "missing field `generation`"),
        ("{", "EOF while parsing an object at line 1 column 1"),
    ] {
        let error = decode(line).err().unwrap_or_else(|| panic!("{line} is decoded"));
        assert_eq!(error.to_string(), expected, "{line}");
    }
}

#[test]
fn an_entry_that_cannot_be_used_is_named_and_hides_no_other() {
    for (from, to, expected) in [
        (r#""a:1""#, "null", "missing field `instanceId`"),
        (r#""a:1""#, "[1]", "field `instanceId`: expected a string, got [1]"),
        (r#""10.0.0.1:80""#, "80", "field `hostPort`: expected a string, got 80"),
        ("10.0.0.1:80", "host:80", "instance `a:1` has an invalid `hostPort`"),
        (r#""lifecycle""#, r#""other""#, "missing field `lifecycle`"),
        (r#""active""#, r#""odd""#, "instance `a:1` has the unknown lifecycle `odd`"),
        ("plain", "odd", "unknown kind `odd`"),
        ("north", "west", "unknown zone `west`"),
        (":7", r#":"7""#, "field `cell`: expected a non-negative integer, got \"7\""),
        (":7", ":7.5", "field `cell`: expected a non-negative integer, got 7.5"),
    ] {
        assert_eq!(entry_error(&ACTIVE.replace(from, to)), expected);
    }
    for entry in ["null", "7", "[]", r#"["a:1","10.0.0.1:80","active","plain","north",7]"#] {
        assert_eq!(entry_error(entry), "missing field `instanceId`", "{entry}");
    }
}

#[test]
fn a_weight_that_is_not_a_number_counts_as_missing() {
    for (weight, decoded) in [("3", 3.0), ("\"3\"", 1.0), ("null", 1.0), ("{}", 1.0), ("-2", -2.0)] {
        let line =
            format!(r#"{{"generation":1,"instances":[{}]}}"#, ACTIVE.replace(":2.5", &format!(":{weight}")));
        assert_eq!(decode(&line).expect("a list").listings[0].weight, decoded, "{weight}");
    }
}

/// Guards against a rejected or misread list with a repeated field: the last one counts, as in most JSON parsers.
#[test]
fn of_a_repeated_field_the_last_counts() {
    let version =
        decode(r#"{"generation":1,"generation":2,"reset":true,"reset":1,"instances":[]}"#).expect("a list");
    assert_eq!((version.generation, version.complete), (2, false));
}
