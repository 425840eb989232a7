//! The settings that the delivery policy decides by.

use super::ids::{Micros, ZoneId};
use crate::routes::RouteTable;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// What a repeat of a message may do at its destination.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Idempotency {
    /// May be repeated at will.
    #[serde(rename = "Safe")]
    Idempotent,
    /// The destination drops repeats of an idempotency key within a deduplication window.
    #[serde(rename = "Keyed")]
    WithKey,
    /// Must never take effect twice.
    #[serde(rename = "Unsafe")]
    NonIdempotent,
}

/// Which endpoints of a destination drop repeats of an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DedupScope {
    /// All of the destination's endpoints.
    All,
    /// Only those in the zone of the first attempt.
    Zone,
}

/// How the value of a message decays after its latency objective.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Decay {
    /// Evenly, down to the weight at the deadline.
    #[default]
    Linear,
    /// By half with each further latency objective, not below the weight at the deadline.
    Halving,
}

/// A class of messages.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Class {
    /// What a repeat may do.
    #[serde(rename = "effect")]
    pub idempotency: Idempotency,
    /// Where repeats of an idempotency key are dropped.
    pub dedup_scope: DedupScope,
    /// For how long repeats are dropped, from the send of the first attempt that may have taken effect.
    #[serde(rename = "memory_span")]
    pub deduplication_window: Micros,
    /// Delivered within this time, a message has its full value.
    #[serde(rename = "aim")]
    pub latency_objective: Micros,
    /// How long a message may be delivered, from when it was first received.
    pub deadline: Micros,
    /// Value of a message that is delivered in time.
    #[serde(rename = "worth")]
    pub priority_weight: f64,
    /// Share of that value which is left at the deadline.
    #[serde(rename = "late_worth")]
    pub weight_at_deadline: f64,
    /// Messages with the same order key go in order, one at a time.
    pub ordered: bool,
}

/// A customer whose traffic has an agreed quota.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Tenant {
    /// Messages a second, over all forwarders, that are within the quota.
    pub quota_per_s: f64,
}

/// A kind of destination.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Kind {
    /// Each endpoint has its own circuit breaker and limit, and not the destination.
    #[serde(rename = "apart")]
    pub per_endpoint_breaker: bool,
    /// Messages that one call may carry.
    #[serde(rename = "per_call")]
    pub messages_per_call: usize,
}

/// What the weight of a list entry says.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum WeightSource {
    /// Nothing.
    #[default]
    Off,
    /// Calls a second that the destination (or an endpoint with its own limit) takes from all forwarders.
    Nominal,
    /// The same, up to half too high or too low.
    Rough,
}

/// The settings of a forwarder. The default is empty, and is an error.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Settings {
    /// Forwarders that share the traffic, this one included.
    pub forwarders: usize,
    /// This forwarder's index among them, from 0; without one its time slots are random.
    #[serde(rename = "number")]
    pub forwarder_index: Option<u64>,
    /// What the wall clock, which all forwarders read, showed when this one's own clock showed 0.
    #[serde(rename = "ahead")]
    pub wall_clock_offset: Micros,
    /// Where this forwarder runs.
    pub zone: ZoneId,
    /// For each zone: cost if every message went to an endpoint there that has its own limit.
    #[serde(rename = "tolls")]
    pub zone_costs: Vec<f64>,
    /// Cost if every attempt crossed zones once.
    #[serde(rename = "cross_zone_fee")]
    pub cross_zone_cost: f64,
    /// Cost if every message needed a new connection.
    #[serde(rename = "handshake_fee")]
    pub connection_cost: f64,
    /// The classes.
    pub classes: Vec<Class>,
    /// The tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Share of its priority weight that a message beyond its tenant's quota keeps.
    #[serde(rename = "over_share_worth")]
    pub over_quota_weight: f64,
    /// The kinds of destination.
    pub kinds: Vec<Kind>,
    /// How the value of a message decays after its latency objective.
    pub decay: Decay,
    /// What the weights of list entries say.
    pub weights: WeightSource,
    /// Calls in flight at once.
    #[serde(rename = "slots")]
    pub max_concurrent_calls: usize,
    /// Messages that are not complete, in flight or not.
    #[serde(rename = "max_open")]
    pub max_open_messages: usize,
    /// Attempts for one message.
    pub max_attempts: u32,
    /// Attempts in flight may be cancelled.
    #[serde(rename = "cancel")]
    pub may_cancel: bool,
    /// Clients mark their retries.
    #[serde(rename = "marks_retry")]
    pub clients_mark_retries: bool,
    /// Health checks are allowed.
    #[serde(rename = "probing")]
    pub may_health_check: bool,
    /// Rejections may carry a retry-after.
    #[serde(rename = "retry_after")]
    pub may_send_retry_after: bool,
    /// The platform allows two attempts of a message in flight at once (hedged requests). Not used.
    #[serde(rename = "second_copies")]
    pub may_hedge: bool,
    /// The longest retry-after that clients follow.
    pub max_retry_after: Micros,
    /// The endpoint list must be polled or subscribed to.
    #[serde(rename = "ask_for_list")]
    pub poll_endpoint_list: bool,
    /// Without a subscription, the longest time between two polls for the list.
    #[serde(rename = "must_ask_in")]
    pub max_poll_interval: Micros,
    /// The shortest time between two steps.
    #[serde(rename = "granularity")]
    pub min_step_interval: Micros,
    /// A destination in slow start that gets more than this multiple of its present capacity ...
    #[serde(rename = "fall_multiple")]
    pub overload_multiple: f64,
    /// ... for this long fails again.
    #[serde(rename = "fall")]
    pub overload_window: Micros,
    /// How long a returning destination takes to reach its full capacity.
    #[serde(rename = "cold")]
    pub slow_start: Micros,
    /// Share of its capacity that a returning destination has at first.
    #[serde(rename = "cold_from")]
    pub slow_start_floor: f64,
    /// How long an order key pauses after an attempt that may still be running.
    #[serde(rename = "key_rest")]
    pub order_key_pause: Micros,
    /// Timeouts and attempts by route, from the routes file; without one the policy's own apply.
    #[serde(skip)]
    pub routes: Option<Arc<RouteTable>>,
}

/// Settings that make no sense.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("bad settings: {0}")]
pub struct SettingsError(pub String);
