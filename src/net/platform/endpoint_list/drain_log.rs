//! Logs, for each endpoint that left, how soon that took effect: when its last call began, counted from the time at which
//! the change was received.

use crate::membership::MembershipChange;
use crate::net::endpoint::table::EndpointTable;
use crate::Micros;
use slog::{info, Logger};
use std::collections::{HashSet, VecDeque};
use std::rc::Rc;

/// An endpoint's last call is looked up so long after the endpoint left.
pub const SETTLED_AFTER_US: Micros = 1_000_000;
/// At most so many endpoints that left are looked up; in a storm the rest is not.
const MAX_PENDING: usize = 10_000;

/// Endpoints that left and are still to be looked up, the earliest first.
pub struct DrainLog {
    endpoint_table: Rc<EndpointTable>,
    log: Logger,
    pending: VecDeque<MembershipChange>,
}

impl DrainLog {
    /// An empty one.
    pub fn new(endpoint_table: Rc<EndpointTable>, log: Logger) -> Self {
        DrainLog { endpoint_table, log, pending: VecDeque::new() }
    }

    /// Remembers an endpoint that left.
    pub fn push(&mut self, change: &MembershipChange) {
        if self.pending.len() < MAX_PENDING {
            self.pending.push_back(change.clone());
        }
    }

    /// When the next one is looked up.
    pub fn next_due(&self) -> Option<Micros> {
        self.pending.front().map(|change| change.observed_at + SETTLED_AFTER_US)
    }

    /// Logs those that left long enough ago.
    pub fn log_due(&mut self, now: Micros) {
        while self.next_due().is_some_and(|due| due <= now) {
            if let Some(change) = self.pending.pop_front() {
                self.log(&change);
            }
        }
    }

    /// Logs those that changes name again: the endpoint table forgets that they left.
    pub fn log_returning(&mut self, changes: &[MembershipChange]) {
        if self.pending.is_empty() {
            return;
        }
        let named: HashSet<_> = changes.iter().map(|change| change.endpoint).collect();
        let pending = std::mem::take(&mut self.pending).into_iter();
        let (returning, rest): (VecDeque<_>, _) = pending.partition(|left| named.contains(&left.endpoint));
        self.pending = rest;
        returning.iter().for_each(|change| self.log(change));
    }

    fn log(&self, change: &MembershipChange) {
        let received_at = change.observed_at;
        let state = self.endpoint_table.get(change.endpoint);
        // One that drained before it was removed is logged once.
        let Some(state) = state.filter(|state| state.draining_since == Some(received_at)) else { return };
        self.endpoint_table.record_drain(&state);
        let ms_after = |at: Option<Micros>| at.map(|at| (at as f64 - received_at as f64) / 1e3);
        info!(self.log, "endpoint left"; "endpoint" => change.endpoint.0,
            "id" => &change.listing.key.id, "lifecycle" => ?change.lifecycle, "received_at" => received_at,
            "observed_ms" => ms_after(state.drain_observed_at),
            "last_byte_ms" => ms_after(state.last_first_byte_at));
    }
}
