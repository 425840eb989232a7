//! Decides which idle connections are closed: those that are probably dead without a notification, and those
//! that prevent other forwarders from connecting.

use super::constants::*;
use super::may_still_run;
use super::records::stored_as_array;
use super::DeliveryPolicy;
use crate::api::*;
use serde::{Deserialize, Serialize};

/// Moving averages of the share of unanswered calls, on new and on reused connections.
#[derive(Clone, Copy, Default, Serialize, Deserialize)]
#[serde(from = "(f64, f64)", into = "(f64, f64)")]
pub(super) struct ConnectionLoss {
    on_fresh: f64,
    on_reused: f64,
}
stored_as_array!(ConnectionLoss { on_fresh: f64, on_reused: f64 });

impl ConnectionLoss {
    /// Calls on reused connections remain unanswered so much more often than on new ones that idle
    /// connections are probably stale.
    pub(super) fn is_high_on_reused(&self) -> bool {
        self.on_reused - self.on_fresh > STALE_EXCESS_LOSS
    }

    fn record(&mut self, reused: bool, answered: bool) {
        let loss = if reused { &mut self.on_reused } else { &mut self.on_fresh };
        *loss += CONNECTION_LOSS_SMOOTHING * (f64::from(!answered) - *loss);
        if answered && !reused {
            self.on_reused *= REUSED_LOSS_DECAY;
        }
    }
}

/// How scarce connections are at the endpoints of one kind.
#[derive(Clone, Copy, Default, Serialize, Deserialize)]
#[serde(from = "(f64, f64)", into = "(f64, f64)")]
pub(super) struct ConnectionScarcity {
    /// Moving average of the share of calls for which no connection could be made.
    connect_failure_share: f64,
    /// Set to 1 by a failed connection attempt if the expected cost of failed attempts exceeds the cost of
    /// new connections, or if connections are scarce already. Decays with each other call.
    scarcity: f64,
}
stored_as_array!(ConnectionScarcity { connect_failure_share: f64, scarcity: f64 });

impl ConnectionScarcity {
    fn record(&mut self, connect_failed: bool, connection_cost: f64) {
        let share = &mut self.connect_failure_share;
        *share += CONNECTION_LOSS_SMOOTHING * (f64::from(connect_failed) - *share);
        let outweighs_cost = *share * CONNECT_FAILURE_COST > connection_cost;
        let confirms_scarcity = connect_failed && (outweighs_cost || self.is_scarce());
        self.scarcity = if confirms_scarcity { 1.0 } else { self.scarcity * SCARCITY_DECAY };
    }

    fn is_scarce(&self) -> bool {
        self.scarcity > SCARCITY_THRESHOLD
    }
}

impl DeliveryPolicy {
    /// Updates the connection statistics from a finished call, to detect two faults. First, idle connections
    /// that died without a notification: calls on reused connections then remain unanswered far more often.
    /// Second, endpoints whose connections are all held idle by other forwarders: after a failed connection
    /// attempt, this forwarder closes its idle connections to endpoints of that kind for a while.
    pub(super) fn record_connection(&mut self, id: EndpointId, outcome: Outcome, reused: Option<bool>) {
        if outcome == Outcome::NotJournaled {
            return;
        }
        let answered = matches!(outcome, Outcome::Ok | Outcome::Rejected(_) | Outcome::Error);
        // A reused connection that breaks at once costs no more than the next call, so it does not count as
        // unanswered.
        let is_evidence = outcome != Outcome::StaleConnection && (answered || may_still_run(outcome));
        if let Some(reused) = reused.filter(|_| is_evidence) {
            self.connection_loss.record(reused, answered);
        }
        let Some(endpoint) = self.endpoints.get_mut(&id) else { return };
        endpoint.has_idle_connection = answered;
        let Some(scarcity) = self.connection_scarcity.get_mut(endpoint.entry.kind.0) else { return };
        scarcity.record(outcome == Outcome::ConnectFailed, self.settings.connection_cost);
        if scarcity.is_scarce() && !self.calls.values().any(|c| c.endpoint == id) {
            endpoint.has_idle_connection = false;
            self.actions.push(Action::CloseIdle { endpoint: id });
        }
    }

    /// Returns whether a new call will use a reused connection, or `None` if that is unknown because other
    /// calls to the endpoint are in flight. Closes the idle connections first if they are probably stale.
    pub(super) fn prepare_connection(&mut self, id: EndpointId) -> Option<bool> {
        if self.calls.values().chain(self.answered_calls.values()).any(|c| c.endpoint == id) {
            return None;
        }
        let has_idle = self.endpoints[&id].has_idle_connection;
        if has_idle && self.connection_loss.is_high_on_reused() {
            self.actions.push(Action::CloseIdle { endpoint: id });
            return Some(false);
        }
        Some(has_idle)
    }
}
