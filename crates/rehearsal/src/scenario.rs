//! A rehearsal as it is written in YAML: partners by name, traffic by phases, clumps, troubles, forwarders that are
//! ended and come back, and what is expected. It reads and checks strictly, with the place of what is wrong, and
//! plays nothing; [`crate::draw`] makes a day of it.

use crate::experiment::Span;
use cedarbridge::Micros;
use cedarbridge_endpoint_model::Fault;
use serde::Deserialize;
use serde_saphyr::{Location, Spanned};
use std::collections::BTreeSet;
use std::fmt;
use std::path::{Path, PathBuf};

/// No rehearsal has more partners.
const MOST_PARTNERS: usize = 10_000;
/// No rehearsal has more forwarders.
const MOST_FORWARDERS: usize = 100;
/// No fleet in virtual time has more.
const MOST_FLEET: usize = 2_000;
const MOST_SEEDS: usize = 1_000;
/// Clocks of one fleet are not further apart.
const MOST_CLOCK: Micros = 3_600_000_000;
/// No phase asks for more than so many times full load.
const MOST_LOAD: f64 = 5.0;

/// A text with its place.
pub type SpannedName = Spanned<String>;

/// The whole file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Scenario {
    /// What it is called in the report.
    pub title: String,
    /// The day's seed unless another is given.
    #[serde(default = "one")]
    pub seed: u64,
    /// Messages a second at full load, for all partners together.
    pub rate: Spanned<f64>,
    /// The forwarders.
    #[serde(default)]
    pub forwarders: Forwarders,
    /// What user agents do.
    #[serde(default)]
    pub clients: Clients,
    /// The channels that share the traffic; without any, three as at our platform.
    #[serde(default)]
    pub channels: Vec<Channel>,
    /// The partners.
    #[serde(rename = "partners")]
    pub destinations: Vec<DestinationGroup>,
    /// The day, part by part.
    pub phases: Vec<Phase>,
    /// Messages for one partner that come at once.
    #[serde(default)]
    pub clumps: Vec<Clump>,
    /// What goes wrong.
    #[serde(default, rename = "troubles")]
    pub faults: Vec<FaultSpec>,
    /// Forwarders that are ended.
    #[serde(default)]
    pub stops: Vec<Stop>,
    /// Endpoints that are drained and replaced by others.
    #[serde(default)]
    pub replacements: Vec<Replacement>,
    /// The fleets that `cedarbridge-rehearsal fleet` plays the day with.
    #[serde(default)]
    pub fleet: Option<Spanned<Fleet>>,
    /// What must come of it.
    #[serde(default)]
    pub expect: Expect,
    /// A live run is broken off after this.
    #[serde(default = "limit")]
    pub limit: Span,
}

fn one() -> u64 {
    1
}

fn limit() -> Span {
    Span(540_000_000)
}

/// The forwarders, all alike.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Forwarders {
    /// How many.
    pub count: usize,
    /// Calls out at once for each; by default twice what full load needs.
    pub slots: Option<usize>,
    /// Messages held at once by each; by default nine seconds of full load.
    pub held: Option<usize>,
    /// A site file to run with, from the scenario's folder.
    pub site: Option<PathBuf>,
}

impl Default for Forwarders {
    fn default() -> Self {
        Forwarders { count: 2, slots: None, held: None, site: None }
    }
}

/// What user agents do.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Clients {
    /// The share of them that come again after a refusal.
    pub again: f64,
    /// How long they wait at least before.
    pub after: (Span, Span),
}

impl Default for Clients {
    fn default() -> Self {
        Clients { again: 0.75, after: (Span(530_000), Span(1_500_000)) }
    }
}

/// A channel.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Channel {
    /// Its name.
    pub name: SpannedName,
    /// Its agreed share of full load.
    pub share: f64,
    /// What it sends of its share.
    #[serde(default = "whole")]
    pub uses: f64,
}

fn whole() -> f64 {
    1.0
}

/// The kinds of partner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DestinationKind {
    /// Takes up to ten messages a call.
    CableOperator,
    /// Takes one a call.
    SmallPartner,
}

