//! Polls a Eureka registry and sends its answers to the endpoint list actor. [`crate::membership`] decides which parts of
//! them are accepted. The protocol follows Eureka's published REST operations.

pub mod cache;
pub mod client;
pub mod counts;
pub mod json;
pub mod model;
pub mod register;
pub mod snapshot;
pub mod xml;

use crate::membership::{PollKind, PollSchedule, PollScope, RegistryAddress, RegistrySettings};
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

/// The client side of a registry: its addresses, the schedule of polls and the cached answers. The forwarder and the
/// commands both use it.
pub struct Registry {
    settings: Arc<RegistrySettings>,
    names: Arc<Names>,
    clients: Vec<RegistryClient>,
    /// Decides which address is polled next, and when.
    pub schedule: PollSchedule,
    cache: RegistryCache,
}

impl Registry {
    /// Creates the client with an empty cache; its first poll is due at `now`.
    pub fn new(settings: Arc<RegistrySettings>, names: Arc<Names>, now: Micros) -> Self {
        let clients = clients(&settings);
        let schedule = PollSchedule::new(&settings, now);
        Registry { settings, names, clients, schedule, cache: RegistryCache::default() }
    }

    /// Polls the address with the given index and applies the answer to the cache.
    ///
    /// # Errors
    ///
    /// If no valid answer was received.
    pub async fn poll(&mut self, address: usize, kind: PollKind) -> Result<AppliedAnswer, RegistryError> {
        let answer = match kind {
            PollKind::Delta => self.clients[address].applications("/apps/delta").await?,
            PollKind::Complete => self.poll_complete(address).await?,
        };
        let complete = kind == PollKind::Complete;
        Ok(self.cache.apply(answer, complete, &self.settings.metadata, &self.names))
    }

    async fn poll_complete(&mut self, address: usize) -> Result<Applications, RegistryError> {
        let client = &self.clients[address];
        let apps = match &self.settings.scope {
            PollScope::All => return client.applications("/apps").await,
            PollScope::VirtualAddress(vip) => {
                return client.applications(&format!("/vips/{}", percent_encode(vip))).await
            }
            PollScope::Applications(apps) => apps,
        };
        let mut applications = Applications::default();
        for app in apps {
            match client.applications(&format!("/apps/{}", percent_encode(app))).await {
                Ok(polled) => applications.instances.extend(polled.instances),
                // The registry answers with 404 for an application without instances.
                Err(RegistryError::Status(404)) => {}
                Err(error) => return Err(error),
            }
        }
        Ok(applications)
    }

    /// How many entries have been reported as unusable.
    pub fn unusable_entry_count(&self) -> usize {
        self.cache.unusable_entry_count()
    }

    /// The host and port of the address with the given index.
    pub fn address(&self, index: usize) -> String {
        let address = &self.settings.addresses[index];
        format!("{}:{}", address.host, address.port)
    }
}

/// Creates a client for each address, in the order of the settings.
fn clients(settings: &RegistrySettings) -> Vec<RegistryClient> {
    let client = |address: &RegistryAddress| {
        RegistryClient::new(address.clone(), settings.timeout, settings.max_response_bytes)
    };
    settings.addresses.iter().map(client).collect()
}

/// Polls the registry endlessly and sends the answers to the endpoint list actor. Ends when it is dropped.
pub async fn run(
    context: Rc<Context>,
    settings: Arc<RegistrySettings>,
    endpoint_list: Sender<EndpointListMessage>,
) {
    let names = context.config().names.clone();
    let clock = context.clock;
    let mut random = fastrand::Rng::with_seed(context.config().seed);
    let mut registry = Registry::new(settings, names, clock.now());
    loop {
        let next = registry.schedule.next_request();
        Timer::at(clock.instant_at(next.at)).await;
        match registry.poll(next.address_index, next.kind).await {
            Ok(answer) => {
                record_answer(&context, &registry, &answer, next.address_index, next.kind);
                let hash_matches = answer.hash_matches;
                let Some(in_doubt) = send_update(&context, &endpoint_list, answer).await else { return };
                registry.schedule.succeeded(clock.now(), next.kind, hash_matches, in_doubt);
            }
            Err(error) => {
                increment(&context.registry_counts.failures);
                let address = registry.address(next.address_index);
                warn!(context.log, "registry poll failed"; "address" => address, "error" => %error);
                registry.schedule.failed(clock.now(), random.f64());
            }
        }
    }
}

/// Counts an answer, and logs its unusable entries and a mismatch of its hash.
fn record_answer(
    context: &Context,
    registry: &Registry,
    answer: &AppliedAnswer,
    address: usize,
    kind: PollKind,
) {
    let counts = &context.registry_counts;
    increment(&counts.polls);
    increment(if kind == PollKind::Delta { &counts.deltas } else { &counts.complete });
    counts.address.set(address);
    for entry in &answer.unusable_entries {
        info!(context.log, "registry entry ignored"; "app" => &*entry.key.group, "id" => &*entry.key.id,
            "reason" => %entry.reason);
    }
    counts.unusable_entries.set(registry.unusable_entry_count());
    if !answer.hash_matches {
        increment(&counts.mismatches);
        info!(context.log, "registry hash mismatch"; "address" => registry.address(address));
    }
}

/// Sends an answer to the endpoint list actor. Returns whether a part of the view is in doubt, or `None` if the actor has
/// ended.
async fn send_update(
    context: &Context,
    endpoint_list: &Sender<EndpointListMessage>,
    answer: AppliedAnswer,
) -> Option<bool> {
    let (in_doubt_reply, in_doubt) = async_channel::bounded(1);
    let message = EndpointListMessage::RegistryUpdate {
        update: answer.update,
        received_at: context.clock.now(),
        in_doubt_reply,
    };
    endpoint_list.send(message).await.ok()?;
    Some(in_doubt.recv().await.unwrap_or(false))
}
