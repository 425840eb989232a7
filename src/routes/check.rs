//! What makes a file of routes unfit: each breach with the figures that collide and what would be right.

use super::plan::{MatchShape, Plan, Route};
use super::{worst_case, Platform, Timing, WrittenMatch, WrittenRoute, MAX_ATTEMPTS_PER_MESSAGE};
use crate::config_error::{ConfigError, ErrorCode, Position};
use crate::policy::longest_cut;
use crate::site::format_duration;
use crate::{Class, ClassId, DestinationId, Idempotency, KindId, Micros};
use std::collections::hash_map::{Entry as Place, HashMap};

/// What can be accepted of an entry.
struct Accepted {
    route: Route,
    destinations: Vec<DestinationId>,
    at: Position,
    overlaps: bool,
}

/// Notes every breach, and lays out the plan of the entries whose `match` can be read.
pub fn check(entries: &[WrittenRoute], platform: Platform<'_>, breaches: &mut Vec<ConfigError>) -> Plan {
    check_names(entries, breaches);
    let mut accepted: Vec<Accepted> = Vec::with_capacity(entries.len());
    for entry in entries {
        let Some(shape) = resolve(&entry.matches, platform, breaches) else { continue };
        let timing = figures(entry, breaches);
        if entry.is_complete {
            check_figures(entry, shape, &timing, platform, breaches);
        }
        let named = entry.matches.destinations.iter().flatten().map(|d| d.value).collect();
        let route = Route { name: entry.name.value.clone(), line: entry.at.line, shape, timing };
        accepted.push(Accepted { route, destinations: named, at: entry.matches.at, overlaps: false });
    }
    check_overlaps(&mut accepted, breaches);
    let routes = accepted.iter().map(|a| a.route.clone()).collect();
    let destinations: Vec<_> = accepted.iter().map(|a| a.destinations.clone()).collect();
    let plan = Plan::build(routes, &destinations, platform.names.kinds.len(), platform.names.classes.len());
    for (a, wins) in accepted.iter().zip(plan.winners()) {
        // One that names nothing that exists, or stands beside its double, was told of that already.
        let told = a.overlaps || a.route.shape.names_destinations && a.destinations.is_empty();
        if !wins && !told {
            let reason = format!(
                "`{}` never wins: for every message that it matches, a more specific entry does; remove it or \
                 them",
                a.route.name
            );
            breaches.push(ConfigError::new(a.at, ErrorCode::Shadowed, reason));
        }
    }
    plan
}

fn check_names(entries: &[WrittenRoute], breaches: &mut Vec<ConfigError>) {
    let mut seen: HashMap<&str, Position> = HashMap::new();
    for entry in entries {
        match seen.entry(&entry.name.value) {
            Place::Vacant(place) => drop(place.insert(entry.name.at)),
            Place::Occupied(place) => {
                let reason =
                    format!("the name `{}` stands in line {} already", place.key(), place.get().line);
                breaches.push(ConfigError::new(entry.name.at, ErrorCode::RepeatedName, reason));
            }
        }
    }
}

fn resolve(m: &WrittenMatch, platform: Platform<'_>, breaches: &mut Vec<ConfigError>) -> Option<MatchShape> {
    let names = platform.names;
    let mut find =
        |given: &Option<crate::config_error::Located<String>>, all: &[String], what: &str, code| {
            let Some(given) = given else { return Some(None) };
            let found = all.iter().position(|n| *n == given.value);
            if found.is_none() {
                let reason =
                    format!("the settings list no {what} `{}`; they list {}", given.value, all.join(", "));
                breaches.push(ConfigError::new(given.at, code, reason));
            }
            found.map(Some)
        };
    let kind = find(&m.kind, &names.kinds, "kind", ErrorCode::UnknownKind);
    let class = find(&m.class, &names.classes, "class", ErrorCode::UnknownClass);
    let (kind, class) = (kind?.map(KindId), class?.map(ClassId));
    Some(MatchShape { names_destinations: m.destinations.is_some(), kind, class })
}

/// The figures of an entry, with those that stand on their own checked.
fn figures(entry: &WrittenRoute, breaches: &mut Vec<ConfigError>) -> Timing {
    if let Some(p) = entry.pause.filter(|p| p.max.value < p.first.value) {
        let (first, longest) = (format_duration(p.first.value), format_duration(p.max.value));
        let reason =
            format!("the longest pause {longest} is under the first one {first}; it must be {first} or more");
        breaches.push(ConfigError::new(p.max.at, ErrorCode::Pause, reason));
    }
    Timing {
        timeout: entry.timeout.map(|t| t.value),
        attempts: entry.attempts.map(|a| u32::try_from(a.value).unwrap_or(u32::MAX)),
        pause: entry.pause.map(|p| (p.first.value, p.max.value)),
        hedge_after: entry.hedge_after.map(|c| c.value),
        abandon_after: entry.abandon_after.map(|g| g.value),
    }
}