/// A partner, or several alike.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct DestinationGroup {
    /// Its name; of several, the name with a number from 1 on.
    pub name: SpannedName,
    /// How many.
    #[serde(default = "single")]
    pub count: usize,
    /// Its kind.
    pub kind: DestinationKind,
    /// Its part of the traffic, against the others'.
    pub share: f64,
    /// The mean time of a message's work.
    pub work: Span,
    /// Its spread: standard deviation over mean.
    #[serde(default = "spread")]
    pub spread: f64,
    /// Its limit over what it gets at full load; 0 for a partner without a limit.
    #[serde(default = "headroom")]
    pub headroom: f64,
    /// What it can work off over its limit.
    #[serde(default = "spare")]
    pub spare: f64,
    /// Addresses that take calls.
    #[serde(default = "single")]
    pub endpoints: usize,
    /// Calls that may queue at an endpoint; by default as many as it works off in 0.7 s.
    pub queue: Option<usize>,
    /// Connections that an endpoint holds.
    #[serde(default = "connections")]
    pub connections: usize,
    /// What a refusal tells to wait.
    pub tells_wait: Option<Span>,
    /// Refused calls use up the limit too; by default they do at small partners.
    pub refused_count: Option<bool>,
    /// Share of calls that fail on a good day.
    #[serde(default)]
    pub errors: f64,
    /// Its share of strength as it comes back, and when it has all of it.
    #[serde(default = "cold")]
    pub cold: (f64, Span),
}

fn single() -> usize {
    1
}
fn spread() -> f64 {
    0.5
}
fn headroom() -> f64 {
    1.5
}
fn spare() -> f64 {
    1.4
}
fn connections() -> usize {
    64
}
fn cold() -> (f64, Span) {
    (0.28, Span(8_500_000))
}

/// A part of the day.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Phase {
    /// Its name.
    pub name: SpannedName,
    /// How long it lasts.
    #[serde(rename = "for")]
    pub lasts: Span,
    /// Its traffic, as a share of full load.
    pub load: Spanned<f64>,
    /// Share of it that comes in clumps, beside those that are named.
    #[serde(default)]
    pub clumps: Option<Spanned<f64>>,
}

/// When something happens: from the day's begin, a phase's or a clump's.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Moment {
    /// A phase's name.
    pub phase: Option<SpannedName>,
    /// A clump's name: while it is in flight.
    pub clump: Option<SpannedName>,
    /// So long after its begin.
    pub after: Option<Span>,
}

/// Messages for one partner that come at once.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Clump {
    /// Its name.
    pub name: SpannedName,
    /// For which partner.
    #[serde(rename = "partner")]
    pub destination: SpannedName,
    /// When it begins.
    pub at: Moment,
    /// How many.
    pub messages: Spanned<usize>,
    /// Within which time.
    pub within: Span,
}

/// The kinds of trouble.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Works so many times slower.
    Slow,
    /// Takes calls and answers none.
    Hang,
    /// Refuses connections, and breaks those it has.
    Refuse,
    /// Fails a share of its calls at once.
    Fail,
    /// Turns everything away as full.
    Shut,
    /// Says nothing at all, not even to a new connection.
    Silent,
    /// Does the work and breaks the connection in place of an answer.
    Reset,
    /// Leaves the connections it has silent; new ones are as ever.
    HalfOpen,
    /// Takes a share of its limit.
    Lowered,
}

impl FaultKind {
    /// What the partner model knows it as; the size is a factor or a share, where the kind has one.
    pub fn fault(self, size: f64) -> Fault {
        match self {
            FaultKind::Slow => Fault::Slow(size),
            FaultKind::Hang => Fault::Hang,
            FaultKind::Refuse => Fault::RefuseConnections,
            FaultKind::Fail => Fault::FailCalls(size),
            FaultKind::Shut => Fault::RejectAll,
            FaultKind::Silent => Fault::Silent,
            FaultKind::Reset => Fault::ResetConnections,
            FaultKind::HalfOpen => Fault::HalfOpenConnections,
            FaultKind::Lowered => Fault::ReducedLimit(size),
        }
    }
}

/// One trouble.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct FaultSpec {
    /// Which.
    pub kind: Spanned<FaultKind>,
    /// How bad: a factor for `slow`, a share for `fail` and `lowered`.
    pub size: Option<f64>,
    /// Whose.
    #[serde(rename = "partner")]
    pub destination: SpannedName,
    /// When it begins.
    pub at: Moment,
    /// How long it lasts.
    #[serde(rename = "for")]
    pub lasts: Span,
}

impl FaultSpec {
    /// What the partner model knows it as.
    pub fn fault(&self) -> Fault {
        self.kind.value.fault(self.size.unwrap_or(1.0))
    }
}

/// How a forwarder is ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Signal {
    /// In order: it ends what it has read.
    Term,
    /// At once.
    Kill,
    /// Not at all: it reads its configuration again.
    Hup,
    /// Not at all: it stands still (SIGSTOP) for the time of `back`, and goes on (SIGCONT).
    Stall,
    /// Another process replaces it while it serves, and then it is ended in order.
    Upgrade,
}

