//! The endpoints that the endpoint list names, and the mailboxes of their actors.

use crate::net::messages::EndpointMessage;
use crate::net::{endpoint, Context};
use crate::{DestinationId, EndpointEntry, EndpointId, EndpointListUpdate, KindId, Lifecycle};
use async_channel::Sender;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Capacity of an endpoint's mailbox beyond one call and one returned connection for each concurrent call.
const SPARE_MAILBOX_CAPACITY: usize = 16;

/// A destination with at least one listed endpoint.
struct Destination {
    kind: KindId,
    /// How many listed endpoints serve it.
    endpoint_count: usize,
}

/// The listed endpoints, with their destinations and the mailboxes of their actors.
#[derive(Default)]
pub(super) struct Endpoints {
    listed: BTreeMap<EndpointId, DestinationId>,
    /// The mailboxes of the endpoints that were called at least once.
    mailboxes: BTreeMap<EndpointId, Sender<EndpointMessage>>,
    destinations: BTreeMap<DestinationId, Destination>,
}

impl Endpoints {
    /// Applies an update of the endpoint list.
    pub fn update(&mut self, update: &EndpointListUpdate) {
        let entries = match update {
            EndpointListUpdate::Patch(entries) => entries,
            EndpointListUpdate::Complete(entries) | EndpointListUpdate::Cached(entries) => {
                self.retain_listed(entries);
                entries
            }
            EndpointListUpdate::WatchFailed => return,
        };
        entries.iter().for_each(|entry| self.update_entry(entry));
    }

    fn retain_listed(&mut self, entries: &[EndpointEntry]) {
        let listed: BTreeSet<EndpointId> = entries.iter().map(|entry| entry.endpoint).collect();
        let removed: Vec<EndpointId> =
            self.listed.keys().copied().filter(|endpoint| !listed.contains(endpoint)).collect();
        removed.into_iter().for_each(|endpoint| self.remove(endpoint));
    }

    fn update_entry(&mut self, entry: &EndpointEntry) {
        let removed = entry.lifecycle == Lifecycle::Removed;
        let previous = self.listed.get(&entry.endpoint);
        if removed || previous.is_some_and(|destination| *destination != entry.destination) {
            self.remove(entry.endpoint);
        }
        if removed {
            return;
        }
        let is_new = self.listed.insert(entry.endpoint, entry.destination).is_none();
        let new_destination = Destination { kind: entry.kind, endpoint_count: 0 };
        let destination = self.destinations.entry(entry.destination).or_insert(new_destination);
        destination.kind = entry.kind;
        destination.endpoint_count += usize::from(is_new);
    }

    /// Removes an endpoint and its actor. The destination is removed with its last endpoint.
    fn remove(&mut self, endpoint: EndpointId) {
        self.mailboxes.remove(&endpoint);
        let Some(id) = self.listed.remove(&endpoint) else { return };
        let Some(destination) = self.destinations.get_mut(&id) else { return };
        destination.endpoint_count -= 1;
        if destination.endpoint_count == 0 {
            self.destinations.remove(&id);
        }
    }

    /// The kind of a destination; `None` if no listed endpoint serves it.
    pub fn kind(&self, destination: DestinationId) -> Option<KindId> {
        self.destinations.get(&destination).map(|destination| destination.kind)
    }

    /// The number of destinations with a listed endpoint.
    pub fn destination_count(&self) -> usize {
        self.destinations.len()
    }

    /// The mailbox of an endpoint's actor; `None` if the endpoint is not listed. The actor is started at the first
    /// call, since most endpoints of a large list are never called by this process.
    pub fn mailbox(
        &mut self,
        context: &Rc<Context>,
        endpoint: EndpointId,
    ) -> Option<&Sender<EndpointMessage>> {
        if !self.listed.contains_key(&endpoint) {
            return None;
        }
        Some(self.mailboxes.entry(endpoint).or_insert_with(|| {
            let capacity = 2 * context.config().max_concurrent_calls + SPARE_MAILBOX_CAPACITY;
            let (sender, receiver) = async_channel::bounded(capacity);
            let actor = endpoint::run(context.clone(), endpoint, receiver, sender.downgrade());
            context.executor.spawn(actor).detach();
            sender
        }))
    }

    /// Asks an endpoint's actor to close its idle connections.
    pub fn close_idle(&self, endpoint: EndpointId) {
        if let Some(mailbox) = self.mailboxes.get(&endpoint) {
            // If the mailbox is full, the endpoint has many calls, so its connections are in use rather than idle.
            let _ = mailbox.try_send(EndpointMessage::CloseIdle);
        }
    }

    /// Asks the actors of all endpoints to close their idle connections.
    pub fn close_all_idle(&self) {
        self.mailboxes.keys().for_each(|endpoint| self.close_idle(*endpoint));
    }
}
