//! Publishes changes of the list to the endpoint table, the log and the delivery actor, in this order.

use super::drain_log::SETTLED_AFTER_US;
use super::EndpointListActor;
use crate::membership::MembershipChange;
use crate::net::endpoint::table::EndpointState;
use crate::net::messages::DeliveryMessage;
use crate::{EndpointEntry, EndpointId, EndpointListUpdate, Lifecycle, Micros};
use slog::info;
use std::collections::HashSet;

/// The most changes of one update that are logged one by one; a larger update is logged as one line.
const MAX_LOGGED_CHANGES: usize = 100;
/// The shortest time between two prunings of the endpoint table, so that a large list is not scanned at each change.
const PRUNE_INTERVAL_US: Micros = SETTLED_AFTER_US;

/// How the delivery actor applies an update.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum UpdateKind {
    /// The update contains the endpoints that have changed.
    Patch,
    /// The update contains all endpoints; any other endpoint is removed.
    Complete,
    /// The update contains all endpoints of a list that may be old.
    Cached,
}

impl EndpointListActor {
    /// Writes changes to the endpoint table, then sends them to the delivery actor.
    pub(super) async fn publish(&mut self, kind: UpdateKind, changes: Vec<MembershipChange>) {
        self.drain_log.log_changed_again(&changes);
        let entries = match kind {
            UpdateKind::Patch => changes.iter().map(|change| self.write_to_table(change)).collect(),
            UpdateKind::Complete | UpdateKind::Cached => self.replace_table(&changes),
        };
        self.prune_table();
        if self.registry.is_some() {
            self.log_changes(&changes);
        }
        self.context.endpoint_list.set_known();
        let update = match kind {
            UpdateKind::Patch => EndpointListUpdate::Patch(entries),
            UpdateKind::Complete => EndpointListUpdate::Complete(entries),
            UpdateKind::Cached => EndpointListUpdate::Cached(entries),
        };
        // The delivery actor ends only with the process.
        let _ = self.context.delivery.send(DeliveryMessage::EndpointList(update)).await;
    }

    /// Writes a change to the endpoint table; returns the entry for the delivery actor.
    pub(super) fn write_to_table(&self, change: &MembershipChange) -> EndpointEntry {
        let listing = &change.listing;
        let per_endpoint_breaker = self.context.config().kinds[listing.kind.0].per_endpoint_breaker;
        let state =
            EndpointState::new(listing.address, listing.destination, listing.zone, per_endpoint_breaker);
        self.context.endpoint_table.update(change.endpoint, change.lifecycle, change.observed_at, state);
        EndpointEntry {
            endpoint: change.endpoint,
            destination: listing.destination,
            zone: listing.zone,
            kind: listing.kind,
            lifecycle: change.lifecycle,
            weight: listing.weight,
        }
    }

    /// Replaces the contents of the endpoint table by the changes and the unchanged rest of the list. Returns the entries of
    /// all endpoints for the delivery actor.
    fn replace_table(&self, changes: &[MembershipChange]) -> Vec<EndpointEntry> {
        // Removed endpoints are left out, as a complete update removes every endpoint that it does not contain.
        let not_removed = changes.iter().filter(|change| change.lifecycle != Lifecycle::Removed);
        let mut entries: Vec<EndpointEntry> = not_removed.map(|change| self.write_to_table(change)).collect();
        let changed: HashSet<EndpointId> = changes.iter().map(|change| change.endpoint).collect();
        let unchanged = self.membership.endpoints().filter(|change| !changed.contains(&change.endpoint));
        entries.extend(unchanged.map(|change| self.write_to_table(&change)));
        let endpoints: Vec<EndpointId> = entries.iter().map(|entry| entry.endpoint).collect();
        self.context.endpoint_table.drain_unlisted(&endpoints);
        entries
    }

    /// Removes the endpoints from the table that drained long ago, and forgets their numbers.
    fn prune_table(&mut self) {
        let now = self.context.clock.now();
        if now < self.pruned_at + PRUNE_INTERVAL_US {
            return;
        }
        self.pruned_at = now;
        let table = &self.context.endpoint_table;
        // With thousands of endpoints this takes longer than the rest of an update.
        if table.prune(now) {
            self.membership.retain_ids(|id| table.get(id).is_some());
        }
    }

    /// Logs one line for each change, and adds endpoints that drain or are removed to the drain log.
    fn log_changes(&mut self, changes: &[MembershipChange]) {
        // A large update, such as the first complete answer of a registry, is one line and a line for each endpoint that
        // leaves.
        let is_large = changes.len() > MAX_LOGGED_CHANGES;
        if is_large {
            info!(self.context.log, "endpoint list changed"; "entries" => changes.len());
        }
        for change in changes.iter().filter(|change| !is_large || change.lifecycle != Lifecycle::Listed) {
            let source = self.membership.source_name(change.source);
            info!(self.context.log, "endpoint list changed"; "endpoint" => change.endpoint.0,
                "id" => &*change.listing.key.id, "address" => %change.listing.address,
                "lifecycle" => ?change.lifecycle, "why" => change.reason, "source" => source,
                "received_at" => change.observed_at);
            if change.lifecycle != Lifecycle::Listed {
                self.drain_log.push(change);
            }
        }
    }
}
