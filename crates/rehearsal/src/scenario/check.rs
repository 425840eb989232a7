//! The checks of a scenario. They collect all errors at once, each with its position in the file.

use super::{
    DestinationGroup, FaultKind, Fleet, RelativeTime, Scenario, ScenarioError, Signal, SpannedName, Stop,
};
use cedarbridge::Micros;
use serde_saphyr::Spanned;
use std::collections::BTreeSet;

/// The largest number of destinations in a scenario.
const MAX_DESTINATIONS: usize = 10_000;
/// The largest number of forwarders in a scenario.
const MAX_FORWARDERS: usize = 100;
/// The largest number of forwarders in a fleet in virtual time.
const MAX_FLEET_SIZE: usize = 2_000;
/// The largest number of runs for each fleet.
const MAX_SEEDS: usize = 1_000;
/// The largest clock skew within a fleet, one hour.
const MAX_CLOCK_SKEW: Micros = 3_600_000_000;
/// The highest load of a phase, as a multiple of full load.
const MAX_LOAD: f64 = 5.0;

impl Scenario {
    /// Adds every error of the scenario to `errors`.
    pub(super) fn check(&self, errors: &mut Vec<ScenarioError>) {
        self.check_totals(errors);
        check_unique_names("channel", self.tenants.iter().map(|t| &t.name), errors);
        check_unique_names("partner", self.destinations.iter().map(|p| &p.name), errors);
        check_unique_names("phase", self.phases.iter().map(|p| &p.name), errors);
        check_unique_names("clump", self.bursts.iter().map(|b| &b.name), errors);
        for tenant in self.tenants.iter().filter(|t| !(t.share > 0.0 && t.usage > 0.0)) {
            errors.push(ScenarioError::at(
                tenant.name.referenced,
                "a channel's `share` and `uses` must be above 0",
            ));
        }
        self.destinations.iter().for_each(|group| check_destination(group, errors));
        self.check_phases(errors);
        let names: BTreeSet<String> = self.destination_names().into_iter().map(|n| n.0).collect();
        self.check_bursts(&names, errors);
        self.check_faults(&names, errors);
        self.check_replacements(&names, errors);
        self.check_stops(errors);
        if let Some(fleet) = &self.fleet {
            self.check_fleet(fleet, errors);
        }
        if let Some(expected) =
            self.expect.min_delivered_share.as_ref().filter(|w| !(0.0..=1.0).contains(&w.value))
        {
            errors.push(ScenarioError::at(
                expected.referenced,
                "the expected `worth` must be a share from 0 to 1",
            ));
        }
    }

    fn check_totals(&self, errors: &mut Vec<ScenarioError>) {
        if !(self.rate.value > 0.0 && self.rate.value <= 1e6) {
            errors.push(ScenarioError::at(
                self.rate.referenced,
                "`rate` must be above 0 and at most 1000000 messages a second",
            ));
        }
        let whole_file = |reason: &str| ScenarioError { line: 1, column: 1, reason: reason.into() };
        if !(1..=MAX_FORWARDERS).contains(&self.forwarders.count) {
            errors
                .push(whole_file(&format!("the `count` of `forwarders` must be from 1 to {MAX_FORWARDERS}")));
        }
        if self.destinations.is_empty() || self.phases.is_empty() {
            errors.push(whole_file("at least one partner and one phase are required"));
        }
        if self.destination_count() > MAX_DESTINATIONS {
            errors.push(whole_file(&format!("there are more than {MAX_DESTINATIONS} partners")));
        }
        let clients = &self.clients;
        if !(0.0..=1.0).contains(&clients.retry_share) || clients.retry_delay.0 .0 > clients.retry_delay.1 .0
        {
            errors.push(whole_file(
                "`clients`: `again` must be a share from 0 to 1, and the first time in `after` no longer than the second",
            ));
        }
    }

    fn check_bursts(&self, names: &BTreeSet<String>, errors: &mut Vec<ScenarioError>) {
        for burst in &self.bursts {
            check_destination_name(names, &burst.destination, errors);
            self.check_time(&burst.at, &burst.name, burst.within.0, errors);
            if let Some(other) = &burst.at.burst {
                errors.push(ScenarioError::at(
                    other.referenced,
                    "a clump's time cannot be relative to another clump",
                ));
            }
        }
    }

    fn check_faults(&self, names: &BTreeSet<String>, errors: &mut Vec<ScenarioError>) {
        for spec in &self.faults {
            check_destination_name(names, &spec.destination, errors);
            self.check_time(&spec.at, &spec.destination, spec.duration.0, errors);
            let valid = match (spec.kind.value, spec.size) {
                (FaultKind::Slow, Some(factor)) => factor > 1.0 && factor.is_finite(),
                (FaultKind::FailCalls, Some(share)) => share > 0.0 && share <= 1.0,
                (FaultKind::Lowered, Some(share)) => share > 0.0 && share < 1.0,
                (FaultKind::Slow | FaultKind::FailCalls | FaultKind::Lowered, None) => false,
                (_, size) => size.is_none(),
            };
            if !valid {
                let reason =
                    "`slow` needs a `size` above 1, `fail` one above 0 and up to 1, `lowered` one between \
                              0 and 1; other kinds have no `size`";
                errors.push(ScenarioError::at(spec.kind.referenced, reason));
            }
        }
    }

