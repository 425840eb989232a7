//! Gauges: how many messages, connections and calls there are at the moment.

use std::cell::Cell;

/// A number that can increase and decrease.
#[derive(Debug, Default)]
pub struct Gauge(Cell<usize>);

impl Gauge {
    /// The current value; 0 at first.
    pub fn get(&self) -> usize {
        self.0.get()
    }

    /// Replaces the value.
    pub fn set(&self, value: usize) {
        self.0.set(value);
    }

    /// Adds one.
    pub fn increment(&self) {
        self.0.set(self.0.get() + 1);
    }

    /// Subtracts one; zero stays zero.
    pub fn decrement(&self) {
        self.subtract(1);
    }

    /// Adds a number.
    pub fn add(&self, number: usize) {
        self.0.set(self.0.get() + number);
    }

    /// Subtracts a number, down to zero at most.
    pub fn subtract(&self, number: usize) {
        self.0.set(self.0.get().saturating_sub(number));
    }

    /// Adds one until the returned guard is dropped.
    pub fn increment_scoped(&self) -> GaugeGuard<'_> {
        self.increment();
        GaugeGuard(self)
    }
}

/// Subtracts one from its [`Gauge`] when it is dropped.
#[derive(Debug)]
pub struct GaugeGuard<'a>(&'a Gauge);

impl Drop for GaugeGuard<'_> {
    fn drop(&mut self) {
        self.0.decrement();
    }
}

/// The gauges of a process. The comment of each also names the component that writes it.
#[derive(Debug, Default)]
pub struct Gauges {
    /// Results of calls that a lost successor may not have handled and no other process has asked for yet; written by the
    /// delivery actor after a hand-over.
    pub unsent_results: Gauge,
    /// Messages that are accepted and have not ended; written by the delivery actor.
    pub open_messages: Gauge,
    /// Of these, the messages whose attempt in flight was answered by a response that is not yet confirmed; written by the
    /// delivery actor.
    pub answered_messages: Gauge,
    /// Calls in flight; written by each call.
    pub calls_in_flight: Gauge,
    /// Calls that were answered by a response that may be a copy of an earlier one, and whose time is not over; written by each
    /// such call.
    pub unconfirmed_calls: Gauge,
    /// What the messages of these calls take in memory, in bytes; written by each such call.
    pub unconfirmed_bytes: Gauge,
    /// What the messages take that have ended by such a response and are not reported yet, in bytes; written by each such call.
    pub unconfirmed_end_bytes: Gauge,
    /// Delivery reports that the platform has not confirmed yet; written by the delivery actor and the sender of the
    /// reports.
    pub reports_pending: Gauge,
    /// Open client connections; written by each connection.
    pub client_connections: Gauge,
    /// The client connections that were open at the predecessor as it handed over, or 0 once it is gone; written by
    /// the hand-over.
    pub predecessor_connections: Gauge,
    /// Idle connections to endpoints; written by the endpoints' pools.
    pub idle_endpoint_connections: Gauge,
    /// Connections of abandoned calls on which a late response is awaited; written by their readers.
    pub late_response_readers: Gauge,
}