/// A forwarder that is ended, or told to read its files again.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Stop {
    /// Which, from 1.
    pub forwarder: Spanned<usize>,
    /// How.
    pub signal: Signal,
    /// When.
    pub at: Moment,
    /// It is started again so long after it has ended.
    #[serde(default = "back")]
    pub back: Span,
    /// So often in all.
    #[serde(default = "once")]
    pub times: usize,
    /// From one time to the next.
    #[serde(default = "every")]
    pub every: Span,
}

fn once() -> usize {
    1
}

fn every() -> Span {
    Span(10_000_000)
}

fn back() -> Span {
    Span(600_000)
}

/// An endpoint that drains, leaves, and another in its place.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Replacement {
    /// Whose: its first endpoint.
    #[serde(rename = "partner")]
    pub destination: SpannedName,
    /// When it begins to drain.
    pub at: Moment,
    /// How long it drains before it is gone; the other is listed as it begins.
    pub drains: Span,
}

/// Fleets of several sizes that share the same day, in virtual time.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Fleet {
    /// How many forwarders there are, in one play after another.
    pub counts: Vec<Spanned<usize>>,
    /// Days for each, from the scenario's seed on.
    #[serde(default = "single")]
    pub seeds: usize,
    /// How unevenly messages come to forwarders: the exponent of the Zipf law, 0 for evenly.
    #[serde(default)]
    pub uneven: f64,
    /// The clocks of any two differ by this at most.
    #[serde(default = "none")]
    pub clocks: Span,
    /// The count that forwarders are told, over the true one.
    #[serde(default = "whole", rename = "told")]
    pub told_count_factor: f64,
    /// The share of them that is told no number.
    #[serde(default)]
    pub unnumbered: f64,
    /// The share of them that is told the number of the one before.
    #[serde(default)]
    pub doubled: f64,
    /// Forwarders that are killed together.
    #[serde(default)]
    pub dead: Option<Dead>,
    /// How many serve, from some time on.
    #[serde(default)]
    pub sizes: Vec<Size>,
    /// What is taken off the served share.
    #[serde(default)]
    pub prices: Prices,
}

/// Forwarders that are killed together and come back together.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Dead {
    /// Their share of the fleet.
    pub share: f64,
    /// When.
    pub at: Moment,
    /// They are started again after this.
    #[serde(rename = "for")]
    pub lasts: Span,
}

/// A fleet that grows or shrinks while it serves.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Size {
    /// When.
    pub at: Moment,
    /// How many serve from then on.
    pub count: Spanned<usize>,
    /// Each forwarder is told so at some time within this.
    pub within: Span,
}

/// Prices, as points of the served share.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Prices {
    /// If as many calls were refused as there are messages.
    pub refused: f64,
    /// If as many connections were made as there are messages.
    pub connections: f64,
}

fn none() -> Span {
    Span(0)
}

/// What must come of it.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Expect {
    /// The share of the worth that is delivered, at least.
    #[serde(rename = "worth")]
    pub delivered_share: Option<Spanned<f64>>,
    /// Messages refused, at most.
    pub refused: Option<u64>,
    /// Messages failed, at most.
    pub failed: Option<u64>,
    /// Rules broken, at most.
    #[serde(rename = "broken")]
    pub violations: usize,
    /// After each trouble that a partner returns from, its first delivery comes within this.
    pub returns: Option<Span>,
}

/// What is wrong with a scenario, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScenarioError {
    /// The line, from 1; 0 for the whole file.
    pub line: u64,
    /// The column, from 1.
    pub column: u64,
    /// What is wrong, and what would be right.
    pub reason: String,
}

impl fmt::Display for ScenarioError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.line, self.column, self.reason)
    }
}

impl ScenarioError {
    fn at(at: Location, reason: impl Into<String>) -> Self {
        ScenarioError { line: at.line(), column: at.column(), reason: reason.into() }
    }
}

impl Scenario {
    /// Reads a file; what is wrong comes in one go.
    pub fn read(path: &Path) -> Result<Self, Vec<ScenarioError>> {
        let text = std::fs::read_to_string(path).map_err(|e| {
            vec![ScenarioError { line: 0, column: 0, reason: format!("cannot be read: {e}") }]
        })?;
        Scenario::parse(&text)
    }

    /// Reads a text.
    pub fn parse(text: &str) -> Result<Self, Vec<ScenarioError>> {
        let options = serde_saphyr::options! { with_snippet: false };
        let read = serde_saphyr::from_str_with_options::<Scenario>(text, options).map_err(|e| {
            let at = e.location().map_or((1, 1), |l| (l.line(), l.column()));
            let reason = e.to_string().lines().next().unwrap_or("not YAML").to_owned();
            vec![ScenarioError { line: at.0, column: at.1, reason }]
        })?;
        let mut found = Vec::new();
        read.check(&mut found);
        found.sort_by_key(|r| (r.line, r.column));
        if found.is_empty() {
            Ok(read)
        } else {
            Err(found)
        }
    }

