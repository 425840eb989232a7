//! The `registry` commands: show which entries of a registry the forwarder would list as endpoints, and why.

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

/// The only source of the membership here.
const REGISTRY: SourceId = SourceId(0);

#[derive(Args)]
pub struct RegistryArgs {
    #[command(subcommand)]
    command: RegistryCommand,
}

#[derive(Subcommand)]
enum RegistryCommand {
    /// Poll the registry once and list each entry with what the forwarder would make of it
    List(Files),
    /// Poll the registry as the forwarder does and print each change
    Watch {
        #[command(flatten)]
        files: Files,
        /// How long to watch, such as 30s; by default until the program is stopped
        #[arg(long = "for", value_name = "TIME")]
        duration: Option<String>,
    },
    /// Poll every address of the registry and print the entries that differ
    Diff(Files),
}

/// The registry to poll and the form in which the result is printed.
struct RegistryQuery {
    settings: Arc<RegistrySettings>,
    names: Arc<Names>,
    json: bool,
}

impl Files {
    fn registry(&self) -> Result<RegistryQuery, CommandError> {
        let platform = self.platform()?;
        let site = self.valid_site(&platform)?;
        let no_registry =
            || CommandError::Rejected(format!("`{}` has no section `registry`", self.site.display()));
        let settings = Arc::new(site.registry.ok_or_else(no_registry)?);
        Ok(RegistryQuery { settings, names: Arc::new(platform.names), json: self.json })
    }
}

fn change_json(change: &MembershipChange, names: &Names) -> Value {
    let listing = &change.listing;
    let lifecycle = match change.lifecycle {
        Lifecycle::Listed => "listed",
        Lifecycle::Draining => "draining",
        Lifecycle::Removed => "gone",
    };
    json!({
        "app": listing.key.group, "id": listing.key.id, "address": listing.address.to_string(),
        "destination": listing.destination.0, "kind": names.kinds[listing.kind.0],
        "zone": names.zones[listing.zone.0], "weight": listing.weight, "lifecycle": lifecycle,
        "why": change.reason,
    })
}

/// A change as one line of text, from the JSON of [`change_json`].
fn change_line(change: &Value) -> String {
    let text = |key: &str| change[key].as_str().map_or_else(|| change[key].to_string(), str::to_owned);
    let keys = ["id", "address", "destination", "kind", "zone", "weight", "lifecycle", "why"];
    keys.map(|key| if key == "why" { format!("({})", text(key)) } else { text(key) }).join("  ")
}

impl RegistryQuery {
    /// Prints a change, as JSON or as a line of text.
    fn print_change(&self, change: &Value) {
        print(&if self.json { change.to_string() } else { change_line(change) });
    }

    fn membership(&self) -> Membership {
        Membership::new(vec![("registry", self.settings.source_policy())])
    }

    /// Prints the entries of an answer that cannot be used, each with the reason.
    fn print_unusable(&self, answer: &AppliedAnswer) {
        for UnusableEntry { key, reason } in &answer.unusable_entries {
            match self.json {
                true => {
                    self.print_change(
                        &json!({"app": key.group, "id": key.id, "passed_over": reason.to_string()}),
                    );
                }
                false => print(&format!("{}  passed over: {reason}", key.id)),
            }
        }
    }

    /// Polls the addresses in order and prints the entries of the first that answers.
    async fn list(&self) -> Result<(), CommandError> {
        let clock = Clock::start();
        let mut registry = Registry::new(self.settings.clone(), self.names.clone(), clock.now());
        let mut failures = String::new();
        for address_index in 0..self.settings.addresses.len() {
            match registry.poll(address_index, PollKind::Complete).await {
                Ok(answer) => {
                    self.print_unusable(&answer);
                    self.print_entries(&clock, answer.update);
                    return Ok(());
                }
                Err(error) => failures += &format!("\n{}: {error}", registry.address(address_index)),
            }
        }
        Err(CommandError::Rejected(format!("no registry answered{failures}")))
    }

