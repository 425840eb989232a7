//! What binds the first byte of every call: which endpoints are in service, and which have asked to wait.
//!
//! The endpoint list actor and the responses write to it at once, ahead of the policy's next step.

use crate::invariants::EndpointFacts;
use crate::net::runtime::clock::Clock;
use crate::{DestinationId, EndpointId, Lifecycle, Micros, ZoneId};
use hdrhistogram::Histogram;
use serde_json::{json, Value};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// An endpoint is kept for so long after its drain began: no call to it is in flight any more after that.
const KEPT_AFTER_DRAIN: Micros = 120_000_000;
/// The longest drain that is recorded as it was, in microseconds; a longer one counts as this.
const MAX_DRAIN_RECORDED: u64 = 60_000_000;

/// What is known of an endpoint now.
#[derive(Clone, Debug)]
pub struct EndpointState {
    /// Where it listens.
    pub address: SocketAddr,
    /// The destination that it serves.
    pub destination: DestinationId,
    /// Its zone.
    pub zone: ZoneId,
    /// A wait that it asks for binds this endpoint alone, not all of its destination.
    pub retry_after_per_endpoint: bool,
    /// When this process received that it drains or was removed.
    pub draining_since: Option<Micros>,
    /// When the policy took that in.
    pub drain_observed_at: Option<Micros>,
    /// When the last call's first byte was written.
    pub last_first_byte_at: Option<Micros>,
}

impl EndpointState {
    /// A listed endpoint without calls.
    pub fn new(
        address: SocketAddr,
        destination: DestinationId,
        zone: ZoneId,
        retry_after_per_endpoint: bool,
    ) -> Self {
        EndpointState {
            address,
            destination,
            zone,
            retry_after_per_endpoint,
            draining_since: None,
            drain_observed_at: None,
            last_first_byte_at: None,
        }
    }
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum RetryAfterScope {
    Destination(DestinationId),
    Endpoint(EndpointId),
}

/// What is known of each endpoint, and the waits that endpoints have asked for.
pub struct EndpointTable {
    clock: Clock,
    drain_grace: Cell<Micros>,
    endpoints: RefCell<BTreeMap<EndpointId, EndpointState>>,
    retry_after_until: RefCell<BTreeMap<RetryAfterScope, Micros>>,
    /// From receiving that an endpoint drains to the last first byte there, in microseconds.
    drains: RefCell<Histogram<u32>>,
}

impl EndpointTable {
    /// An empty table. Work may still go to an endpoint for most of the grace after its drain began.
    pub fn new(clock: Clock, drain_grace: Micros) -> Self {
        let drains = Histogram::new_with_bounds(1, MAX_DRAIN_RECORDED, 3).expect("bounds that are in order");
        EndpointTable {
            clock,
            drain_grace: Cell::new(drain_grace),
            endpoints: RefCell::default(),
            retry_after_until: RefCell::default(),
            drains: RefCell::new(drains),
        }
    }

    /// Sets the grace.
    pub fn set_grace(&self, drain_grace: Micros) {
        self.drain_grace.set(drain_grace);
    }

    /// For how long work may go to an endpoint after its drain began.
    pub fn grace(&self) -> Micros {
        self.drain_grace.get()
    }

    /// Records an endpoint as received at a time; the time at which its drain was first received stays.
    pub fn update(
        &self,
        endpoint: EndpointId,
        lifecycle: Lifecycle,
        received_at: Micros,
        mut state: EndpointState,
    ) {
        let mut endpoints = self.endpoints.borrow_mut();
        let before = endpoints.get(&endpoint);
        if lifecycle != Lifecycle::Listed {
            state.draining_since = before.and_then(|before| before.draining_since).or(Some(received_at));
            state.drain_observed_at = before.and_then(|before| before.drain_observed_at);
        }
        state.last_first_byte_at = before.and_then(|before| before.last_first_byte_at);
        endpoints.insert(endpoint, state);
    }

