//! The status report of destinations and tenants for operators.

use super::actor::DeliveryActor;
use crate::{DestinationStatus, Micros};
use serde_json::{json, Value};

impl DeliveryActor {
    /// The state of each destination, and how many messages were received from each tenant.
    pub(super) fn status(&self) -> Value {
        let now = self.context.clock.now();
        let destinations: Vec<Value> = self.policy.status(now).map(destination_status).collect();
        let received = self.names.tenants.iter().zip(&self.received_by_tenant);
        let tenants: Vec<Value> =
            received.map(|(name, count)| json!({"name": name, "handed_in": count})).collect();
        json!({"partners": destinations, "channels": tenants})
    }
}

fn destination_status(status: DestinationStatus) -> Value {
    let to_ms = |time: f64| time / 1e3;
    let micros_to_ms = |time: Micros| to_ms(time as f64);
    json!({
        "destination": status.destination.0,
        "breaker": status.breaker.name(),
        "held": status.waiting,
        "out": status.in_flight,
        "wait_ms": micros_to_ms(status.retry_after),
        "cold": status.in_slow_start,
        "answer_ms": status.mean_latency_us.map(to_ms),
        "limit_per_s": status.rate_limit.map(|limit| limit.rate),
        "limit_left": status.rate_limit.map(|limit| limit.remaining_share),
    })
}
