//! What every call looks at just before its first byte: who is in service, who told a wait.

use crate::invariants::EndpointFacts;
use crate::net::runtime::clock::Clock;
use crate::{DestinationId, EndpointId, Lifecycle, Micros, ZoneId};
use hdrhistogram::Histogram;
use serde_json::{json, Value};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// After so long nothing is under way any more to an endpoint that was told to leave.
const LONG_AGO: Micros = 120_000_000;

/// What is known of an endpoint now.
#[derive(Clone, Debug)]
pub struct EndpointState {
    /// Where it listens.
    pub address: SocketAddr,
    /// Whose it is.
    pub destination: DestinationId,
    /// Where it stands.
    pub zone: ZoneId,
    /// Its destination's endpoints are routes apart.
    pub apart: bool,
    /// When this program was told that nothing new should go there.
    pub draining_since: Option<Micros>,
    /// When the module took that in.
    pub drain_observed_at: Option<Micros>,
    /// When the last call's first byte was written.
    pub last_first_byte_at: Option<Micros>,
}

impl EndpointState {
    /// An endpoint of which nothing has come or gone yet.
    pub fn new(address: SocketAddr, destination: DestinationId, zone: ZoneId, apart: bool) -> Self {
        EndpointState {
            address,
            destination,
            zone,
            apart,
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

/// The board: the membership's actor and the answers write on it at once, ahead of the module's next step.
pub struct EndpointTable {
    clock: Clock,
    grace: Cell<Micros>,
    endpoints: RefCell<BTreeMap<EndpointId, EndpointState>>,
    waits: RefCell<BTreeMap<RetryAfterScope, Micros>>,
    /// From learning that an endpoint leaves to the last first byte there, in microseconds.
    last_sends: RefCell<Histogram<u32>>,
}

impl EndpointTable {
    /// An empty board. Work may still go to an endpoint for most of the grace after it was told to leave.
    pub fn new(clock: Clock, grace: Micros) -> Self {
        let (endpoints, waits) = Default::default();
        let last_sends = Histogram::new_with_bounds(1, 60_000_000, 3).expect("bounds that are in order");
        let last_sends = RefCell::new(last_sends);
        let board = EndpointTable { clock, grace: Cell::new(0), endpoints, waits, last_sends };
        board.set_grace(grace);
        board
    }

    /// Sets the grace.
    pub fn set_grace(&self, grace: Micros) {
        self.grace.set(grace);
    }

    /// For how long work may go to an endpoint after it was told to leave.
    pub fn grace(&self) -> Micros {
        self.grace.get()
    }

    /// Writes down an endpoint, learnt at a time; the time of an earlier leave stays.
    pub fn list(&self, endpoint: EndpointId, lifecycle: Lifecycle, learnt: Micros, mut known: EndpointState) {
        let mut all = self.endpoints.borrow_mut();
        let before = all.get(&endpoint);
        if lifecycle != Lifecycle::Listed {
            known.draining_since = before.and_then(|k| k.draining_since).or(Some(learnt));
            known.drain_observed_at = before.and_then(|k| k.drain_observed_at);
        }
        known.last_first_byte_at = before.and_then(|k| k.last_first_byte_at);
        all.insert(endpoint, known);
    }

    /// The module has taken in that an endpoint leaves.
    pub fn drain_observed(&self, endpoint: EndpointId, now: Micros) {
        if let Some(known) = self.endpoints.borrow_mut().get_mut(&endpoint) {
            known.drain_observed_at.get_or_insert(now);
        }
    }

    /// A call's first byte is about to be written.
    pub fn first_byte(&self, endpoint: EndpointId) {
        if let Some(known) = self.endpoints.borrow_mut().get_mut(&endpoint) {
            known.last_first_byte_at = Some(self.clock.now());
        }
    }

    /// How long after it was learnt that an endpoint leaves the last call went there; counted once the matter is
    /// settled.
    pub fn count_drain(&self, known: &EndpointState) {
        let after = known
            .last_first_byte_at
            .zip(known.draining_since)
            .map_or(0, |(last, since)| last.saturating_sub(since));
        self.last_sends.borrow_mut().saturating_record(after.max(1));
    }

    /// Those times: how many, median, p99 and largest.
    pub fn drains(&self) -> Value {
        let all = self.last_sends.borrow();
        let at = |q| all.value_at_quantile(q) as f64 / 1e3;
        json!({"count": all.len(), "p50_ms": at(0.5), "p99_ms": at(0.99), "largest_ms": all.max() as f64 / 1e3})
    }

    /// All that are not among those named have left.
    pub fn keep_only(&self, named: &[EndpointId]) {
        for (id, known) in self.endpoints.borrow_mut().iter_mut() {
            if !named.contains(id) {
                known.draining_since.get_or_insert_with(|| self.clock.now());
            }
        }
    }

    /// Forgets what left long ago and waits that are over, lest a long life fill up with endpoints that were
    /// replaced; whether an endpoint was forgotten.
    pub fn prune(&self, now: Micros) -> bool {
        self.waits.borrow_mut().retain(|_, until| now < *until);
        let stays = |k: &EndpointState| k.draining_since.is_none_or(|t| now < t + LONG_AGO);
        let mut endpoints = self.endpoints.borrow_mut();
        let before = endpoints.len();
        endpoints.retain(|_, k| stays(k));
        endpoints.len() < before
    }

    /// What is known of an endpoint.
    pub fn get(&self, endpoint: EndpointId) -> Option<EndpointState> {
        self.endpoints.borrow().get(&endpoint).cloned()
    }

    /// The list has named an endpoint of this destination lately.
    pub fn names(&self, destination: DestinationId) -> bool {
        self.endpoints.borrow().values().any(|k| k.destination == destination)
    }

    fn waiter(&self, endpoint: EndpointId) -> Option<RetryAfterScope> {
        let known = self.get(endpoint)?;
        let whole = RetryAfterScope::Destination(known.destination);
        Some(if known.apart { RetryAfterScope::Endpoint(endpoint) } else { whole })
    }

    /// An endpoint has told a wait.
    pub fn retry_after(&self, endpoint: EndpointId, wait: Micros) {
        let Some(waiter) = self.waiter(endpoint) else { return };
        let mut waits = self.waits.borrow_mut();
        let until = waits.entry(waiter).or_default();
        *until = (*until).max(self.clock.now().saturating_add(wait));
    }

    /// What binds a call to an endpoint just now; none if the list does not name it. Time passes between the policy's step and
    /// the first byte, above all while a connection is made; what came in meanwhile binds that byte.
    pub fn facts(&self, endpoint: EndpointId) -> Option<EndpointFacts> {
        let leaving_since = self.get(endpoint)?.draining_since;
        let retry_after = self.waiter(endpoint).and_then(|w| self.waits.borrow().get(&w).copied());
        Some(EndpointFacts { draining_since: leaving_since, retry_after })
    }
}