    fn check_replacements(&self, names: &BTreeSet<String>, errors: &mut Vec<ScenarioError>) {
        for replacement in &self.replacements {
            check_destination_name(names, &replacement.destination, errors);
            self.check_time(&replacement.at, &replacement.destination, replacement.drain_time.0, errors);
        }
    }

    /// Checks the phases' loads, and that the bursts of a phase do not exceed the phase's traffic.
    fn check_phases(&self, errors: &mut Vec<ScenarioError>) {
        for phase in &self.phases {
            let (load, share) = (phase.load.value, phase.burst_share.as_ref().map_or(0.0, |s| s.value));
            if !(load > 0.0 && load <= MAX_LOAD) {
                errors.push(ScenarioError::at(
                    phase.load.referenced,
                    format!("`load` must be above 0 and at most {MAX_LOAD}"),
                ));
            }
            if let Some(burst_share) = phase.burst_share.as_ref().filter(|_| !(0.0..=1.0).contains(&share)) {
                errors
                    .push(ScenarioError::at(burst_share.referenced, "`clumps` must be a share from 0 to 1"));
            }
            let Some((start, end)) = self.phase(&phase.name.value) else { continue };
            let all = self.rate.value * load * (end - start) as f64 / 1e6;
            let mut remaining = all * (1.0 - share);
            for burst in &self.bursts {
                let at = self.resolve_time(&burst.at);
                if at.is_some_and(|at| (start..end).contains(&at)) {
                    remaining -= burst.messages.value as f64;
                    if remaining < 0.0 {
                        let reason = format!(
                            "with this clump, clumps come to more than 100% of the {all:.0} messages of phase `{}`",
                            phase.name.value
                        );
                        errors.push(ScenarioError::at(burst.messages.referenced, reason));
                        break;
                    }
                }
            }
        }
    }

    /// Checks that a time is defined, and that something of this duration that starts then ends within the run. An error is
    /// reported at the position of `owner`, if the time has none.
    fn check_time(
        &self,
        time: &RelativeTime,
        owner: &SpannedName,
        duration: Micros,
        errors: &mut Vec<ScenarioError>,
    ) {
        if let (Some(phase), Some(_)) = (&time.phase, &time.burst) {
            errors.push(ScenarioError::at(
                phase.referenced,
                "a time is relative to a phase or to a clump, not to both",
            ));
        }
        match self.resolve_time(time) {
            None => {
                let location = time.phase.as_ref().or(time.burst.as_ref()).unwrap_or(owner);
                let reason = format!(
                    "there is no phase or clump `{}`, or it is a clump whose own phase does not exist",
                    location.value
                );
                errors.push(ScenarioError::at(location.referenced, reason));
            }
            Some(at) if at + duration > self.length() => {
                let seconds = |t: Micros| t as f64 / 1e6;
                let reason = format!(
                    "what is defined here lasts from {} s to {} s, but the run ends at {} s",
                    seconds(at),
                    seconds(at + duration),
                    seconds(self.length())
                );
                errors.push(ScenarioError::at(owner.referenced, reason));
            }
            Some(_) => {}
        }
    }

    fn check_fleet(&self, section: &Spanned<Fleet>, errors: &mut Vec<ScenarioError>) {
        let (fleet, position) = (&section.value, section.referenced);
        let is_share = |x: f64| (0.0..=1.0).contains(&x);
        let is_penalty = |x: f64| (0.0..=10.0).contains(&x);
        let rules = [
            (
                !fleet.counts.is_empty() && (1..=MAX_SEEDS).contains(&fleet.seeds),
                "`fleet` needs a list of `counts`, and `seeds` from 1 to 1000",
            ),
            (
                is_share(fleet.unindexed_share) && is_share(fleet.duplicate_index_share),
                "`unnumbered` and `doubled` must be shares from 0 to 1",
            ),
            ((0.0..=5.0).contains(&fleet.traffic_skew), "`uneven` must be an exponent from 0 to 5"),
            (
                fleet.forwarder_count_factor > 0.0 && fleet.forwarder_count_factor <= 1000.0,
                "`told` must be above 0 and at most 1000",
            ),
            (fleet.clock_skew.0 <= MAX_CLOCK_SKEW, "`clocks` must differ by an hour at most"),
            (
                is_penalty(fleet.penalties.rejected_attempts) && is_penalty(fleet.penalties.connections),
                "`prices` must be from 0 to 10",
            ),
        ];
        let unmet = rules.iter().filter(|r| !r.0).map(|r| ScenarioError::at(position, r.1));
        errors.extend(unmet);
        for count in fleet.counts.iter().chain(fleet.resizes.iter().map(|r| &r.count)) {
            if !(1..=MAX_FLEET_SIZE).contains(&count.value) {
                errors.push(ScenarioError::at(
                    count.referenced,
                    format!("a fleet must have 1 to {MAX_FLEET_SIZE} forwarders"),
                ));
            }
        }
        let owner = Spanned { value: String::from("fleet"), referenced: position, defined: section.defined };
        if let Some(outage) = &fleet.outage {
            self.check_time(&outage.at, &owner, outage.duration.0, errors);
            if !is_share(outage.share) {
                errors.push(ScenarioError::at(position, "the `share` of `dead` must be from 0 to 1"));
            }
        }
        fleet.resizes.iter().for_each(|r| self.check_time(&r.at, &owner, r.propagation_time.0, errors));
        let times: Vec<_> = fleet.resizes.iter().filter_map(|r| self.resolve_time(&r.at)).collect();
        if times.windows(2).any(|t| t[0] >= t[1]) {
            errors.push(ScenarioError::at(
                position,
                "`sizes` must be in the order of time, at different times",
            ));
        }
        if !self.stops.is_empty() {
            errors.push(ScenarioError::at(
                position,
                "a scenario with `fleet` uses `dead` and `sizes` in place of `stops`",
            ));
        }
    }

