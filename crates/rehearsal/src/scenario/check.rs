//! The checks of a scenario: all errors are collected at once, with their places.

use super::{DestinationGroup, FaultKind, Fleet, Moment, Scenario, ScenarioError, Signal, SpannedName, Stop};
use cedarbridge::Micros;
use serde_saphyr::Spanned;
use std::collections::BTreeSet;

/// The most destinations of a scenario.
const MOST_PARTNERS: usize = 10_000;
/// The most forwarders of a scenario.
const MOST_FORWARDERS: usize = 100;
/// The most forwarders of a fleet in virtual time.
const MOST_FLEET: usize = 2_000;
const MOST_SEEDS: usize = 1_000;
/// The largest difference of clocks within a fleet.
const MOST_CLOCK: Micros = 3_600_000_000;
/// The highest load of a phase, over full load.
const MOST_LOAD: f64 = 5.0;

impl Scenario {
    /// Collects all that is wrong with the scenario.
    pub(super) fn check(&self, found: &mut Vec<ScenarioError>) {
        self.check_totals(found);
        check_unique_names("channel", self.channels.iter().map(|c| &c.name), found);
        check_unique_names("partner", self.destinations.iter().map(|p| &p.name), found);
        check_unique_names("phase", self.phases.iter().map(|p| &p.name), found);
        check_unique_names("clump", self.clumps.iter().map(|c| &c.name), found);
        for c in self.channels.iter().filter(|c| !(c.share > 0.0 && c.uses > 0.0)) {
            found.push(ScenarioError::at(c.name.referenced, "a channel's `share` and `uses` are above 0"));
        }
        self.destinations.iter().for_each(|p| check_destination(p, found));
        self.check_phases(found);
        let names: BTreeSet<String> = self.destination_names().into_iter().map(|n| n.0).collect();
        self.check_clumps(&names, found);
        self.check_faults(&names, found);
        self.check_replacements(&names, found);
        self.check_stops(found);
        if let Some(fleet) = &self.fleet {
            self.check_fleet(fleet, found);
        }
        if let Some(expected) =
            self.expect.delivered_share.as_ref().filter(|w| !(0.0..=1.0).contains(&w.value))
        {
            found.push(ScenarioError::at(expected.referenced, "the expected `worth` is a share from 0 to 1"));
        }
    }

    fn check_totals(&self, found: &mut Vec<ScenarioError>) {
        if !(self.rate.value > 0.0 && self.rate.value <= 1e6) {
            found.push(ScenarioError::at(
                self.rate.referenced,
                "`rate` is above 0 and at most 1000000 messages a second",
            ));
        }
        let whole_file = |reason: &str| ScenarioError { line: 1, column: 1, reason: reason.into() };
        if !(1..=MOST_FORWARDERS).contains(&self.forwarders.count) {
            found.push(whole_file(&format!("`forwarders` has a `count` from 1 to {MOST_FORWARDERS}")));
        }
        if self.destinations.is_empty() || self.phases.is_empty() {
            found.push(whole_file("there must be a partner and a phase"));
        }
        if self.destination_count() > MOST_PARTNERS {
            found.push(whole_file(&format!("there are more than {MOST_PARTNERS} partners")));
        }
        let c = &self.clients;
        if !(0.0..=1.0).contains(&c.retry_share) || c.after.0 .0 > c.after.1 .0 {
            found.push(whole_file(
                "`clients`: `again` is a share, `after` goes from a time to one no shorter",
            ));
        }
    }

    fn check_clumps(&self, names: &BTreeSet<String>, found: &mut Vec<ScenarioError>) {
        for c in &self.clumps {
            check_destination_name(names, &c.destination, found);
            self.check_moment(&c.at, &c.name, c.within.0, found);
            if let Some(clump) = &c.at.clump {
                found.push(ScenarioError::at(clump.referenced, "a clump does not go by another clump"));
            }
        }
    }

    fn check_faults(&self, names: &BTreeSet<String>, found: &mut Vec<ScenarioError>) {
        for t in &self.faults {
            check_destination_name(names, &t.destination, found);
            self.check_moment(&t.at, &t.destination, t.lasts.0, found);
            let fits = match (t.kind.value, t.size) {
                (FaultKind::Slow, Some(factor)) => factor > 1.0 && factor.is_finite(),
                (FaultKind::Fail, Some(share)) => share > 0.0 && share <= 1.0,
                (FaultKind::Lowered, Some(share)) => share > 0.0 && share < 1.0,
                (FaultKind::Slow | FaultKind::Fail | FaultKind::Lowered, None) => false,
                (_, size) => size.is_none(),
            };
            if !fits {
                let reason =
                    "`slow` needs a `size` above 1, `fail` one above 0 and up to 1, `lowered` one between \
                              0 and 1; the others have none";
                found.push(ScenarioError::at(t.kind.referenced, reason));
            }
        }
    }

