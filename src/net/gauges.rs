//! What is open, connected and in flight now.

use std::cell::Cell;

/// A number that goes up and down.
#[derive(Debug, Default)]
pub struct Gauge(Cell<usize>);

impl Gauge {
    /// The present value.
    pub fn get(&self) -> usize {
        self.0.get()
    }

    /// Replaces the value.
    pub fn set(&self, value: usize) {
        self.0.set(value);
    }

    /// One more.
    pub fn increment(&self) {
        self.0.set(self.0.get() + 1);
    }

    /// One less; zero stays zero.
    pub fn decrement(&self) {
        self.0.set(self.0.get().saturating_sub(1));
    }

    /// Counts one more until the guard is dropped.
    pub fn count(&self) -> GaugeGuard<'_> {
        self.increment();
        GaugeGuard(self)
    }
}

/// Counts one in a [`Gauge`] for as long as it lives.
#[derive(Debug)]
pub struct GaugeGuard<'a>(&'a Gauge);

impl Drop for GaugeGuard<'_> {
    fn drop(&mut self) {
        self.0.decrement();
    }
}

/// The gauges of a process. Each is written by the actor that its comment names.
#[derive(Debug, Default)]
pub struct Gauges {
    /// Messages accepted and not ended; the delivery actor.
    pub open_messages: Gauge,
    /// Calls under way; each call.
    pub calls_in_flight: Gauge,
    /// Delivery reports not yet confirmed by the platform; the delivery actor and the reports' sender.
    pub reports_pending: Gauge,
    /// Clients connected; each client's connection.
    pub client_connections: Gauge,
    /// Clients connected to the predecessor at most, until it is gone; the hand-over.
    pub predecessor_connections: Gauge,
    /// Idle connections to endpoints; the endpoints' pools.
    pub idle_endpoint_connections: Gauge,
    /// Connections of abandoned calls that are read for a late response; each of them.
    pub late_response_readers: Gauge,
}
