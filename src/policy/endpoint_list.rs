//! Applies updates of the endpoint list and polls for it.

use super::admission::AdmissionControl;
use super::constants::*;
use super::records::{get_or_create_destination, Destination, Endpoint};
use super::DeliveryPolicy;
use crate::api::*;

impl DeliveryPolicy {
    pub(super) fn on_endpoint_list(&mut self, now: Micros, update: &EndpointListUpdate) {
        let (entries, is_complete) = match update {
            EndpointListUpdate::WatchFailed => {
                self.subscribed = false;
                self.next_poll_at = now + self.poll_delay(POLL_RETRY_DIVISOR);
                return;
            }
            EndpointListUpdate::Patch(entries) => (entries, false),
            EndpointListUpdate::Complete(entries) | EndpointListUpdate::Cached(entries) => (entries, true),
        };
        self.subscribed |= !matches!(update, EndpointListUpdate::Cached(_));
        if is_complete {
            // Endpoints that are still in the list are marked as listed again below.
            self.endpoints.values_mut().for_each(|e| e.entry.lifecycle = Lifecycle::Removed);
        }
        for entry in entries {
            self.apply_entry(now, entry);
        }
        // A patch without removals does not need a scan of all endpoints, of which there may be thousands.
        let has_removals = entries.iter().any(|e| e.lifecycle == Lifecycle::Removed);
        if is_complete || has_removals || self.retains_removed {
            self.purge_removed(now);
        }
    }

    fn apply_entry(&mut self, now: Micros, entry: &EndpointEntry) {
        let kind = self.settings.kinds.get(entry.kind.0);
        let destination = get_or_create_destination(&mut self.destinations, now, entry.destination);
        destination.per_endpoint_breaker = kind.is_some_and(|k| k.per_endpoint_breaker);
        destination.messages_per_call = kind.map_or(1, |k| k.messages_per_call);
        destination.kind = Some(entry.kind);
        if !destination.endpoints.contains(&entry.endpoint) {
            destination.endpoints.push(entry.endpoint);
            destination.endpoints.sort();
        }
        let lifecycle_of =
            |id: &EndpointId| self.endpoints.get(id).map_or(Lifecycle::Removed, |e| e.entry.lifecycle);
        let is_only_listed = !destination
            .endpoints
            .iter()
            .any(|other| *other != entry.endpoint && lifecycle_of(other) == Lifecycle::Listed);
        let ends_drain =
            lifecycle_of(&entry.endpoint) == Lifecycle::Draining && entry.lifecycle == Lifecycle::Listed;
        let endpoint = self.endpoints.entry(entry.endpoint).or_insert_with(|| Endpoint {
            entry: entry.clone(),
            admission: Box::new(AdmissionControl::new(now)),
            last_used_at: 0,
            has_idle_connection: false,
        });
        endpoint.entry = entry.clone();
        let weight = if entry.weight > 0.0 && entry.weight.is_finite() { entry.weight } else { 0.0 };
        let weight_divisor =
            if destination.per_endpoint_breaker { 1.0 } else { destination.endpoints.len() as f64 };
        destination.admission.pacer.weight = weight;
        endpoint.admission.pacer.weight = weight / weight_divisor;
        if ends_drain {
            endpoint.admission.return_from_drain(now, &self.settings);
        }
        if ends_drain && is_only_listed {
            destination.admission.return_from_drain(now, &self.settings);
        }
    }

    /// Deletes the records of removed endpoints and of destinations without endpoints. An endpoint with a
    /// pending retry-after is kept (rule 6), and so is a destination that has waiting messages, recent
    /// failures or is in slow start (rule 4).
    fn purge_removed(&mut self, now: Micros) {
        let is_removed = |e: &Endpoint| e.entry.lifecycle == Lifecycle::Removed;
        self.endpoints.retain(|_, e| !is_removed(e) || now < e.admission.pacer.paused_until);
        for destination in self.destinations.values_mut() {
            destination.endpoints.retain(|id| self.endpoints.contains_key(id));
        }
        let is_unused = |d: &Destination| {
            d.endpoints.is_empty()
                && d.waiting.is_empty()
                && !d.admission.circuit.has_recent_failures()
                && !d.admission.slow_start.is_active()
        };
        self.destinations.retain(|_, d| !is_unused(d));
        self.retains_removed = self.endpoints.values().any(is_removed)
            || self.destinations.values().any(|d| d.endpoints.is_empty());
    }

    /// The time to the next poll, as a part of the longest poll interval.
    fn poll_delay(&self, divisor: Micros) -> Micros {
        (self.settings.max_poll_interval / divisor).min(MAX_POLL_RETRY_DELAY)
    }

    /// Requests the endpoint list when a poll is due, unless updates arrive through a subscription.
    pub(super) fn poll_endpoint_list(&mut self, now: Micros) {
        if !self.settings.poll_endpoint_list || self.subscribed {
            return;
        }
        if now >= self.next_poll_at {
            self.next_poll_at = now + self.poll_delay(POLL_TIMEOUT_DIVISOR);
            self.actions.push(Action::Subscribe);
        }
        self.wake_at(self.next_poll_at);
    }
}