    /// Records that the policy has taken in an endpoint's drain.
    pub fn drain_observed(&self, endpoint: EndpointId, now: Micros) {
        if let Some(state) = self.endpoints.borrow_mut().get_mut(&endpoint) {
            state.drain_observed_at.get_or_insert(now);
        }
    }

    /// Records that a call's first byte is about to be written.
    pub fn record_first_byte(&self, endpoint: EndpointId) {
        if let Some(state) = self.endpoints.borrow_mut().get_mut(&endpoint) {
            state.last_first_byte_at = Some(self.clock.now());
        }
    }

    /// Records how long after the beginning of an endpoint's drain the last call went there, once no more can.
    pub fn record_drain(&self, state: &EndpointState) {
        let last_and_since = state.last_first_byte_at.zip(state.draining_since);
        let last_send_after = last_and_since.map_or(0, |(last, since)| last.saturating_sub(since));
        self.drains.borrow_mut().saturating_record(last_send_after.max(1));
    }

    /// The report of the recorded drains: how many, median, p99 and largest.
    pub fn drain_report(&self) -> Value {
        let drains = self.drains.borrow();
        let at = |quantile| drains.value_at_quantile(quantile) as f64 / 1e3;
        let largest_ms = drains.max() as f64 / 1e3;
        json!({"count": drains.len(), "p50_ms": at(0.5), "p99_ms": at(0.99), "largest_ms": largest_ms})
    }

    /// All endpoints but those named drain from now on, unless they did before.
    pub fn keep_only(&self, named: &[EndpointId]) {
        for (endpoint, state) in self.endpoints.borrow_mut().iter_mut() {
            if !named.contains(endpoint) {
                state.draining_since.get_or_insert_with(|| self.clock.now());
            }
        }
    }

    /// Removes the endpoints whose drain began long ago and the waits that are over, lest the table grow with each endpoint that
    /// is replaced; whether an endpoint was removed.
    pub fn prune(&self, now: Micros) -> bool {
        self.retry_after_until.borrow_mut().retain(|_, until| now < *until);
        let mut endpoints = self.endpoints.borrow_mut();
        let before = endpoints.len();
        endpoints.retain(|_, state| state.draining_since.is_none_or(|since| now < since + KEPT_AFTER_DRAIN));
        endpoints.len() < before
    }

    /// What is known of an endpoint.
    pub fn get(&self, endpoint: EndpointId) -> Option<EndpointState> {
        self.endpoints.borrow().get(&endpoint).cloned()
    }

    /// Whether an endpoint of this destination is in the table.
    pub fn has_destination(&self, destination: DestinationId) -> bool {
        self.endpoints.borrow().values().any(|state| state.destination == destination)
    }

    /// Records that an endpoint has asked to wait.
    pub fn retry_after(&self, endpoint: EndpointId, retry_after: Micros) {
        let Some(scope) = self.retry_after_scope(endpoint) else { return };
        let mut all = self.retry_after_until.borrow_mut();
        let until = all.entry(scope).or_default();
        *until = (*until).max(self.clock.now().saturating_add(retry_after));
    }

    /// What binds a call to an endpoint now; `None` if the list does not name it. Time passes between the policy's step and the
    /// first byte, above all while a connection is made; what was received meanwhile binds that byte.
    pub fn facts(&self, endpoint: EndpointId) -> Option<EndpointFacts> {
        let draining_since = self.get(endpoint)?.draining_since;
        let scope = self.retry_after_scope(endpoint);
        let retry_after = scope.and_then(|scope| self.retry_after_until.borrow().get(&scope).copied());
        Some(EndpointFacts { draining_since, retry_after })
    }

    /// What a wait that an endpoint asks for binds.
    fn retry_after_scope(&self, endpoint: EndpointId) -> Option<RetryAfterScope> {
        let state = self.get(endpoint)?;
        Some(match state.retry_after_per_endpoint {
            true => RetryAfterScope::Endpoint(endpoint),
            false => RetryAfterScope::Destination(state.destination),
        })
    }
}
