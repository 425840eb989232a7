//! The section `routes`: its entries as they are written, before anything is made of them.

use super::fields::{read_duration, read_list, read_text, read_whole_number, report_wrong_type, Fields};
use super::node::{Node, NodeValue};
use crate::config_error::{ConfigError, ErrorCode, Located};
use crate::routes::{WrittenMatch, WrittenPause, WrittenRoute};
use crate::DestinationId;

const ENTRY: &[&str] = &["name", "match", "timeout", "attempts", "pause", "second-copy", "give-up"];

/// Reads the entries. One with a breach is kept, marked, so that the others can be held against it.
pub fn read(node: &Node, breaches: &mut Vec<ConfigError>) -> Vec<WrittenRoute> {
    let all = read_list(node, "`routes`", breaches).unwrap_or_default();
    all.iter().filter_map(|n| entry(n, breaches)).collect()
}

fn entry(node: &Node, breaches: &mut Vec<ConfigError>) -> Option<WrittenRoute> {
    let mut before = breaches.len();
    let fields = Fields::open(node, "an entry", ENTRY, breaches)?;
    let keys = breaches.len() - before;
    let name = fields.require("name", breaches).and_then(|n| read_text(n, "`name`", breaches));
    let matches = fields.require("match", breaches).and_then(|n| match_of(n, breaches));
    before = breaches.len();
    let timeout = fields.get("timeout").and_then(|n| read_duration(n, "`timeout`", breaches));
    let attempts = fields.get("attempts").and_then(|n| {
        let value = read_whole_number(n, "`attempts`", breaches)?;
        Some(Located { value, at: n.at })
    });
    let pause = fields.get("pause").and_then(|n| {
        let fields = Fields::open(n, "`pause`", &["first", "longest"], breaches)?;
        let first = fields.require("first", breaches).and_then(|n| read_duration(n, "`first`", breaches));
        let longest =
            fields.require("longest", breaches).and_then(|n| read_duration(n, "`longest`", breaches));
        Some(WrittenPause { first: first?, max: longest? })
    });
    let second_copy = fields.get("second-copy").and_then(|n| {
        let fields = Fields::open(n, "`second-copy`", &["after"], breaches)?;
        fields.require("after", breaches).and_then(|n| read_duration(n, "`after`", breaches))
    });
    let give_up = fields.get("give-up").and_then(|n| read_duration(n, "`give-up`", breaches));
    // A figure that was misread or misnamed would collide with the others for no reason.
    let whole = keys == 0 && breaches.len() == before;
    Some(WrittenRoute {
        at: node.at,
        name: name?,
        matches: matches?,
        timeout,
        attempts,
        pause,
        hedge_after: second_copy,
        abandon_after: give_up,
        is_complete: whole,
    })
}

fn match_of(node: &Node, breaches: &mut Vec<ConfigError>) -> Option<WrittenMatch> {
    let before = breaches.len();
    let fields = Fields::open(node, "`match`", &["destination", "kind", "class"], breaches)?;
    if breaches.len() > before {
        // What it is for is not known.
        return None;
    }
    let destinations = fields.get("destination").map(|n| destinations(n, breaches));
    let kind = fields.get("kind").map(|n| read_text(n, "`kind`", breaches));
    let class = fields.get("class").map(|n| read_text(n, "`class`", breaches));
    // One that could not be read would seem to match more than it does.
    let (kind, class) =
        (kind.map_or(Some(None), |k| k.map(Some))?, class.map_or(Some(None), |c| c.map(Some))?);
    Some(WrittenMatch { at: node.at, destinations, kind, class })
}

fn destinations(node: &Node, breaches: &mut Vec<ConfigError>) -> Vec<Located<DestinationId>> {
    let one = |n: &Node| match n.value {
        NodeValue::Whole(d) => Some(Located { value: DestinationId(d), at: n.at }),
        _ => None,
    };
    if let Some(only) = one(node) {
        return vec![only];
    }
    let NodeValue::List(all) = &node.value else {
        report_wrong_type(node, "`destination`", "a number or a list of numbers", breaches);
        return Vec::new();
    };
    if all.is_empty() {
        let reason =
            "`destination` lists nothing, so the entry would match nothing; leave it out to match all";
        breaches.push(ConfigError::new(node.at, ErrorCode::NoDestination, reason));
    }
    let mut seen = std::collections::HashMap::new();
    for item in all {
        match one(item) {
            None => report_wrong_type(item, "a destination", "a whole number", breaches),
            Some(d) => {
                if let Some(first) = seen.insert(d.value, d.at) {
                    let reason = format!("destination {} stands in line {} already", d.value.0, first.line);
                    breaches.push(ConfigError::new(d.at, ErrorCode::RepeatedDestination, reason));
                }
            }
        }
    }
    all.iter().filter_map(one).collect()
}