    fn check_replacements(&self, names: &BTreeSet<String>, found: &mut Vec<ScenarioError>) {
        for r in &self.replacements {
            check_destination_name(names, &r.destination, found);
            self.check_moment(&r.at, &r.destination, r.drains.0, found);
        }
    }

    /// Clumps must fit into the phase's traffic together.
    fn check_phases(&self, found: &mut Vec<ScenarioError>) {
        for p in &self.phases {
            let (load, share) = (p.load.value, p.clumps.as_ref().map_or(0.0, |c| c.value));
            if !(load > 0.0 && load <= MOST_LOAD) {
                found.push(ScenarioError::at(
                    p.load.referenced,
                    format!("`load` is above 0 and at most {MOST_LOAD}"),
                ));
            }
            if let Some(clumps) = p.clumps.as_ref().filter(|_| !(0.0..=1.0).contains(&share)) {
                found.push(ScenarioError::at(clumps.referenced, "`clumps` is a share from 0 to 1"));
            }
            let Some((begin, end)) = self.phase(&p.name.value) else { continue };
            let all = self.rate.value * load * (end - begin) as f64 / 1e6;
            let mut room = all * (1.0 - share);
            for c in &self.clumps {
                let at = self.moment(&c.at);
                if at.is_some_and(|at| (begin..end).contains(&at)) {
                    room -= c.messages.value as f64;
                    if room < 0.0 {
                        let reason = format!(
                            "with this clump, clumps come to more than 100% of the {all:.0} messages of phase `{}`",
                            p.name.value
                        );
                        found.push(ScenarioError::at(c.messages.referenced, reason));
                        break;
                    }
                }
            }
        }
    }

    fn check_moment(&self, of: &Moment, by: &SpannedName, lasts: Micros, found: &mut Vec<ScenarioError>) {
        if let (Some(phase), Some(_)) = (&of.phase, &of.clump) {
            found.push(ScenarioError::at(
                phase.referenced,
                "a moment goes by a phase or by a clump, not by both",
            ));
        }
        match self.moment(of) {
            None => {
                let location = of.phase.as_ref().or(of.clump.as_ref()).unwrap_or(by);
                let reason = format!("there is no phase or clump `{}`", location.value);
                found.push(ScenarioError::at(location.referenced, reason));
            }
            Some(at) if at + lasts > self.length() => {
                let s = |t: Micros| t as f64 / 1e6;
                let reason = format!(
                    "it lasts from {} s to {} s, and the day ends at {} s",
                    s(at),
                    s(at + lasts),
                    s(self.length())
                );
                found.push(ScenarioError::at(by.referenced, reason));
            }
            Some(_) => {}
        }
    }

    fn check_fleet(&self, of: &Spanned<Fleet>, found: &mut Vec<ScenarioError>) {
        let (f, place) = (&of.value, of.referenced);
        let share = |x: f64| (0.0..=1.0).contains(&x);
        let price = |x: f64| (0.0..=10.0).contains(&x);
        let rules = [
            (
                !f.counts.is_empty() && (1..=MOST_SEEDS).contains(&f.seeds),
                "`fleet` has a list of `counts`, and `seeds` from 1 to 1000",
            ),
            (share(f.unnumbered) && share(f.doubled), "`unnumbered` and `doubled` are shares from 0 to 1"),
            ((0.0..=5.0).contains(&f.uneven), "`uneven` is an exponent from 0 to 5"),
            (
                f.forwarder_count_factor > 0.0 && f.forwarder_count_factor <= 1000.0,
                "`told` is above 0 and at most 1000",
            ),
            (f.clocks.0 <= MOST_CLOCK, "`clocks` differ by an hour at most"),
            (price(f.prices.refused) && price(f.prices.connections), "`prices` are from 0 to 10"),
        ];
        let unmet = rules.iter().filter(|r| !r.0).map(|r| ScenarioError::at(place, r.1));
        found.extend(unmet);
        for c in f.counts.iter().chain(f.sizes.iter().map(|s| &s.count)) {
            if !(1..=MOST_FLEET).contains(&c.value) {
                found.push(ScenarioError::at(
                    c.referenced,
                    format!("a fleet has 1 to {MOST_FLEET} forwarders"),
                ));
            }
        }
        let location = Spanned { value: String::from("fleet"), referenced: place, defined: of.defined };
        if let Some(dead) = &f.dead {
            self.check_moment(&dead.at, &location, dead.lasts.0, found);
            if !share(dead.share) {
                found.push(ScenarioError::at(place, "the `share` of `dead` is from 0 to 1"));
            }
        }
        f.sizes.iter().for_each(|s| self.check_moment(&s.at, &location, s.within.0, found));
        let times: Vec<_> = f.sizes.iter().filter_map(|s| self.moment(&s.at)).collect();
        if times.windows(2).any(|t| t[0] >= t[1]) {
            found.push(ScenarioError::at(place, "`sizes` come one after the other"));
        }
        if !self.stops.is_empty() {
            found.push(ScenarioError::at(
                place,
                "a day with `fleet` has `dead` and `sizes` in place of `stops`",
            ));
        }
    }

