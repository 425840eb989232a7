//! `registry`: what the forwarder would list of a registry, and why each entry is what it is.

use super::{print, CommandError, Files};
use crate::durations::{format_duration, parse_duration};
use crate::membership::{
    EntryState, Listing, Membership, MembershipChange, PollKind, RegistrySettings, SourceId, SourceUpdate,
};
use crate::net::platform::eureka::cache::{AppliedAnswer, UnusableEntry};
use crate::net::platform::eureka::Registry;
use crate::net::runtime::clock::Clock;
use crate::settings_json::Names;
use crate::Lifecycle;
use async_io::Timer;
use clap::{Args, Subcommand};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::sync::Arc;

const REGISTRY: SourceId = SourceId(0);

#[derive(Args)]
pub struct RegistryArgs {
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// Ask once, and list every entry with what the forwarder would make of it
    List(Files),
    /// Ask as the forwarder does, and print each change
    Watch {
        #[command(flatten)]
        files: Files,
        /// How long, such as 30s; without it, until the program is ended
        #[arg(long = "for", value_name = "TIME")]
        lasts: Option<String>,
    },
    /// Ask every address, and print where they differ
    Diff(Files),
}

/// A registry to be polled as the forwarder does, and how the result is printed.
struct RegistryQuery {
    settings: Arc<RegistrySettings>,
    names: Arc<Names>,
    json: bool,
}

impl Files {
    fn registry(&self) -> Result<RegistryQuery, CommandError> {
        let of = self.platform()?;
        let site = self.valid_site(&of)?;
        let none = || CommandError::Rejected(format!("`{}` has no section `registry`", self.site.display()));
        let settings = Arc::new(site.registry.ok_or_else(none)?);
        Ok(RegistryQuery { settings, names: Arc::new(of.names), json: self.json })
    }
}

fn change_json(change: &MembershipChange, names: &Names) -> Value {
    let l = &change.listing;
    let lifecycle = match change.lifecycle {
        Lifecycle::Listed => "listed",
        Lifecycle::Draining => "draining",
        Lifecycle::Removed => "gone",
    };
    json!({
        "app": l.key.group, "id": l.key.id, "address": l.address.to_string(), "destination": l.destination.0,
        "kind": names.kinds[l.kind.0], "zone": names.zones[l.zone.0], "weight": l.weight, "lifecycle": lifecycle,
        "why": change.reason,
    })
}

fn change_line(v: &Value) -> String {
    let text = |key: &str| v[key].as_str().map_or_else(|| v[key].to_string(), str::to_owned);
    let all = ["id", "address", "destination", "kind", "zone", "weight", "lifecycle", "why"];
    all.map(|k| if k == "why" { format!("({})", text(k)) } else { text(k) }).join("  ")
}

impl RegistryQuery {
    fn show(&self, v: &Value) {
        print(&if self.json { v.to_string() } else { change_line(v) });
    }

    fn membership(&self) -> Membership {
        Membership::new(vec![("registry", self.settings.source_policy())])
    }

    fn print_skipped(&self, taken: &AppliedAnswer) {
        for UnusableEntry { key, reason } in &taken.unusable_entries {
            match self.json {
                true => {
                    self.show(&json!({"app": key.group, "id": key.id, "passed_over": reason.to_string()}));
                }
                false => print(&format!("{}  passed over: {reason}", key.id)),
            }
        }
    }

    async fn list(&self) -> Result<(), CommandError> {
        let clock = Clock::start();
        let mut registry = Registry::new(self.settings.clone(), self.names.clone(), clock.now());
        let mut failures = String::new();
        for address_index in 0..self.settings.addresses.len() {
            match registry.poll(address_index, PollKind::Complete).await {
                Ok(taken) => {
                    self.print_skipped(&taken);
                    self.print_entries(&clock, taken.update);
                    return Ok(());
                }
                Err(e) => failures += &format!("\n{}: {e}", registry.address(address_index)),
            }
        }
        Err(CommandError::Rejected(format!("no registry answered{failures}")))
    }

    /// Prints every entry of an update: those of the merged list, and those that are not added to it.
    fn print_entries(&self, clock: &Clock, update: SourceUpdate) {
        let mut printed: BTreeMap<_, Value> = BTreeMap::new();
        for listing in listings(&update) {
            let entry = change_json(&not_added(listing), &self.names);
            printed.insert((listing.key.clone(), listing.address), entry);
        }
        let mut membership = self.membership();
        membership.apply(clock.now(), REGISTRY, update);
        for change in membership.endpoints() {
            let entry = change_json(&change, &self.names);
            printed.insert((change.listing.key.clone(), change.listing.address), entry);
        }
        printed.values().for_each(|entry| self.show(entry));
    }