    /// Prints every entry of an update: those that the merged list has and those that are not added to it.
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
        printed.values().for_each(|entry| self.print_change(entry));
    }

    /// Polls the registry as the forwarder does and prints each change. Ends after `duration` microseconds, or never if
    /// it is `None`.
    async fn watch(&self, duration: Option<u64>) -> Result<(), CommandError> {
        let clock = Clock::start();
        let end = duration.map(|duration| clock.now() + duration);
        let mut registry = Registry::new(self.settings.clone(), self.names.clone(), clock.now());
        let mut membership = self.membership();
        let mut random = fastrand::Rng::new();
        loop {
            let next_poll = registry.schedule.next_request();
            let wake_at = membership.next_tick().map_or(next_poll.at, |tick| tick.min(next_poll.at));
            if end.is_some_and(|end| wake_at >= end) {
                return Ok(());
            }
            Timer::at(clock.instant_at(wake_at)).await;
            let mut changes = membership.tick(clock.now());
            if wake_at == next_poll.at {
                match registry.poll(next_poll.address_index, next_poll.kind).await {
                    Ok(answer) => {
                        self.print_unusable(&answer);
                        changes.extend(membership.apply(clock.now(), REGISTRY, answer.update));
                        let needs_complete_poll = membership.needs_complete_poll(REGISTRY);
                        registry.schedule.succeeded(
                            clock.now(),
                            next_poll.kind,
                            answer.hash_matches,
                            needs_complete_poll,
                        );
                    }
                    Err(error) => {
                        eprintln!("cedarbridge: {}: {error}", registry.address(next_poll.address_index));
                        registry.schedule.failed(clock.now(), random.f64());
                    }
                }
            }
            changes.iter().for_each(|change| self.print_change(&change_json(change, &self.names)));
        }
    }

    /// Polls every address and prints the entries that are not the same at all of them. Fails if an address does not
    /// answer.
    async fn diff(&self) -> Result<(), CommandError> {
        let clock = Clock::start();
        let mut states: StatesByEntry = BTreeMap::new();
        let address_count = self.settings.addresses.len();
        let mut registry = Registry::new(self.settings.clone(), self.names.clone(), clock.now());
        let (mut answered, mut failures) = (Vec::new(), Vec::new());
        for address_index in 0..address_count {
            match registry.poll(address_index, PollKind::Complete).await {
                Ok(answer) => {
                    answered.push(address_index);
                    for listing in listings(&answer.update) {
                        let state = format!(
                            "{} at {}, stamp {}",
                            listing.state.name(),
                            listing.address,
                            listing.stamp
                        );
                        let entry = format!("{}/{}", listing.key.group, listing.key.id);
                        states.entry(entry).or_default().insert(address_index, state);
                    }
                }
                Err(error) => failures.push(format!("{}: {error}", registry.address(address_index))),
            }
        }
        failures.iter().for_each(|failure| eprintln!("cedarbridge: {failure}"));
        self.print_differences(&registry, &answered, &states);
        if failures.is_empty() {
            return Ok(());
        }
        Err(CommandError::Rejected(format!(
            "{} of {address_count} registry addresses did not answer",
            failures.len()
        )))
    }

    /// Prints each entry that differs between the addresses that answered, a line per address.
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

/// For each entry, its state at each address, by the index of the address.
type StatesByEntry = BTreeMap<String, BTreeMap<usize, String>>;

/// The change that is shown for an entry that is not in the merged list: either it is not up, or another entry has its
/// address.
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

fn listings(update: &SourceUpdate) -> impl Iterator<Item = &Listing> {
    match update {
        SourceUpdate::Complete { listings, .. } | SourceUpdate::Patch { listings, .. } => listings.iter(),
    }
}

impl RegistryArgs {
    pub fn run(self) -> Result<(), CommandError> {
        match self.command {
            RegistryCommand::List(files) => {
                let query = files.registry()?;
                async_io::block_on(query.list())
            }
            RegistryCommand::Diff(files) => {
                let query = files.registry()?;
                async_io::block_on(query.diff())
            }
            RegistryCommand::Watch { files, duration } => {
                let parse = |text: String| {
                    parse_duration(&text).map_err(|error| CommandError::Usage(format!("--for: {error}")))
                };
                let duration = duration.map(parse).transpose()?;
                let query = files.registry()?;
                let interval = format_duration(query.settings.poll_interval);
                eprintln!("cedarbridge: polling every {interval}");
                async_io::block_on(query.watch(duration))
            }
        }
    }
}
