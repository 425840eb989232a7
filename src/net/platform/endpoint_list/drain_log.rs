//! Logs how quickly each drain or removal of an endpoint took effect: the start of the endpoint's last call, counted from
//! the receipt of the change.

use crate::membership::MembershipChange;
use crate::net::endpoint::table::EndpointTable;
use crate::Micros;
use slog::{info, Logger};
use std::collections::{HashSet, VecDeque};
use std::rc::Rc;

/// Time from the receipt of the change to the look-up of the endpoint's last call.
pub const SETTLED_AFTER_US: Micros = 1_000_000;
/// The most look-ups that are pending; if more endpoints leave within a second, the others are not logged.
const MAX_PENDING: usize = 10_000;

/// The endpoints that left and whose last call is still to be looked up, earliest first.
pub struct DrainLog {
    endpoint_table: Rc<EndpointTable>,
    log: Logger,
    pending: VecDeque<MembershipChange>,
}

impl DrainLog {
    /// Creates a log without pending look-ups.
    pub fn new(endpoint_table: Rc<EndpointTable>, log: Logger) -> Self {
        DrainLog { endpoint_table, log, pending: VecDeque::new() }
    }

    /// Schedules the look-up for an endpoint that left.
    pub fn push(&mut self, change: &MembershipChange) {
        if self.pending.len() < MAX_PENDING {
            self.pending.push_back(change.clone());
        }
    }

    /// When the next look-up is due; `None` if none is pending.
    pub fn next_due(&self) -> Option<Micros> {
        self.pending.front().map(|change| change.observed_at + SETTLED_AFTER_US)
    }

    /// Logs the endpoints whose look-up is due.
    pub fn log_due(&mut self, now: Micros) {
        while self.next_due().is_some_and(|due| due <= now) {
            if let Some(change) = self.pending.pop_front() {
                self.log(&change);
            }
        }
    }

    /// Logs the pending endpoints that are changed again, before the endpoint table forgets when they left.
    pub fn log_changed_again(&mut self, changes: &[MembershipChange]) {
        if self.pending.is_empty() {
            return;
        }
        let changed: HashSet<_> = changes.iter().map(|change| change.endpoint).collect();
        let pending = std::mem::take(&mut self.pending).into_iter();
        let (due, rest): (VecDeque<_>, _) = pending.partition(|left| changed.contains(&left.endpoint));
        self.pending = rest;
        due.iter().for_each(|change| self.log(change));
    }

    fn log(&self, change: &MembershipChange) {
        let received_at = change.observed_at;
        let state = self.endpoint_table.get(change.endpoint);
        // An endpoint that drained before it was removed is logged only for the drain.
        let Some(state) = state.filter(|state| state.draining_since == Some(received_at)) else { return };
        self.endpoint_table.record_drain(&state);
        let ms_after = |at: Option<Micros>| at.map(|at| (at as f64 - received_at as f64) / 1e3);
        info!(self.log, "endpoint left"; "endpoint" => change.endpoint.0,
            "id" => &*change.listing.key.id, "lifecycle" => ?change.lifecycle, "received_at" => received_at,
            "observed_ms" => ms_after(state.drain_observed_at),
            "last_byte_ms" => ms_after(state.last_first_byte_at));
    }
}