    /// Checks the stops' forwarders and times, and that no two stops of a forwarder overlap.
    fn check_stops(&self, errors: &mut Vec<ScenarioError>) {
        // A graceful shutdown takes up to 3.7 s; a second stop must find the forwarder running.
        let time_per_stop = |s: &Stop| match s.signal {
            Signal::Hup => 0,
            Signal::Term => 3_700_000 + s.restart_delay.0,
            Signal::Kill | Signal::Stall => s.restart_delay.0,
            Signal::Upgrade => 5_000_000,
        };
        let total_time =
            |s: &Stop| time_per_stop(s) + s.interval.0 * (s.repetitions as u64).saturating_sub(1);
        for (index, stop) in self.stops.iter().enumerate() {
            let position = stop.forwarder.referenced;
            if !(1..=self.forwarders.count).contains(&stop.forwarder.value) {
                let reason = format!("forwarders are numbered from 1 to {}", self.forwarders.count);
                errors.push(ScenarioError::at(position, reason));
            }
            let owner = Spanned {
                value: String::from("stop"),
                referenced: position,
                defined: stop.forwarder.defined,
            };
            self.check_time(&stop.at, &owner, 0, errors);
            if stop.repetitions == 0 || stop.repetitions > 1 && stop.interval.0 < time_per_stop(stop) {
                errors.push(ScenarioError::at(
                    position,
                    "`times` must be at least 1, and `every` long enough for one stop and restart",
                ));
            }
            let at = self.resolve_time(&stop.at);
            let overlaps = |other: &Stop| {
                let (Some(a), Some(b)) = (at, self.resolve_time(&other.at)) else { return false };
                other.forwarder.value == stop.forwarder.value
                    && a < b + total_time(other)
                    && b < a + total_time(stop)
            };
            if self.stops[..index].iter().any(overlaps) {
                errors.push(ScenarioError::at(
                    position,
                    "this forwarder is not back yet from another of its stops",
                ));
            }
        }
    }
}

/// Checks that the destination of this name exists.
fn check_destination_name(names: &BTreeSet<String>, name: &SpannedName, errors: &mut Vec<ScenarioError>) {
    if !names.contains(&name.value) {
        let examples: Vec<&str> = names.iter().take(6).map(String::as_str).collect();
        let reason = format!("there is no partner `{}`; there are {}", name.value, examples.join(", "));
        errors.push(ScenarioError::at(name.referenced, reason));
    }
}

fn check_unique_names<'a>(
    section: &str,
    names: impl Iterator<Item = &'a SpannedName>,
    errors: &mut Vec<ScenarioError>,
) {
    let mut seen = BTreeSet::new();
    for name in names {
        if !seen.insert(&name.value) {
            errors.push(ScenarioError::at(
                name.referenced,
                format!("another {section} is called `{}`", name.value),
            ));
        }
    }
}

fn check_destination(group: &DestinationGroup, errors: &mut Vec<ScenarioError>) {
    let at = group.name.referenced;
    let positive = |x: f64| x > 0.0 && x.is_finite();
    let rules = [
        (
            group.count >= 1 && group.endpoints >= 1 && group.max_connections >= 1,
            "`count`, `endpoints` and `connections` must be at least 1",
        ),
        (positive(group.share), "`share` must be above 0"),
        (
            group.service_time_variation >= 0.0 && group.service_time_variation <= 5.0,
            "`spread` must be from 0 to 5",
        ),
        (group.headroom >= 0.0 && group.headroom.is_finite(), "`headroom` must be 0 or above"),
        (group.capacity_factor >= 1.0 && group.capacity_factor.is_finite(), "`spare` must be at least 1"),
        ((0.0..=1.0).contains(&group.error_rate), "`errors` must be a share from 0 to 1"),
        (
            group.slow_start.0 > 0.0 && group.slow_start.0 <= 1.0,
            "`cold` must begin with a share above 0 and up to 1",
        ),
    ];
    errors.extend(rules.iter().filter(|r| !r.0).map(|r| ScenarioError::at(at, r.1)));
}
