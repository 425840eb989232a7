//! The status report of destinations and tenants for operators. It is long if there are many destinations, so it is built only if
//! there is memory for it.

use super::actor::DeliveryActor;
use crate::memory::{MemoryUser, OutOfMemory};
use crate::net::messages::StatusReport;
use crate::{DestinationStatus, Micros};
use serde::Serialize;
use serde_json::value::to_raw_value;

/// What the status of a destination takes as text, in bytes, at most. The text exists twice while a response is built.
const DESTINATION_BYTES: usize = 2 * 256;

/// The state of a destination, under the names that operators know. The fields are in the order of their names.
#[derive(Serialize)]
struct DestinationReport {
    #[serde(rename = "answer_ms")]
    mean_latency_ms: Option<f64>,
    breaker: &'static str,
    #[serde(rename = "cold")]
    in_slow_start: bool,
    destination: u64,
    #[serde(rename = "held")]
    waiting: usize,
    #[serde(rename = "limit_left")]
    remaining_share: Option<f64>,
    #[serde(rename = "limit_per_s")]
    rate_limit: Option<f64>,
    #[serde(rename = "out")]
    in_flight: usize,
    #[serde(rename = "wait_ms")]
    retry_after_ms: f64,
}

#[derive(Serialize)]
struct TenantReport<'a> {
    #[serde(rename = "handed_in")]
    received: u64,
    name: &'a str,
}

impl DeliveryActor {
    /// The state of each destination, and how many messages were received from each tenant.
    pub(super) fn status(&self) -> Result<StatusReport, OutOfMemory> {
        let now = self.context.clock.now();
        let bytes = self.endpoints.destination_count() * DESTINATION_BYTES;
        let memory = self.context.memory.reserve(MemoryUser::Responses, bytes)?;
        let destinations: Vec<_> = self.policy.status(now).map(DestinationReport::from).collect();
        let received = self.names.tenants.iter().zip(&self.received_by_tenant);
        let tenants: Vec<_> = received.map(|(name, count)| TenantReport { received: *count, name }).collect();
        Ok(StatusReport {
            destinations: to_raw_value(&destinations).unwrap_or_default(),
            tenants: to_raw_value(&tenants).unwrap_or_default(),
            memory,
        })
    }
}

impl From<DestinationStatus> for DestinationReport {
    fn from(status: DestinationStatus) -> Self {
        let to_ms = |time: f64| time / 1e3;
        let micros_to_ms = |time: Micros| to_ms(time as f64);
        DestinationReport {
            mean_latency_ms: status.mean_latency_us.map(to_ms),
            breaker: status.breaker.name(),
            in_slow_start: status.in_slow_start,
            destination: status.destination.0,
            waiting: status.waiting,
            remaining_share: status.rate_limit.map(|limit| limit.remaining_share),
            rate_limit: status.rate_limit.map(|limit| limit.rate),
            in_flight: status.in_flight,
            retry_after_ms: micros_to_ms(status.retry_after),
        }
    }
}
