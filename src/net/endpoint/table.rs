//! The endpoint table: which endpoints are in service, and which have sent a retry-after. Every call is checked
//! against it before its first byte.
//!
//! The endpoint list actor and responses update the table immediately, without waiting for the policy's next step.

use crate::invariants::EndpointFacts;
use crate::net::runtime::clock::Clock;
use crate::{DestinationId, EndpointId, Lifecycle, Micros, ZoneId};
use hdrhistogram::Histogram;
use serde_json::{json, Value};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// How long an endpoint stays in the table after its drain began, in microseconds. No call to it is in flight any
/// more by then.
const RETENTION_AFTER_DRAIN: Micros = 120_000_000;
/// The largest value in the histogram of [`EndpointTable::last_send_delays`], in microseconds; a larger one is recorded
/// as this.
const MAX_RECORDED_DELAY: u64 = 60_000_000;

/// The current state of an endpoint. Its times are in microseconds of the monotonic clock.
#[derive(Clone, Debug)]
pub struct EndpointState {
    /// The address on which the endpoint listens.
    pub address: SocketAddr,
    /// The destination that the endpoint serves.
    pub destination: DestinationId,
    /// The endpoint's zone.
    pub zone: ZoneId,
    /// Whether a retry-after applies to this endpoint alone; otherwise it applies to all endpoints of the destination.
    pub retry_after_per_endpoint: bool,
    /// When this process received that the endpoint drains or was removed; `None` while it is listed.
    pub draining_since: Option<Micros>,
    /// When the policy learned of the drain.
    pub drain_observed_at: Option<Micros>,
    /// When the first byte of the last call to the endpoint was written.
    pub last_first_byte_at: Option<Micros>,
}

impl EndpointState {
    /// The state of a listed endpoint to which no call was made yet.
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

/// The endpoints to which a retry-after applies.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum RetryAfterScope {
    Destination(DestinationId),
    Endpoint(EndpointId),
}

/// The state of each endpoint, and the retry-afters that endpoints have sent.
pub struct EndpointTable {
    clock: Clock,
    /// How long calls may still be sent to an endpoint after its drain began.
    drain_grace: Cell<Micros>,
    endpoints: RefCell<BTreeMap<EndpointId, EndpointState>>,
    /// The times until which retry-afters forbid calls, in microseconds of the monotonic clock.
    retry_after_until: RefCell<BTreeMap<RetryAfterScope, Micros>>,
    /// For each recorded drain, the time from receiving it to the first byte of the last call that was sent to the
    /// endpoint, in microseconds.
    last_send_delays: RefCell<Histogram<u32>>,
}

impl EndpointTable {
    /// Creates an empty table. `drain_grace` is how long calls may still be sent to an endpoint after its drain
    /// began, in microseconds; [`may_send`](crate::invariants::may_send) uses only most of it.
    pub fn new(clock: Clock, drain_grace: Micros) -> Self {
        let last_send_delays =
            Histogram::new_with_bounds(1, MAX_RECORDED_DELAY, 3).expect("valid histogram bounds");
        EndpointTable {
            clock,
            drain_grace: Cell::new(drain_grace),
            endpoints: RefCell::default(),
            retry_after_until: RefCell::default(),
            last_send_delays: RefCell::new(last_send_delays),
        }
    }

    /// Replaces the drain grace, in microseconds.
    pub fn set_drain_grace(&self, drain_grace: Micros) {
        self.drain_grace.set(drain_grace);
    }

    /// How long calls may still be sent to an endpoint after its drain began, in microseconds.
    pub fn drain_grace(&self) -> Micros {
        self.drain_grace.get()
    }

    /// Replaces the state of an endpoint with one received at `received_at`, in microseconds of the monotonic clock. If
    /// the endpoint was draining before, it keeps the time at which the drain was first received.
    pub fn update(
        &self,
        endpoint: EndpointId,
        lifecycle: Lifecycle,
        received_at: Micros,
        mut state: EndpointState,
    ) {
        let mut endpoints = self.endpoints.borrow_mut();
        let previous = endpoints.get(&endpoint);
        if lifecycle != Lifecycle::Listed {
            state.draining_since =
                previous.and_then(|previous| previous.draining_since).or(Some(received_at));
            state.drain_observed_at = previous.and_then(|previous| previous.drain_observed_at);
        }
        state.last_first_byte_at = previous.and_then(|previous| previous.last_first_byte_at);
        endpoints.insert(endpoint, state);
    }

    /// Records that the policy has learned of an endpoint's drain.
    pub fn record_drain_observed(&self, endpoint: EndpointId, now: Micros) {
        if let Some(state) = self.endpoints.borrow_mut().get_mut(&endpoint) {
            state.drain_observed_at.get_or_insert(now);
        }
    }