    fn check_stops(&self, found: &mut Vec<ScenarioError>) {
        // A graceful shutdown takes up to 3.7 s; a second stop must find the forwarder running.
        let once = |s: &Stop| match s.signal {
            Signal::Hup => 0,
            Signal::Term => 3_700_000 + s.back.0,
            Signal::Kill | Signal::Stall => s.back.0,
            Signal::Upgrade => 5_000_000,
        };
        let away = |s: &Stop| once(s) + s.every.0 * (s.times as u64).saturating_sub(1);
        for (n, s) in self.stops.iter().enumerate() {
            let place = s.forwarder.referenced;
            if !(1..=self.forwarders.count).contains(&s.forwarder.value) {
                let reason = format!("forwarders are numbered from 1 to {}", self.forwarders.count);
                found.push(ScenarioError::at(place, reason));
            }
            let location =
                Spanned { value: String::from("stop"), referenced: place, defined: s.forwarder.defined };
            self.check_moment(&s.at, &location, 0, found);
            if s.times == 0 || s.times > 1 && s.every.0 < once(s) {
                found
                    .push(ScenarioError::at(place, "`times` is 1 at least, and `every` leaves time for one"));
            }
            let at = self.moment(&s.at);
            let hits = |o: &Stop| {
                let (Some(a), Some(b)) = (at, self.moment(&o.at)) else { return false };
                o.forwarder.value == s.forwarder.value && a < b + away(o) && b < a + away(s)
            };
            if self.stops[..n].iter().any(hits) {
                found.push(ScenarioError::at(place, "this forwarder is not back yet from its stop before"));
            }
        }
    }
}

/// A destination that is named must exist.
fn check_destination_name(names: &BTreeSet<String>, name: &SpannedName, found: &mut Vec<ScenarioError>) {
    if !names.contains(&name.value) {
        let some: Vec<&str> = names.iter().take(6).map(String::as_str).collect();
        let reason = format!("there is no partner `{}`; there are {}", name.value, some.join(", "));
        found.push(ScenarioError::at(name.referenced, reason));
    }
}

fn check_unique_names<'a>(
    what: &str,
    names: impl Iterator<Item = &'a SpannedName>,
    found: &mut Vec<ScenarioError>,
) {
    let mut seen = BTreeSet::new();
    for name in names {
        if !seen.insert(&name.value) {
            found.push(ScenarioError::at(
                name.referenced,
                format!("another {what} is called `{}`", name.value),
            ));
        }
    }
}

fn check_destination(p: &DestinationGroup, found: &mut Vec<ScenarioError>) {
    let at = p.name.referenced;
    let positive = |x: f64| x > 0.0 && x.is_finite();
    let rules = [
        (
            p.count >= 1 && p.endpoints >= 1 && p.connections >= 1,
            "`count`, `endpoints` and `connections` are 1 at least",
        ),
        (positive(p.share), "`share` is above 0"),
        (p.spread >= 0.0 && p.spread <= 5.0, "`spread` is from 0 to 5"),
        (p.headroom >= 0.0 && p.headroom.is_finite(), "`headroom` is 0 or above"),
        (p.spare >= 1.0 && p.spare.is_finite(), "`spare` is 1 at least"),
        ((0.0..=1.0).contains(&p.errors), "`errors` is a share from 0 to 1"),
        (p.cold.0 > 0.0 && p.cold.0 <= 1.0, "`cold` begins with a share above 0"),
    ];
    found.extend(rules.iter().filter(|r| !r.0).map(|r| ScenarioError::at(at, r.1)));
}
