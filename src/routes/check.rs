//! What makes a file of routes unfit: names, matches and overlaps of the entries. Each error names what collides and what
//! would be right.

use super::check_timing::check_timing;
use super::plan::{MatchShape, Plan, Route};
use super::{Pause, Platform, Timing, WrittenMatch, WrittenRoute};
use crate::config_error::{ConfigError, ErrorCode, Located, Position};
use crate::durations::format_duration;
use crate::{ClassId, DestinationId, KindId};
use std::collections::hash_map::{Entry, HashMap};

/// An entry whose `match` can be read.
struct AcceptedRoute {
    route: Route,
    destinations: Vec<DestinationId>,
    /// Where its `match` stands.
    match_at: Position,
    overlaps: bool,
}

/// Checks the entries and makes a plan of those whose `match` can be read; it may be used only if no error was recorded.
pub fn check_routes(entries: &[WrittenRoute], platform: Platform<'_>, errors: &mut Vec<ConfigError>) -> Plan {
    check_names(entries, errors);
    let mut accepted: Vec<AcceptedRoute> =
        entries.iter().filter_map(|entry| accept(entry, platform, errors)).collect();
    check_overlaps(&mut accepted, errors);
    let routes = accepted.iter().map(|accepted| accepted.route.clone()).collect();
    let destinations: Vec<_> = accepted.iter().map(|accepted| accepted.destinations.clone()).collect();
    let names = platform.names;
    let plan = Plan::build(routes, &destinations, names.kinds.len(), names.classes.len());
    check_shadowed(&accepted, &plan, errors);
    plan
}

fn accept(
    entry: &WrittenRoute,
    platform: Platform<'_>,
    errors: &mut Vec<ConfigError>,
) -> Option<AcceptedRoute> {
    let shape = resolve(&entry.matches, platform, errors)?;
    let timing = timing_of(entry, errors);
    if entry.is_complete {
        check_timing(entry, shape, &timing, platform, errors);
    }
    let named = entry.matches.destinations.iter().flatten();
    Some(AcceptedRoute {
        route: Route { name: entry.name.value.clone(), line: entry.at.line, shape, timing },
        destinations: named.map(|destination| destination.value).collect(),
        match_at: entry.matches.at,
        overlaps: false,
    })
}

fn check_names(entries: &[WrittenRoute], errors: &mut Vec<ConfigError>) {
    let mut positions: HashMap<&str, Position> = HashMap::new();
    for WrittenRoute { name, .. } in entries {
        match positions.entry(&name.value) {
            Entry::Vacant(vacant) => {
                vacant.insert(name.at);
            }
            Entry::Occupied(first) => {
                let reason = format!("the name `{}` stands in line {} already", name.value, first.get().line);
                errors.push(ConfigError::new(name.at, ErrorCode::RepeatedName, reason));
            }
        }
    }
}

fn resolve(
    matches: &WrittenMatch,
    platform: Platform<'_>,
    errors: &mut Vec<ConfigError>,
) -> Option<MatchShape> {
    let names = platform.names;
    let kind = resolve_name(&matches.kind, &names.kinds, "kind", ErrorCode::UnknownKind, errors);
    let class = resolve_name(&matches.class, &names.classes, "class", ErrorCode::UnknownClass, errors);
    let (kind, class) = (kind?.map(KindId), class?.map(ClassId));
    Some(MatchShape { names_destinations: matches.destinations.is_some(), kind, class })
}

/// The position of a name that may be left out; none if it is unknown.
fn resolve_name(
    given: &Option<Located<String>>,
    known: &[String],
    what: &str,
    code: ErrorCode,
    errors: &mut Vec<ConfigError>,
) -> Option<Option<usize>> {
    let Some(given) = given else { return Some(None) };
    let index = known.iter().position(|name| *name == given.value);
    if index.is_none() {
        let known = known.join(", ");
        let reason = format!("the settings list no {what} `{}`; they list {known}", given.value);
        errors.push(ConfigError::new(given.at, code, reason));
    }
    index.map(Some)
}

