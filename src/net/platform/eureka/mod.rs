//! The registry as a source of the list: asked again and again, its answers handed to the membership's actor. What is believed of
//! them is decided in [`crate::membership`]. Source of the protocol: Eureka's published REST operations.

pub mod client;
pub mod held;
pub mod json;
pub mod model;
pub mod register;
pub mod snapshot;
pub mod xml;

use crate::membership::{PollKind, PollScope, Poller, RegistrySettings};
use crate::net::messages::EndpointListMessage;
use crate::net::Context;
use crate::settings_json::Names;
use crate::Micros;
use async_channel::Sender;
use async_io::Timer;
use client::{path_part, Client, Failed};
use held::{Held, Taken};
use model::Applications;
use serde_json::{json, Value};
use slog::{info, warn};
use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;

/// What the questions have come to.
#[derive(Debug, Default)]
pub struct Counts {
    /// Questions that were answered.
    pub polls: Cell<u64>,
    /// Of these, for changes.
    pub deltas: Cell<u64>,
    /// Of these, for everything.
    pub wholes: Cell<u64>,
    /// Answers that did not fit what was held.
    pub mismatches: Cell<u64>,
    /// Questions that failed.
    pub failures: Cell<u64>,
    /// Entries that could not be used.
    pub passed_over: Cell<usize>,
    /// Which address answered last.
    pub address: Cell<usize>,
}

impl Counts {
    /// All of them, with what the membership's actor shows of the view.
    pub fn report(&self, view: &Value, now: Micros) -> Value {
        let mut report = json!({
            "polls": self.polls.get(), "deltas": self.deltas.get(), "wholes": self.wholes.get(),
            "hash_mismatches": self.mismatches.get(), "failures": self.failures.get(),
            "passed_over": self.passed_over.get(), "address": self.address.get(),
        });
        let all = report.as_object_mut().expect("an object");
        all.extend(view.as_object().into_iter().flatten().map(|(k, v)| (k.clone(), v.clone())));
        let heard = all.remove("heard").and_then(|h| h.as_u64());
        all.insert("age_ms".into(), heard.map(|h| now.saturating_sub(h) / 1000).into());
        report
    }
}

/// One more.
fn more(cell: &Cell<u64>) {
    cell.set(cell.get() + 1);
}

/// A registry, asked as the poller says. It is used by the forwarder and by the commands alike.
pub struct Registry {
    settings: Arc<RegistrySettings>,
    names: Arc<Names>,
    clients: Vec<Client>,
    /// What is to be asked, and when.
    pub poller: Poller,
    held: Held,
}

impl Registry {
    /// A registry of which nothing is known.
    pub fn new(settings: Arc<RegistrySettings>, names: Arc<Names>, now: Micros) -> Self {
        let client = |a: &crate::membership::RegistryAddress| {
            Client::new(a.clone(), settings.timeout, settings.max_response_bytes)
        };
        let clients = settings.addresses.iter().map(client).collect();
        let poller = Poller::new(&settings, now);
        Registry { settings, names, clients, poller, held: Held::default() }
    }

    /// Asks one address.
    pub async fn ask(&mut self, address: usize, question: PollKind) -> Result<Taken, Failed> {
        let client = &mut self.clients[address];
        let answer = match (question, &self.settings.scope) {
            (PollKind::Delta, _) => client.applications("/apps/delta").await?,
            (PollKind::Complete, PollScope::All) => client.applications("/apps").await?,
            (PollKind::Complete, PollScope::VirtualAddress(vip)) => {
                client.applications(&format!("/vips/{}", path_part(vip))).await?
            }
            (PollKind::Complete, PollScope::Applications(apps)) => {
                let mut all = Applications::default();
                for app in apps {
                    match client.applications(&format!("/apps/{}", path_part(app))).await {
                        Ok(one) => all.instances.extend(one.instances),
                        // An application without instances is no failure.
                        Err(Failed::Status(404)) => {}
                        Err(e) => return Err(e),
                    }
                }
                all
            }
        };
        Ok(self.held.take(answer, question == PollKind::Complete, &self.settings.metadata, &self.names))
    }

    /// How many entries could not be used.
    pub fn passed_over(&self) -> usize {
        self.held.passed_over()
    }

    /// What an address is called.
    pub fn address(&self, at: usize) -> String {
        let a = &self.settings.addresses[at];
        format!("{}:{}", a.host, a.port)
    }
}

/// Asks without end and hands on what comes; ended by being dropped.
pub async fn run(
    context: Rc<Context>,
    settings: Arc<RegistrySettings>,
    members: Sender<EndpointListMessage>,
) {
    let names = context.config().names.clone();
    let clock = context.clock;
    let counts = &context.registry;
    let mut draws = fastrand::Rng::with_seed(context.config().seed);
    let mut registry = Registry::new(settings, names, clock.now());
    loop {
        let next = registry.poller.next_request();
        Timer::at(clock.at(next.at)).await;
        match registry.ask(next.address_index, next.kind).await {
            Ok(taken) => {
                more(&counts.polls);
                more(if next.kind == PollKind::Delta { &counts.deltas } else { &counts.wholes });
                counts.address.set(next.address_index);
                for (key, reason) in &taken.passed_over {
                    info!(context.log, "entry passed over"; "app" => &key.group, "id" => &key.id, "reason" => reason);
                }
                counts.passed_over.set(registry.passed_over());
                if !taken.fits {
                    more(&counts.mismatches);
                    info!(context.log, "the registry's hash does not fit"; "address" => registry.address(next.address_index));
                }
                let (told, doubt) = async_channel::bounded(1);
                let news = EndpointListMessage::RegistryUpdate {
                    update: taken.news,
                    received_at: clock.now(),
                    doubted: told,
                };
                if members.send(news).await.is_err() {
                    return;
                }
                let in_doubt = doubt.recv().await.unwrap_or(false);
                registry.poller.succeeded(clock.now(), next.kind, taken.fits, in_doubt);
            }
            Err(e) => {
                more(&counts.failures);
                let address = registry.address(next.address_index);
                warn!(context.log, "the registry did not answer"; "address" => address, "error" => %e);
                registry.poller.failed(clock.now(), draws.f64());
            }
        }
    }
}
