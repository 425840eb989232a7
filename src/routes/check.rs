//! Checks the names, matches and overlaps of the routes in the `routes` section. Each error names the conflicting values
//! and what would be valid.

use super::check_timing::check_timing;
use super::table::{MatchCriteria, Route, RouteTable};
use super::{NamedSettings, ParsedMatch, ParsedRoute, RetryPause, RouteTiming};
use crate::config_error::{ConfigError, ErrorCode, Located, Position};
use crate::durations::format_duration;
use crate::{ClassId, DestinationId, KindId};
use std::collections::hash_map::{Entry, HashMap};

/// A route whose `match` is valid.
struct AcceptedRoute {
    route: Route,
    destinations: Vec<DestinationId>,
    /// The position of the `match` map in the file.
    match_at: Position,
    /// Whether the route overlaps with an equally specific one.
    overlaps: bool,
}

/// Checks the routes and builds the route table from those whose `match` is valid. The table may be used only if no error
/// was recorded.
pub fn check_routes(
    parsed_routes: &[ParsedRoute],
    platform: NamedSettings<'_>,
    errors: &mut Vec<ConfigError>,
) -> RouteTable {
    check_names(parsed_routes, errors);
    let mut accepted: Vec<AcceptedRoute> =
        parsed_routes.iter().filter_map(|parsed| accept_route(parsed, platform, errors)).collect();
    check_overlaps(&mut accepted, errors);
    let routes = accepted.iter().map(|accepted| accepted.route.clone()).collect();
    let destinations: Vec<_> = accepted.iter().map(|accepted| accepted.destinations.clone()).collect();
    let names = platform.names;
    let table = RouteTable::build(routes, &destinations, names.kinds.len(), names.classes.len());
    check_shadowed(&accepted, &table, errors);
    table
}

fn accept_route(
    parsed: &ParsedRoute,
    platform: NamedSettings<'_>,
    errors: &mut Vec<ConfigError>,
) -> Option<AcceptedRoute> {
    let criteria = resolve_match(&parsed.matches, platform, errors)?;
    let timing = timing_of(parsed, errors);
    if parsed.is_complete {
        check_timing(parsed, criteria, &timing, platform, errors);
    }
    let destinations = parsed.matches.destinations.iter().flatten();
    Some(AcceptedRoute {
        route: Route { name: parsed.name.value.clone(), line: parsed.at.line, criteria, timing },
        destinations: destinations.map(|destination| destination.value).collect(),
        match_at: parsed.matches.at,
        overlaps: false,
    })
}

fn check_names(parsed_routes: &[ParsedRoute], errors: &mut Vec<ConfigError>) {
    let mut positions: HashMap<&str, Position> = HashMap::new();
    for ParsedRoute { name, .. } in parsed_routes {
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

fn resolve_match(
    matches: &ParsedMatch,
    platform: NamedSettings<'_>,
    errors: &mut Vec<ConfigError>,
) -> Option<MatchCriteria> {
    let names = platform.names;
    let kind = resolve_name(&matches.kind, &names.kinds, "kind", ErrorCode::UnknownKind, errors);
    let class = resolve_name(&matches.class, &names.classes, "class", ErrorCode::UnknownClass, errors);
    let (kind, class) = (kind?.map(KindId), class?.map(ClassId));
    Some(MatchCriteria { names_destinations: matches.destinations.is_some(), kind, class })
}

/// Looks up an optional name. Returns `Some(None)` if no name is given, and `None` if the name is unknown.
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

/// Converts the timing of a route; checks that its longest pause is not shorter than the first.
fn timing_of(parsed: &ParsedRoute, errors: &mut Vec<ConfigError>) -> RouteTiming {
    if let Some(pause) = parsed.pause.filter(|pause| pause.max.value < pause.first.value) {
        let (first, longest) = (format_duration(pause.first.value), format_duration(pause.max.value));
        let reason = format!(
            "the longest pause {longest} is shorter than the first, {first}; it must be {first} or more"
        );
        errors.push(ConfigError::new(pause.max.at, ErrorCode::Pause, reason));
    }
    RouteTiming {
        timeout: parsed.timeout.map(|timeout| timeout.value),
        attempts: parsed.attempts.map(|attempts| u32::try_from(attempts.value).unwrap_or(u32::MAX)),
        pause: parsed.pause.map(|pause| RetryPause { first: pause.first.value, max: pause.max.value }),
        hedge_after: parsed.hedge_after.map(|after| after.value),
        abandon_after: parsed.abandon_after.map(|after| after.value),
    }
}

/// The overlap of a route with an earlier one that has the same criteria.
struct Overlap {
    /// Index of the earlier route.
    earlier: usize,
    /// The first destination that both routes name; `None` if they do not name destinations.
    first_destination: Option<DestinationId>,
    /// The number of destinations that both routes name.
    count: usize,
}

/// Records an error for each pair of routes with the same criteria that match a common message: routes that name
/// destinations overlap in the destinations that both name, other routes overlap entirely.
fn check_overlaps(accepted: &mut [AcceptedRoute], errors: &mut Vec<ConfigError>) {
    let mut first_by_criteria: HashMap<(MatchCriteria, Option<DestinationId>), usize> = HashMap::new();
    for index in 0..accepted.len() {
        for overlap in overlaps_of(index, &accepted[index], &mut first_by_criteria) {
            errors.push(overlap_error(&accepted[index], &accepted[overlap.earlier], &overlap));
            accepted[index].overlaps = true;
            accepted[overlap.earlier].overlaps = true;
        }
    }
}

fn overlaps_of(
    index: usize,
    accepted: &AcceptedRoute,
    first_by_criteria: &mut HashMap<(MatchCriteria, Option<DestinationId>), usize>,
) -> Vec<Overlap> {
    let criteria = accepted.route.criteria;
    let destinations: Vec<Option<DestinationId>> = match criteria.names_destinations {
        true => accepted.destinations.iter().copied().map(Some).collect(),
        false => vec![None],
    };
    let mut overlaps: Vec<Overlap> = Vec::new();
    for destination in destinations {
        let earlier = *first_by_criteria.entry((criteria, destination)).or_insert(index);
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
        (None, _) => "every message that they match".into(),
    };
    let reason = format!(
        "`{}` and `{}` (line {}) are equally specific and could both apply to {common}; make one of them more \
         specific, or match these messages in only one of them",
        later.route.name, earlier.route.name, earlier.route.line
    );
    ConfigError::new(later.match_at, ErrorCode::Overlap, reason)
}

/// Records an error for each route that can never apply. A route that overlaps with another, or has no valid destination,
/// has an error already.
fn check_shadowed(accepted: &[AcceptedRoute], table: &RouteTable, errors: &mut Vec<ConfigError>) {
    for (accepted, applies) in accepted.iter().zip(table.routes_that_apply()) {
        let names_none = accepted.route.criteria.names_destinations && accepted.destinations.is_empty();
        if applies || accepted.overlaps || names_none {
            continue;
        }
        let reason = format!(
            "`{}` never applies: for every message that it matches, a more specific route applies; remove it, or the others",
            accepted.route.name
        );
        errors.push(ConfigError::new(accepted.match_at, ErrorCode::Shadowed, reason));
    }
}
