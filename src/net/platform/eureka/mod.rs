//! The registry as a source of the endpoint list: polled again and again, its answers sent to the endpoint list actor. What is
//! believed of them is decided in [`crate::membership`]. Source of the protocol: Eureka's published REST operations.

pub mod cache;
pub mod client;
pub mod counts;
pub mod json;
pub mod model;
pub mod register;
pub mod snapshot;
pub mod xml;

use crate::membership::{PollKind, PollScope, Poller, RegistryAddress, RegistrySettings};
use crate::net::messages::EndpointListMessage;
use crate::net::Context;
use crate::settings_json::Names;
use crate::Micros;
use async_channel::Sender;
use async_io::Timer;
use cache::{AppliedAnswer, RegistryCache};
use client::{percent_encode, RegistryClient, RegistryError};
use counts::increment;
use model::Applications;
use serde_json::json;
use slog::{info, warn};
use std::rc::Rc;
use std::sync::Arc;

/// A registry, polled as the poller says. It is used by the forwarder and by the commands alike.
pub struct Registry {
    settings: Arc<RegistrySettings>,
    names: Arc<Names>,
    clients: Vec<RegistryClient>,
    /// What is to be asked, and when.
    pub poller: Poller,
    cache: RegistryCache,
}

impl Registry {
    /// A registry of which nothing is known.
    pub fn new(settings: Arc<RegistrySettings>, names: Arc<Names>, now: Micros) -> Self {
        let clients = clients(&settings);
        let poller = Poller::new(&settings, now);
        Registry { settings, names, clients, poller, cache: RegistryCache::default() }
    }

    /// Polls one address, by its index among the addresses.
    ///
    /// # Errors
    ///
    /// If there is no answer that can be read.
    pub async fn poll(&mut self, address: usize, question: PollKind) -> Result<AppliedAnswer, RegistryError> {
        let answer = match question {
            PollKind::Delta => self.clients[address].applications("/apps/delta").await?,
            PollKind::Complete => self.poll_complete(address).await?,
        };
        let complete = question == PollKind::Complete;
        Ok(self.cache.apply(answer, complete, &self.settings.metadata, &self.names))
    }

    async fn poll_complete(&mut self, address: usize) -> Result<Applications, RegistryError> {
        let client = &mut self.clients[address];
        let apps = match &self.settings.scope {
            PollScope::All => return client.applications("/apps").await,
            PollScope::VirtualAddress(vip) => {
                return client.applications(&format!("/vips/{}", percent_encode(vip))).await
            }
            PollScope::Applications(apps) => apps,
        };
        let mut all = Applications::default();
        for app in apps {
            match client.applications(&format!("/apps/{}", percent_encode(app))).await {
                Ok(one) => all.instances.extend(one.instances),
                // An application without instances is no failure.
                Err(RegistryError::Status(404)) => {}
                Err(error) => return Err(error),
            }
        }
        Ok(all)
    }

    /// How many entries could not be used.
    pub fn unusable_entry_count(&self) -> usize {
        self.cache.unusable_entry_count()
    }

    /// Host and port of an address, by its index among the addresses.
    pub fn address(&self, index: usize) -> String {
        let address = &self.settings.addresses[index];
        format!("{}:{}", address.host, address.port)
    }
}

/// A client for each address, in their order.
fn clients(settings: &RegistrySettings) -> Vec<RegistryClient> {
    let client = |address: &RegistryAddress| {
        RegistryClient::new(address.clone(), settings.timeout, settings.max_response_bytes)
    };
    settings.addresses.iter().map(client).collect()
}

/// Polls without end and sends the answers to the endpoint list actor; ended by being dropped.
pub async fn run(
    context: Rc<Context>,
    settings: Arc<RegistrySettings>,
    endpoint_list: Sender<EndpointListMessage>,
) {
    let names = context.config().names.clone();
    let clock = context.clock;
    let mut rng = fastrand::Rng::with_seed(context.config().seed);
    let mut registry = Registry::new(settings, names, clock.now());
    loop {
        let next = registry.poller.next_request();
        Timer::at(clock.instant_at(next.at)).await;
        match registry.poll(next.address_index, next.kind).await {
            Ok(answer) => {
                record_answer(&context, &registry, &answer, next.address_index, next.kind);
                let hash_matches = answer.hash_matches;
                let Some(in_doubt) = send_update(&context, &endpoint_list, answer).await else { return };
                registry.poller.succeeded(clock.now(), next.kind, hash_matches, in_doubt);
            }
            Err(error) => {
                increment(&context.registry_counts.failures);
                let address = registry.address(next.address_index);
                warn!(context.log, "the registry did not answer"; "address" => address, "error" => %error);
                registry.poller.failed(clock.now(), rng.f64());
            }
        }
    }
}

/// Counts and logs an answer.
fn record_answer(
    context: &Context,
    registry: &Registry,
    answer: &AppliedAnswer,
    address: usize,
    question: PollKind,
) {
    let counts = &context.registry_counts;
    increment(&counts.polls);
    increment(if question == PollKind::Delta { &counts.deltas } else { &counts.complete });
    counts.address.set(address);
    for entry in &answer.unusable_entries {
        info!(context.log, "entry ignored"; "app" => &entry.key.group, "id" => &entry.key.id,
            "reason" => %entry.reason);
    }
    counts.unusable_entries.set(registry.unusable_entry_count());
    if !answer.hash_matches {
        increment(&counts.mismatches);
        info!(context.log, "the registry's hash does not match"; "address" => registry.address(address));
    }
}

/// Sends an answer to the endpoint list actor; whether something of it is in doubt, or `None` without the actor.
async fn send_update(
    context: &Context,
    endpoint_list: &Sender<EndpointListMessage>,
    answer: AppliedAnswer,
) -> Option<bool> {
    let (doubted, in_doubt) = async_channel::bounded(1);
    let message = EndpointListMessage::RegistryUpdate {
        update: answer.update,
        received_at: context.clock.now(),
        doubted,
    };
    endpoint_list.send(message).await.ok()?;
    Some(in_doubt.recv().await.unwrap_or(false))
}