/// Holds the figures of an entry against each other, the settings and the classes that it is for.
fn check_figures(
    entry: &WrittenRoute,
    shape: MatchShape,
    timing: &Timing,
    platform: Platform<'_>,
    breaches: &mut Vec<ConfigError>,
) {
    let allowed = platform.settings.max_attempts.min(MAX_ATTEMPTS_PER_MESSAGE);
    let mut countable = true;
    if let Some(a) = entry.attempts.filter(|a| a.value == 0 || a.value > u64::from(allowed)) {
        let why = match a.value {
            0 => "0 attempts would send nothing".into(),
            n if n > u64::from(MAX_ATTEMPTS_PER_MESSAGE) => {
                format!("{n} attempts are more than any message may have")
            }
            n => format!("{n} attempts are more than `max-attempts` of the settings allows"),
        };
        breaches.push(ConfigError::new(
            a.at,
            ErrorCode::Attempts,
            format!("{why}; 1 to {allowed} are right"),
        ));
        countable = false;
    }
    let classes = platform.settings.classes.iter().zip(&platform.names.classes).enumerate();
    let classes: Vec<Bound<'_>> = classes
        .filter(|(at, _)| shape.class.is_none_or(|c| c.0 == *at))
        .map(|(_, (class, name))| Bound {
            entry,
            timing,
            class,
            name,
            tick: platform.settings.min_step_interval,
        })
        .collect();
    check_second_copy(entry, timing, &classes, platform.settings.may_hedge, breaches);
    // Of several classes the one with the least room is told of.
    let by_deadline = classes.iter().min_by_key(|b| b.class.deadline);
    if let Some(b) = by_deadline {
        b.check_give_up(breaches);
    }
    if !countable {
        return;
    }
    let tightest = classes.iter().min_by_key(|b| b.class.deadline.saturating_sub(b.worst_end()));
    tightest.into_iter().for_each(|b| b.check_end(breaches));
    let keyed = classes.iter().filter(|b| b.class.idempotency == Idempotency::WithKey);
    keyed.min_by_key(|b| b.class.deduplication_window).into_iter().for_each(|b| b.check_span(breaches));
}

fn check_second_copy(
    entry: &WrittenRoute,
    timing: &Timing,
    classes: &[Bound<'_>],
    allowed: bool,
    breaches: &mut Vec<ConfigError>,
) {
    let Some(after) = entry.hedge_after else { return };
    let longest = classes.iter().map(Bound::timeout).max().unwrap_or(0);
    if after.value < longest {
        let (copy, cut) = (format_duration(after.value), format_duration(longest));
        let mut reason = format!(
            "a second copy after {copy} would go out while the first may be out for {cut}; `after` must be {cut} \
             or more"
        );
        if timing.timeout.is_none() {
            reason += ", or a `timeout` be set";
        }
        if allowed {
            reason += " (that the settings allow two at once changes nothing: a message never has two out)";
        }
        breaches.push(ConfigError::new(after.at, ErrorCode::HedgedRequest, reason));
    }
    if let Some(b) = classes.iter().find(|b| b.class.idempotency == Idempotency::NonIdempotent) {
        let reason = format!(
            "class `{}` allows one attempt that may have run, and a second copy would be another; leave it out, \
             or match other classes only",
            b.name
        );
        breaches.push(ConfigError::new(after.at, ErrorCode::NonIdempotent, reason));
    }
}

/// An entry held against one class that it is for.
struct Bound<'a> {
    entry: &'a WrittenRoute,
    timing: &'a Timing,
    class: &'a Class,
    name: &'a str,
    tick: Micros,
}

