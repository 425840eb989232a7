//! The registry as a source of the list: asked again and again, its answers handed to the membership's actor. What is believed of
//! them is decided in [`crate::membership`]. Source of the protocol: Eureka's published REST operations.

pub mod client;
pub mod counts;
pub mod held;
pub mod json;
pub mod model;
pub mod register;
pub mod snapshot;
pub mod xml;

use crate::membership::{Ask, Poller, Question, RegistrySettings};
use crate::net::messages::EndpointListMessage;
use crate::net::Context;
use crate::settings_json::Names;
use crate::Micros;
use async_channel::Sender;
use async_io::Timer;
use client::{percent_encode, RegistryClient, RegistryError};
use counts::increment;
use held::{AppliedAnswer, RegistryCache};
use model::Applications;
use serde_json::json;
use slog::{info, warn};
use std::rc::Rc;
use std::sync::Arc;

/// A registry, asked as the poller says. It is used by the forwarder and by the commands alike.
pub struct Registry {
    settings: Arc<RegistrySettings>,
    names: Arc<Names>,
    clients: Vec<RegistryClient>,
    /// What is to be asked, and when.
    pub poller: Poller,
    held: RegistryCache,
}

impl Registry {
    /// A registry of which nothing is known.
    pub fn new(settings: Arc<RegistrySettings>, names: Arc<Names>, now: Micros) -> Self {
        let client = |a: &crate::membership::Address| {
            RegistryClient::new(a.clone(), settings.timeout, settings.largest)
        };
        let clients = settings.addresses.iter().map(client).collect();
        let poller = Poller::new(&settings, now);
        Registry { settings, names, clients, poller, held: RegistryCache::default() }
    }

    /// Asks one address.
    pub async fn poll(&mut self, address: usize, question: Question) -> Result<AppliedAnswer, RegistryError> {
        let client = &mut self.clients[address];
        let answer = match (question, &self.settings.ask) {
            (Question::Delta, _) => client.applications("/apps/delta").await?,
            (Question::Whole, Ask::All) => client.applications("/apps").await?,
            (Question::Whole, Ask::Vip(vip)) => {
                client.applications(&format!("/vips/{}", percent_encode(vip))).await?
            }
            (Question::Whole, Ask::Apps(apps)) => {
                let mut all = Applications::default();
                for app in apps {
                    match client.applications(&format!("/apps/{}", percent_encode(app))).await {
                        Ok(one) => all.instances.extend(one.instances),
                        // An application without instances is no failure.
                        Err(RegistryError::Status(404)) => {}
                        Err(e) => return Err(e),
                    }
                }
                all
            }
        };
        Ok(self.held.apply(answer, question == Question::Whole, &self.settings.metadata, &self.names))
    }

    /// How many entries could not be used.
    pub fn unusable_entry_count(&self) -> usize {
        self.held.unusable_entry_count()
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
        let next = registry.poller.next_question();
        Timer::at(clock.at(next.at)).await;
        match registry.poll(next.address, next.question).await {
            Ok(taken) => {
                increment(&counts.polls);
                increment(if next.question == Question::Delta { &counts.deltas } else { &counts.complete });
                counts.address.set(next.address);
                for (key, reason) in &taken.unusable_entries {
                    info!(context.log, "entry passed over"; "app" => &key.group, "id" => &key.id, "reason" => reason);
                }
                counts.unusable_entries.set(registry.unusable_entry_count());
                if !taken.hash_matches {
                    increment(&counts.mismatches);
                    info!(context.log, "the registry's hash does not fit"; "address" => registry.address(next.address));
                }
                let (told, doubt) = async_channel::bounded(1);
                let news = EndpointListMessage::RegistryUpdate {
                    update: taken.update,
                    received_at: clock.now(),
                    doubted: told,
                };
                if members.send(news).await.is_err() {
                    return;
                }
                let in_doubt = doubt.recv().await.unwrap_or(false);
                registry.poller.answered(clock.now(), next.question, taken.hash_matches, in_doubt);
            }
            Err(e) => {
                increment(&counts.failures);
                let address = registry.address(next.address);
                warn!(context.log, "the registry did not answer"; "address" => address, "error" => %e);
                registry.poller.failed(clock.now(), draws.f64());
            }
        }
    }
}