/// The figures of an entry; the pauses are checked against each other.
fn timing_of(entry: &WrittenRoute, errors: &mut Vec<ConfigError>) -> Timing {
    if let Some(pause) = entry.pause.filter(|pause| pause.max.value < pause.first.value) {
        let (first, longest) = (format_duration(pause.first.value), format_duration(pause.max.value));
        let reason =
            format!("the longest pause {longest} is under the first one {first}; it must be {first} or more");
        errors.push(ConfigError::new(pause.max.at, ErrorCode::Pause, reason));
    }
    Timing {
        timeout: entry.timeout.map(|timeout| timeout.value),
        attempts: entry.attempts.map(|attempts| u32::try_from(attempts.value).unwrap_or(u32::MAX)),
        pause: entry.pause.map(|pause| Pause { first: pause.first.value, max: pause.max.value }),
        hedge_after: entry.hedge_after.map(|after| after.value),
        abandon_after: entry.abandon_after.map(|after| after.value),
    }
}

/// What one entry shares with an earlier one of the same shape.
struct Overlap {
    earlier: usize,
    first_destination: Option<DestinationId>,
    count: usize,
}

/// Entries of one shape exclude each other but for what their lists of destinations share.
fn check_overlaps(accepted: &mut [AcceptedRoute], errors: &mut Vec<ConfigError>) {
    let mut first_by_criterion: HashMap<(MatchShape, Option<DestinationId>), usize> = HashMap::new();
    for index in 0..accepted.len() {
        for overlap in overlaps_of(index, &accepted[index], &mut first_by_criterion) {
            errors.push(overlap_error(&accepted[index], &accepted[overlap.earlier], &overlap));
            accepted[index].overlaps = true;
            accepted[overlap.earlier].overlaps = true;
        }
    }
}

fn overlaps_of(
    index: usize,
    accepted: &AcceptedRoute,
    first_by_criterion: &mut HashMap<(MatchShape, Option<DestinationId>), usize>,
) -> Vec<Overlap> {
    let shape = accepted.route.shape;
    let destinations: Vec<Option<DestinationId>> = match shape.names_destinations {
        true => accepted.destinations.iter().copied().map(Some).collect(),
        false => vec![None],
    };
    let mut overlaps: Vec<Overlap> = Vec::new();
    for destination in destinations {
        let earlier = *first_by_criterion.entry((shape, destination)).or_insert(index);
        if earlier == index {
            continue;
        }
        match overlaps.iter_mut().find(|overlap| overlap.earlier == earlier) {
            Some(known) => known.count += 1,
            None => overlaps.push(Overlap { earlier, first_destination: destination, count: 1 }),
        }
    }
    overlaps
}

fn overlap_error(later: &AcceptedRoute, earlier: &AcceptedRoute, overlap: &Overlap) -> ConfigError {
    let common = match (overlap.first_destination, overlap.count) {
        (Some(destination), 1) => format!("destination {}", destination.0),
        (Some(destination), count) => format!("destination {} and {} more", destination.0, count - 1),
        (None, _) => "all that they match".into(),
    };
    let reason = format!(
        "`{}` and `{}` (line {}) are equally specific and could both win for {common}; make one of them more \
         specific, or give it to one only",
        later.route.name, earlier.route.name, earlier.route.line
    );
    ConfigError::new(later.match_at, ErrorCode::Overlap, reason)
}

/// Entries that can never win. One that overlaps with another or names no destination that can be read has an error already.
fn check_shadowed(accepted: &[AcceptedRoute], plan: &Plan, errors: &mut Vec<ConfigError>) {
    for (accepted, wins) in accepted.iter().zip(plan.winners()) {
        let names_none = accepted.route.shape.names_destinations && accepted.destinations.is_empty();
        if wins || accepted.overlaps || names_none {
            continue;
        }
        let reason = format!(
            "`{}` never wins: for every message that it matches, a more specific entry does; remove it or them",
            accepted.route.name
        );
        errors.push(ConfigError::new(accepted.match_at, ErrorCode::Shadowed, reason));
    }
}