impl Bound<'_> {
    /// How long an attempt may be out.
    fn timeout(&self) -> Micros {
        self.timing.attempt_timeout(longest_cut(self.class.idempotency))
    }

    /// The attempts that the entry promises: what it leaves to the module ends in time by itself.
    fn attempts(&self) -> u32 {
        let copies = 1 + u32::from(self.timing.hedge_after.is_some());
        self.timing.attempts.unwrap_or(if self.timing.timeout.is_some() { copies } else { copies - 1 })
    }

    /// The end of the worst case, counted from the hand-in.
    fn worst_end(&self) -> Micros {
        worst_case(self.timing, self.timeout(), self.attempts()).last().map_or(0, |s| s.abandoned_at)
    }

    /// Where the breach of a sum is shown.
    fn place(&self) -> Position {
        let attempts = self.entry.attempts.map(|a| a.at);
        attempts.or(self.entry.timeout.map(|t| t.at)).unwrap_or(self.entry.at)
    }

    /// How the worst case comes about.
    fn sum(&self) -> String {
        let each = format_duration(self.timeout());
        let set =
            if self.timing.timeout.is_some() { "" } else { ", the longest that is left to the module," };
        let pauses = if self.timing.pause.is_some() || self.timing.hedge_after.is_some() {
            " with what lies between them"
        } else {
            ""
        };
        format!(
            "{} attempts of {each}{set}{pauses} may take {}",
            self.attempts(),
            format_duration(self.worst_end())
        )
    }

    /// How many attempts would end in time.
    fn fitting(&self, limit: Micros) -> String {
        let fits = |n: &u32| {
            worst_case(self.timing, self.timeout(), *n).last().map_or(0, |s| s.abandoned_at) + self.tick
                <= limit
        };
        match (1..self.attempts()).rev().find(fits) {
            Some(1) => "1 attempt would fit".into(),
            Some(n) => format!("{n} attempts would fit"),
            None => format!("a `timeout` under {} is needed", format_duration(limit)),
        }
    }

    fn check_give_up(&self, breaches: &mut Vec<ConfigError>) {
        let Some(g) = self.entry.abandon_after.filter(|g| g.value > self.class.deadline) else { return };
        let (given, deadline) = (format_duration(g.value), format_duration(self.class.deadline));
        let reason = format!(
            "give-up after {given} lies beyond the deadline {deadline} of class `{}`; {deadline} at most is right",
            self.name
        );
        breaches.push(ConfigError::new(g.at, ErrorCode::Deadline, reason));
    }

    fn check_end(&self, breaches: &mut Vec<ConfigError>) {
        let end = self.worst_end() + self.tick;
        let (deadline, name) = (self.class.deadline, self.name);
        if end > deadline {
            let reason = format!(
                "{}, which cannot end before the deadline {} of class `{name}`; {}",
                self.sum(),
                format_duration(deadline),
                self.fitting(deadline)
            );
            breaches.push(ConfigError::new(self.place(), ErrorCode::Deadline, reason));
        }
        if let Some(g) = self.entry.abandon_after.filter(|g| end > g.value) {
            let reason = format!(
                "{}, which cannot end before the give-up after {}; {}",
                self.sum(),
                format_duration(g.value),
                self.fitting(g.value)
            );
            breaches.push(ConfigError::new(g.at, ErrorCode::AbandonAfter, reason));
        }
    }

    fn check_span(&self, breaches: &mut Vec<ConfigError>) {
        let steps = worst_case(self.timing, self.timeout(), self.attempts());
        let span = self.class.deduplication_window;
        let Some(late) = steps.iter().skip(1).find(|s| s.starts_at + self.tick >= span) else { return };
        let reason = format!(
            "attempt {} could begin {} after the first that may have run, but repeats of class `{}` are dropped \
             only for {}; {} at most are right",
            late.number,
            format_duration(late.starts_at),
            self.name,
            format_duration(span),
            late.number - 1
        );
        breaches.push(ConfigError::new(self.place(), ErrorCode::DeduplicationWindow, reason));
    }
}

/// Entries of one shape exclude each other but for what their lists of destinations share.
fn check_overlaps(accepted: &mut [Accepted], breaches: &mut Vec<ConfigError>) {
    let mut first: HashMap<(MatchShape, Option<DestinationId>), usize> = HashMap::new();
    for at in 0..accepted.len() {
        let shape = accepted[at].route.shape;
        let keys: Vec<Option<DestinationId>> = match shape.names_destinations {
            true => accepted[at].destinations.iter().map(|d| Some(*d)).collect(),
            false => vec![None],
        };
        let mut shared: Vec<(usize, Option<DestinationId>, usize)> = Vec::new();
        for key in keys {
            match first.entry((shape, key)) {
                Place::Vacant(place) => drop(place.insert(at)),
                Place::Occupied(place) if *place.get() != at => {
                    let other = *place.get();
                    match shared.iter_mut().find(|s| s.0 == other) {
                        Some(known) => known.2 += 1,
                        None => shared.push((other, key, 1)),
                    }
                }
                Place::Occupied(_) => {}
            }
        }
        for (other, key, count) in shared {
            let (this, that) = (&accepted[at], &accepted[other]);
            let common = match (key, count) {
                (Some(d), 1) => format!("destination {}", d.0),
                (Some(d), n) => format!("destination {} and {} more", d.0, n - 1),
                (None, _) => "all that they match".into(),
            };
            let reason = format!(
                "`{}` and `{}` (line {}) are equally specific and could both win for {common}; make one of them \
                 more specific, or give it to one only",
                this.route.name, that.route.name, that.route.line
            );
            breaches.push(ConfigError::new(this.at, ErrorCode::Overlap, reason));
            accepted[at].overlaps = true;
            accepted[other].overlaps = true;
        }
    }
}