    async fn watch(&self, lasts: Option<u64>) -> Result<(), CommandError> {
        let clock = Clock::start();
        let end = lasts.map(|l| clock.now() + l);
        let mut registry = Registry::new(self.settings.clone(), self.names.clone(), clock.now());
        let mut membership = self.membership();
        let mut draws = fastrand::Rng::new();
        loop {
            let next = registry.schedule.next_request();
            let wake = membership.next_tick().map_or(next.at, |t| t.min(next.at));
            if end.is_some_and(|e| wake >= e) {
                return Ok(());
            }
            Timer::at(clock.at(wake)).await;
            let mut changes = membership.tick(clock.now());
            if wake == next.at {
                match registry.poll(next.address_index, next.kind).await {
                    Ok(taken) => {
                        self.print_skipped(&taken);
                        changes.extend(membership.apply(clock.now(), REGISTRY, taken.update));
                        let doubt = membership.needs_complete_poll(REGISTRY);
                        registry.schedule.succeeded(clock.now(), next.kind, taken.hash_matches, doubt);
                    }
                    Err(e) => {
                        eprintln!("cedarbridge: {}: {e}", registry.address(next.address_index));
                        registry.schedule.failed(clock.now(), draws.f64());
                    }
                }
            }
            changes.iter().for_each(|c| self.show(&change_json(c, &self.names)));
        }
    }

    async fn diff(&self) -> Result<(), CommandError> {
        let clock = Clock::start();
        let mut states: StatesByEntry = BTreeMap::new();
        let count = self.settings.addresses.len();
        let mut registry = Registry::new(self.settings.clone(), self.names.clone(), clock.now());
        let (mut answered, mut failures) = (Vec::new(), Vec::new());
        for address_index in 0..count {
            match registry.poll(address_index, PollKind::Complete).await {
                Ok(taken) => {
                    answered.push(address_index);
                    for l in listings(&taken.update) {
                        let state = format!("{} at {}, stamp {}", l.state.name(), l.address, l.stamp);
                        let entry = format!("{}/{}", l.key.group, l.key.id);
                        states.entry(entry).or_default().insert(address_index, state);
                    }
                }
                Err(e) => failures.push(format!("{}: {e}", registry.address(address_index))),
            }
        }
        failures.iter().for_each(|failure| eprintln!("cedarbridge: {failure}"));
        self.print_differences(&registry, &answered, &states);
        if failures.is_empty() {
            return Ok(());
        }
        Err(CommandError::Rejected(format!("{} of {count} registries did not answer", failures.len())))
    }

    fn print_differences(&self, registry: &Registry, answered: &[usize], states: &StatesByEntry) {
        for (entry, states) in states {
            let first = answered.first().and_then(|address_index| states.get(address_index));
            if answered.iter().all(|address_index| states.get(address_index) == first) {
                continue;
            }
            for address_index in answered {
                let state = states.get(address_index).map_or("missing", String::as_str);
                let address = registry.address(*address_index);
                match self.json {
                    true => print(&json!({"entry": entry, "address": address, "state": state}).to_string()),
                    false => print(&format!("{entry}  {address}  {state}")),
                }
            }
        }
    }
}

/// For each entry, its state by the index of the address that has it.
type StatesByEntry = BTreeMap<String, BTreeMap<usize, String>>;

/// An entry as it is shown if the merged list does not have it. What is not up is never added; it is shown all the same.
fn not_added(listing: &Listing) -> MembershipChange {
    let reason = match listing.state {
        EntryState::Up => "another stands at its address",
        _ => "not in service, so not added",
    };
    MembershipChange {
        endpoint: Default::default(),
        listing: listing.clone(),
        lifecycle: Lifecycle::Removed,
        observed_at: 0,
        source: REGISTRY,
        reason,
    }
}

fn listings(news: &SourceUpdate) -> impl Iterator<Item = &Listing> {
    match news {
        SourceUpdate::Complete { listings, .. } | SourceUpdate::Patch { listings, .. } => listings.iter(),
    }
}

impl RegistryArgs {
    pub fn run(self) -> Result<(), CommandError> {
        match self.what {
            What::List(files) => {
                let query = files.registry()?;
                async_io::block_on(query.list())
            }
            What::Diff(files) => {
                let query = files.registry()?;
                async_io::block_on(query.diff())
            }
            What::Watch { files, lasts } => {
                let read = |t: String| {
                    parse_duration(&t).map_err(|error| CommandError::Usage(format!("--for: {error}")))
                };
                let lasts = lasts.map(read).transpose()?;
                let query = files.registry()?;
                let each = format_duration(query.settings.poll_interval);
                eprintln!("cedarbridge: asking every {each}");
                async_io::block_on(query.watch(lasts))
            }
        }
    }
}