    /// Records that the first byte of a call to an endpoint is about to be written.
    pub fn record_first_byte(&self, endpoint: EndpointId) {
        if let Some(state) = self.endpoints.borrow_mut().get_mut(&endpoint) {
            state.last_first_byte_at = Some(self.clock.now());
        }
    }

    /// Adds to the drain statistics how long after the start of an endpoint's drain the last call was sent there. Call it
    /// once no more calls can follow.
    pub fn record_drain(&self, state: &EndpointState) {
        let send_and_drain_times = state.last_first_byte_at.zip(state.draining_since);
        let last_send_delay =
            send_and_drain_times.map_or(0, |(sent, drain_start)| sent.saturating_sub(drain_start));
        self.last_send_delays.borrow_mut().saturating_record(last_send_delay.max(1));
    }

    /// The statistics of the recorded drains: their number, and the median, p99 and maximum of the time to the last call,
    /// in milliseconds.
    pub fn drain_report(&self) -> Value {
        let drains = self.last_send_delays.borrow();
        let quantile_ms = |quantile| drains.value_at_quantile(quantile) as f64 / 1e3;
        let largest_ms = drains.max() as f64 / 1e3;
        json!({
            "count": drains.len(), "p50_ms": quantile_ms(0.5), "p99_ms": quantile_ms(0.99), "largest_ms": largest_ms
        })
    }

    /// Marks all endpoints that are not `listed` as draining from now on, unless they are draining already.
    pub fn drain_unlisted(&self, listed: &[EndpointId]) {
        for (endpoint, state) in self.endpoints.borrow_mut().iter_mut() {
            if !listed.contains(endpoint) {
                state.draining_since.get_or_insert_with(|| self.clock.now());
            }
        }
    }

    /// Removes the endpoints whose drain began long ago and the retry-afters that have passed, so that the table does
    /// not grow with each endpoint that is replaced. Returns whether an endpoint was removed.
    pub fn prune(&self, now: Micros) -> bool {
        self.retry_after_until.borrow_mut().retain(|_, until| now < *until);
        let mut endpoints = self.endpoints.borrow_mut();
        let count_before = endpoints.len();
        endpoints
            .retain(|_, state| state.draining_since.is_none_or(|since| now < since + RETENTION_AFTER_DRAIN));
        endpoints.len() < count_before
    }

    /// The state of an endpoint; `None` if it is not in the table.
    pub fn get(&self, endpoint: EndpointId) -> Option<EndpointState> {
        self.endpoints.borrow().get(&endpoint).cloned()
    }

    /// The endpoint that listens on an address; `None` if the table has none.
    pub fn find(&self, address: SocketAddr) -> Option<EndpointId> {
        let endpoints = self.endpoints.borrow();
        let mut with_address = endpoints.iter().filter(|(_, state)| state.address == address);
        with_address.next_back().map(|(endpoint, _)| *endpoint)
    }

    /// Whether the table has an endpoint of this destination.
    pub fn has_destination(&self, destination: DestinationId) -> bool {
        self.endpoints.borrow().values().any(|state| state.destination == destination)
    }

    /// Records that an endpoint has sent a retry-after, in microseconds from now. It doesn't shorten an earlier one
    /// that ends later.
    pub fn record_retry_after(&self, endpoint: EndpointId, retry_after: Micros) {
        let Some(scope) = self.retry_after_scope(endpoint) else { return };
        let mut ends = self.retry_after_until.borrow_mut();
        let until = ends.entry(scope).or_default();
        *until = (*until).max(self.clock.now().saturating_add(retry_after));
    }

    /// The facts that decide whether a call may be sent to an endpoint now; `None` if the table does not have it. They
    /// must be read just before the first byte: a drain or a retry-after may have been received since the policy's
    /// step, for example while a connection was opened.
    pub fn endpoint_facts(&self, endpoint: EndpointId) -> Option<EndpointFacts> {
        let draining_since = self.get(endpoint)?.draining_since;
        let scope = self.retry_after_scope(endpoint);
        let retry_after_until = scope.and_then(|scope| self.retry_after_until.borrow().get(&scope).copied());
        Some(EndpointFacts { draining_since, retry_after_until })
    }

    /// The endpoints to which a retry-after from this endpoint applies; `None` if the table does not have the endpoint.
    fn retry_after_scope(&self, endpoint: EndpointId) -> Option<RetryAfterScope> {
        let state = self.get(endpoint)?;
        Some(match state.retry_after_per_endpoint {
            true => RetryAfterScope::Endpoint(endpoint),
            false => RetryAfterScope::Destination(state.destination),
        })
    }
}