    /// How many partners there are, groups counted out.
    pub fn destination_count(&self) -> usize {
        self.destinations.iter().map(|p| p.count).sum()
    }

    /// The partners' names, groups counted out, each with its place in the file's list.
    pub fn destination_names(&self) -> Vec<(String, usize)> {
        let mut names = Vec::with_capacity(self.destination_count());
        for (n, p) in self.destinations.iter().enumerate() {
            match p.count {
                1 => names.push((p.name.value.clone(), n)),
                count => names.extend((1..=count).map(|i| (format!("{}-{i}", p.name.value), n))),
            }
        }
        names
    }

    /// When the day ends: its last message comes before.
    pub fn length(&self) -> Micros {
        self.phases.iter().map(|p| p.lasts.0).sum()
    }

    /// When a phase begins and ends, from the day's begin.
    pub fn phase(&self, name: &str) -> Option<(Micros, Micros)> {
        let mut begin = 0;
        for p in &self.phases {
            if p.name.value == name {
                return Some((begin, begin + p.lasts.0));
            }
            begin += p.lasts.0;
        }
        None
    }

    /// A moment, from the day's begin; none if it goes by a name that does not exist.
    pub fn moment(&self, of: &Moment) -> Option<Micros> {
        let begin = match (&of.phase, &of.clump) {
            (Some(phase), _) => self.phase(&phase.value)?.0,
            (None, Some(clump)) => {
                let c = self.clumps.iter().find(|c| c.name.value == clump.value)?;
                // A clump does not go by another.
                self.moment(&Moment { clump: None, ..c.at.clone() })?
            }
            (None, None) => 0,
        };
        Some(begin + of.after.map_or(0, |s| s.0))
    }

    fn check(&self, found: &mut Vec<ScenarioError>) {
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
        if !(0.0..=1.0).contains(&c.again) || c.after.0 .0 > c.after.1 .0 {
            found.push(whole_file(
                "`clients`: `again` is a share, `after` goes from a time to one no shorter",
            ));
        }
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
        let check_destination_name = |word: &SpannedName, found: &mut Vec<ScenarioError>| {
            if !names.contains(&word.value) {
                let some: Vec<&str> = names.iter().take(6).map(String::as_str).collect();
                let reason = format!("there is no partner `{}`; there are {}", word.value, some.join(", "));
                found.push(ScenarioError::at(word.referenced, reason));
            }
        };
        for c in &self.clumps {
            check_destination_name(&c.destination, found);
            self.check_moment(&c.at, &c.name, c.within.0, found);
            if let Some(clump) = &c.at.clump {
                found.push(ScenarioError::at(clump.referenced, "a clump does not go by another clump"));
            }
        }
        for t in &self.faults {
            check_destination_name(&t.destination, found);
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
        for r in &self.replacements {
            check_destination_name(&r.destination, found);
            self.check_moment(&r.at, &r.destination, r.drains.0, found);
        }
        self.check_stops(found);
        if let Some(fleet) = &self.fleet {
            self.check_fleet(fleet, found);
        }
        if let Some(worth) = self.expect.delivered_share.as_ref().filter(|w| !(0.0..=1.0).contains(&w.value))
        {
            found.push(ScenarioError::at(worth.referenced, "the expected `worth` is a share from 0 to 1"));
        }
    }

    /// Clumps must leave room for each other: what they bring is within the phase's traffic.
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
                let word = of.phase.as_ref().or(of.clump.as_ref()).unwrap_or(by);
                let reason = format!("there is no phase or clump `{}`", word.value);
                found.push(ScenarioError::at(word.referenced, reason));
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
                f.told_count_factor > 0.0 && f.told_count_factor <= 1000.0,
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
        let word = Spanned { value: String::from("fleet"), referenced: place, defined: of.defined };
        if let Some(dead) = &f.dead {
            self.check_moment(&dead.at, &word, dead.lasts.0, found);
            if !share(dead.share) {
                found.push(ScenarioError::at(place, "the `share` of `dead` is from 0 to 1"));
            }
        }
        f.sizes.iter().for_each(|s| self.check_moment(&s.at, &word, s.within.0, found));
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
        // In order it takes up to 3.7 s to end; a second stop must find the forwarder running.
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
            let word =
                Spanned { value: String::from("stop"), referenced: place, defined: s.forwarder.defined };
            self.check_moment(&s.at, &word, 0, found);
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
