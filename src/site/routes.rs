//! Reads the `routes` section of the site file. [`check_routes`](crate::routes::check_routes) then checks the routes
//! against each other and the settings.

use super::fields::{read_duration, read_integer, read_list, read_text, report_wrong_type, Fields};
use super::node::{Node, NodeValue};
use crate::config_error::{ConfigError, ErrorCode, Located};
use crate::routes::{ParsedMatch, ParsedPause, ParsedRoute};
use crate::{DestinationId, Micros};
use std::collections::HashMap;

const KEYS: &[&str] = &["name", "match", "timeout", "attempts", "pause", "second-copy", "give-up"];

/// Reads the routes. A route whose timing has an error is kept, with `is_complete` unset, so that the other routes can be
/// checked against it.
pub fn read(node: &Node, errors: &mut Vec<ConfigError>) -> Vec<ParsedRoute> {
    let items = read_list(node, "`routes`", errors).unwrap_or_default();
    items.iter().filter_map(|item| read_route(item, errors)).collect()
}

fn read_route(node: &Node, errors: &mut Vec<ConfigError>) -> Option<ParsedRoute> {
    let errors_before_keys = errors.len();
    let fields = Fields::open(node, "an entry", KEYS, errors)?;
    let has_key_errors = errors.len() > errors_before_keys;
    let name = fields.require("name", errors).and_then(|node| read_text(node, "`name`", errors));
    let matches = fields.require("match", errors).and_then(|node| read_match(node, errors));
    let errors_before_timing = errors.len();
    let timeout = fields.get("timeout").and_then(|node| read_duration(node, "`timeout`", errors));
    let attempts = fields.get("attempts").and_then(|node| read_attempts(node, errors));
    let pause = fields.get("pause").and_then(|node| read_pause(node, errors));
    let hedge_after = fields.get("second-copy").and_then(|node| read_hedge_after(node, errors));
    let abandon_after = fields.get("give-up").and_then(|node| read_duration(node, "`give-up`", errors));
    // If a value is missing because of an error, a check against the other values would report errors that do not exist.
    let is_complete = !has_key_errors && errors.len() == errors_before_timing;
    Some(ParsedRoute {
        at: node.at,
        name: name?,
        matches: matches?,
        timeout,
        attempts,
        pause,
        hedge_after,
        abandon_after,
        is_complete,
    })
}

fn read_attempts(node: &Node, errors: &mut Vec<ConfigError>) -> Option<Located<u64>> {
    let value = read_integer(node, "`attempts`", errors)?;
    Some(Located { value, at: node.at })
}

fn read_pause(node: &Node, errors: &mut Vec<ConfigError>) -> Option<ParsedPause> {
    let fields = Fields::open(node, "`pause`", &["first", "longest"], errors)?;
    let first = fields.require("first", errors).and_then(|node| read_duration(node, "`first`", errors));
    let longest = fields.require("longest", errors).and_then(|node| read_duration(node, "`longest`", errors));
    Some(ParsedPause { first: first?, max: longest? })
}

fn read_hedge_after(node: &Node, errors: &mut Vec<ConfigError>) -> Option<Located<Micros>> {
    let fields = Fields::open(node, "`second-copy`", &["after"], errors)?;
    fields.require("after", errors).and_then(|node| read_duration(node, "`after`", errors))
}

fn read_match(node: &Node, errors: &mut Vec<ConfigError>) -> Option<ParsedMatch> {
    let errors_before = errors.len();
    let fields = Fields::open(node, "`match`", &["destination", "kind", "class"], errors)?;
    if errors.len() > errors_before {
        // With a wrong key it is not known which messages the route is meant to match.
        return None;
    }
    let destinations = fields.get("destination").map(|node| read_destinations(node, errors));
    let kind = fields.get("kind").map(|node| read_text(node, "`kind`", errors));
    let class = fields.get("class").map(|node| read_text(node, "`class`", errors));
    // Without an invalid criterion, the route would match more messages than it is meant to.
    let is_invalid = matches!(kind, Some(None)) || matches!(class, Some(None));
    if is_invalid {
        return None;
    }
    Some(ParsedMatch { at: node.at, destinations, kind: kind.flatten(), class: class.flatten() })
}

fn read_destination(node: &Node) -> Option<Located<DestinationId>> {
    match node.value {
        NodeValue::Integer(number) => Some(Located { value: DestinationId(number), at: node.at }),
        _ => None,
    }
}

fn read_destinations(node: &Node, errors: &mut Vec<ConfigError>) -> Vec<Located<DestinationId>> {
    if let Some(single) = read_destination(node) {
        return vec![single];
    }
    let NodeValue::List(items) = &node.value else {
        report_wrong_type(node, "`destination`", "a number or a list of numbers", errors);
        return Vec::new();
    };
    if items.is_empty() {
        let reason =
            "`destination` is empty, so the route would match nothing; remove it to match all destinations";
        errors.push(ConfigError::new(node.at, ErrorCode::NoDestination, reason));
    }
    let mut positions = HashMap::new();
    for item in items {
        let Some(given) = read_destination(item) else {
            report_wrong_type(item, "a destination", "a whole number", errors);
            continue;
        };
        if let Some(first) = positions.insert(given.value, given.at) {
            let reason = format!("destination {} stands in line {} already", given.value.0, first.line);
            errors.push(ConfigError::new(given.at, ErrorCode::RepeatedDestination, reason));
        }
    }
    items.iter().filter_map(read_destination).collect()
}
