//! `registry`: what the forwarder would hold of a registry, and why each entry is what it is.

use super::{lines, print, Failed, Files};
use crate::durations::{format_duration, parse_duration};
use crate::membership::PollKind;
use crate::membership::{Membership, MembershipChange, RegistrySettings, SourceId, SourceUpdate};
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

struct Asking {
    settings: Arc<RegistrySettings>,
    names: Arc<Names>,
    json: bool,
}

impl Files {
    fn registry(&self) -> Result<Asking, Failed> {
        let of = self.platform()?;
        let refused = |b: Vec<_>| {
            print(&lines(&self.site, &b));
            Failed::Told
        };
        let site = self.site(&of)?.map_err(refused)?;
        let none = || Failed::Refused(format!("`{}` has no section `registry`", self.site.display()));
        let settings = Arc::new(site.registry.ok_or_else(none)?);
        Ok(Asking { settings, names: Arc::new(of.names), json: self.json })
    }
}

fn told(change: &MembershipChange, names: &Names) -> Value {
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

fn line(v: &Value) -> String {
    let text = |key: &str| v[key].as_str().map_or_else(|| v[key].to_string(), str::to_owned);
    let all = ["id", "address", "destination", "kind", "zone", "weight", "lifecycle", "why"];
    all.map(|k| if k == "why" { format!("({})", text(k)) } else { text(k) }).join("  ")
}

impl Asking {
    fn show(&self, v: &Value) {
        print(&if self.json { v.to_string() } else { line(v) });
    }

    fn membership(&self) -> Membership {
        Membership::new(vec![("registry", self.settings.source_policy())])
    }

    fn passed_over(&self, taken: &AppliedAnswer) {
        for UnusableEntry { key, reason } in &taken.unusable_entries {
            match self.json {
                true => {
                    self.show(&json!({"app": key.group, "id": key.id, "passed_over": reason.to_string()}));
                }
                false => print(&format!("{}  passed over: {reason}", key.id)),
            }
        }
    }

    async fn list(&self) -> Result<(), Failed> {
        let clock = Clock::start();
        let mut registry = Registry::new(self.settings.clone(), self.names.clone(), clock.now());
        let mut why = String::new();
        for at in 0..self.settings.addresses.len() {
            match registry.poll(at, PollKind::Complete).await {
                Ok(taken) => {
                    let mut membership = self.membership();
                    // What is not up is never added; it is shown all the same.
                    let apart: Vec<_> = listings(&taken.update).cloned().collect();
                    self.passed_over(&taken);
                    membership.apply(clock.now(), REGISTRY, taken.update);
                    let mut shown: BTreeMap<_, Value> = BTreeMap::new();
                    for l in apart {
                        let (listing, key) = (l.clone(), (l.key, l.address));
                        let why = if l.state == crate::membership::State::Up {
                            "another stands at its address"
                        } else {
                            "not in service, so not added"
                        };
                        let none = MembershipChange {
                            endpoint: Default::default(),
                            listing,
                            lifecycle: Lifecycle::Removed,
                            observed_at: 0,
                            source: REGISTRY,
                            reason: why,
                        };
                        shown.insert(key, told(&none, &self.names));
                    }
                    for c in membership.endpoints() {
                        shown.insert((c.listing.key.clone(), c.listing.address), told(&c, &self.names));
                    }
                    shown.values().for_each(|v| self.show(v));
                    return Ok(());
                }
                Err(e) => why += &format!("\n{}: {e}", registry.address(at)),
            }
        }
        Err(Failed::Refused(format!("no registry answered{why}")))
    }

    async fn watch(&self, lasts: Option<u64>) -> Result<(), Failed> {
        let clock = Clock::start();
        let end = lasts.map(|l| clock.now() + l);
        let mut registry = Registry::new(self.settings.clone(), self.names.clone(), clock.now());
        let mut membership = self.membership();
        let mut draws = fastrand::Rng::new();
        loop {
            let next = registry.poller.next_request();
            let wake = membership.next_tick().map_or(next.at, |t| t.min(next.at));
            if end.is_some_and(|e| wake >= e) {
                return Ok(());
            }
            Timer::at(clock.at(wake)).await;
            let mut changes = membership.tick(clock.now());
            if wake == next.at {
                match registry.poll(next.address_index, next.kind).await {
                    Ok(taken) => {
                        self.passed_over(&taken);
                        changes.extend(membership.apply(clock.now(), REGISTRY, taken.update));
                        let doubt = membership.needs_complete_poll(REGISTRY);
                        registry.poller.succeeded(clock.now(), next.kind, taken.hash_matches, doubt);
                    }
                    Err(e) => {
                        eprintln!("cedarbridge: {}: {e}", registry.address(next.address_index));
                        registry.poller.failed(clock.now(), draws.f64());
                    }
                }
            }
            changes.iter().for_each(|c| self.show(&told(c, &self.names)));
        }
    }

    async fn diff(&self) -> Result<(), Failed> {
        let clock = Clock::start();
        let mut all: BTreeMap<String, BTreeMap<usize, String>> = BTreeMap::new();
        let count = self.settings.addresses.len();
        let mut registry = Registry::new(self.settings.clone(), self.names.clone(), clock.now());
        let mut failed = Vec::new();
        for at in 0..count {
            match registry.poll(at, PollKind::Complete).await {
                Ok(taken) => {
                    for l in listings(&taken.update) {
                        let state = format!("{} at {}, stamp {}", l.state.name(), l.address, l.stamp);
                        let name = format!("{}/{}", l.key.group, l.key.id);
                        all.entry(name).or_default().insert(at, state);
                    }
                }
                Err(e) => failed.push((at, e.to_string())),
            }
        }
        for (at, e) in &failed {
            eprintln!("cedarbridge: {}: {e}", registry.address(*at));
        }
        let asked: Vec<usize> = (0..count).filter(|at| failed.iter().all(|f| f.0 != *at)).collect();
        for (name, states) in &all {
            let first = asked.first().and_then(|at| states.get(at));
            if asked.iter().all(|at| states.get(at) == first) {
                continue;
            }
            for at in &asked {
                let state = states.get(at).map_or("missing", String::as_str);
                let address = registry.address(*at);
                match self.json {
                    true => print(&json!({"entry": name, "address": address, "state": state}).to_string()),
                    false => print(&format!("{name}  {address}  {state}")),
                }
            }
        }
        match failed.is_empty() {
            true => Ok(()),
            false => Err(Failed::Refused(format!("{} of {count} registries did not answer", failed.len()))),
        }
    }
}

fn listings(news: &SourceUpdate) -> impl Iterator<Item = &crate::membership::Listing> {
    match news {
        SourceUpdate::Complete { listings, .. } | SourceUpdate::Patch { listings, .. } => listings.iter(),
    }
}

impl RegistryArgs {
    pub fn run(self) -> Result<(), Failed> {
        match self.what {
            What::List(files) => {
                let asking = files.registry()?;
                async_io::block_on(asking.list())
            }
            What::Diff(files) => {
                let asking = files.registry()?;
                async_io::block_on(asking.diff())
            }
            What::Watch { files, lasts } => {
                let read =
                    |t: String| parse_duration(&t).map_err(|error| Failed::Call(format!("--for: {error}")));
                let lasts = lasts.map(read).transpose()?;
                let asking = files.registry()?;
                let each = format_duration(asking.settings.poll_interval);
                eprintln!("cedarbridge: asking every {each}");
                async_io::block_on(asking.watch(lasts))
            }
        }
    }
}
