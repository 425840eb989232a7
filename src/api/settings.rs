//! The settings of the delivery policy.

use super::ids::{Micros, ZoneId};
use crate::routes::RouteTable;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The effect of sending a message to its destination a second time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Idempotency {
    /// The message may be sent any number of times.
    #[serde(rename = "Safe")]
    Idempotent,
    /// The message has an idempotency key, and the destination drops a repeat of a key within a deduplication
    /// window.
    #[serde(rename = "Keyed")]
    WithKey,
    /// The message must not be sent again once it may have taken effect.
    #[serde(rename = "Unsafe")]
    NonIdempotent,
}

/// The endpoints of a destination that drop repeats of an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DedupScope {
    /// All endpoints of the destination.
    All,
    /// Only the endpoints in the zone of the first attempt that may have taken effect.
    Zone,
}

/// How the value of a message decreases after its latency objective.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Decay {
    /// Linearly, down to the weight at the deadline.
    #[default]
    Linear,
    /// By half with each further latency objective, but not below the weight at the deadline.
    Halving,
}

/// A class of messages.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Class {
    /// Whether and how a message of this class may be sent again.
    #[serde(rename = "effect")]
    pub idempotency: Idempotency,
    /// The endpoints that drop repeats of an idempotency key.
    pub dedup_scope: DedupScope,
    /// The time in which repeats are dropped, in microseconds from the send of the first attempt that may
    /// have taken effect.
    #[serde(rename = "memory_span")]
    pub deduplication_window: Micros,
    /// A message that is delivered within this time of its receipt, in microseconds, has its full value.
    #[serde(rename = "aim")]
    pub latency_objective: Micros,
    /// The time in which a message may be delivered, in microseconds from its first receipt.
    pub deadline: Micros,
    /// The value of a message that is delivered within the latency objective.
    #[serde(rename = "worth")]
    pub priority_weight: f64,
    /// The share of that value, from 0 to 1, that is left at the deadline.
    #[serde(rename = "late_worth")]
    pub weight_at_deadline: f64,
    /// Whether messages with the same order key are sent one at a time, in order.
    pub ordered: bool,
}

/// A customer whose traffic has an agreed quota.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Tenant {
    /// The quota in messages per second, over all forwarders.
    pub quota_per_s: f64,
}

/// A kind of destination.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Kind {
    /// Whether each endpoint has its own circuit breaker and rate limit, instead of the destination.
    #[serde(rename = "apart")]
    pub per_endpoint_breaker: bool,
    /// The number of messages that one call may carry.
    #[serde(rename = "per_call")]
    pub messages_per_call: usize,
}

/// The meaning of an endpoint's weight in the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum WeightSource {
    /// The weight has no meaning.
    #[default]
    Off,
    /// The weight is the number of calls per second that the destination (or an endpoint with its own limit)
    /// takes from all forwarders.
    Nominal,
    /// The weight means the same as in [`WeightSource::Nominal`], but may be up to half too high or too low.
    Rough,
}

/// The settings of a forwarder. The default value is not valid, as it has no classes.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Settings {
    /// The number of forwarders that share the traffic, including this one.
    pub forwarders: usize,
    /// This forwarder's index among them, from 0. Without an index, its time slots are random.
    #[serde(rename = "number")]
    pub forwarder_index: Option<u64>,
    /// The wall-clock time, in microseconds, at which this forwarder's own clock showed 0. All forwarders
    /// share the wall clock.
    #[serde(rename = "ahead")]
    pub wall_clock_offset: Micros,
    /// The zone in which this forwarder runs.
    pub zone: ZoneId,
    /// The cost of each zone, indexed by [`ZoneId`]: what it would cost if every message went to an endpoint
    /// there that has its own limit.
    #[serde(rename = "tolls")]
    pub zone_costs: Vec<f64>,
    /// What it would cost if every attempt crossed zones once.
    #[serde(rename = "cross_zone_fee")]
    pub cross_zone_cost: f64,
    /// What it would cost if every message needed a new connection.
    #[serde(rename = "handshake_fee")]
    pub connection_cost: f64,
    /// The classes of messages, indexed by [`super::ClassId`].
    pub classes: Vec<Class>,
    /// The tenants, indexed by [`super::TenantId`]; may be empty.
    pub tenants: Vec<Tenant>,
    /// The share of its priority weight that a message beyond its tenant's quota keeps.
    #[serde(rename = "over_share_worth")]
    pub over_quota_weight: f64,
    /// The kinds of destination, indexed by [`super::KindId`].
    pub kinds: Vec<Kind>,
    /// How the value of a message decreases after its latency objective.
    pub decay: Decay,
    /// The meaning of the weights in the endpoint list.
    pub weights: WeightSource,
    /// The number of calls that may be in flight at once.
    #[serde(rename = "slots")]
    pub max_concurrent_calls: usize,
    /// The number of messages that may be held at once without being complete, in flight or not.
    #[serde(rename = "max_open")]
    pub max_open_messages: usize,
    /// The number of attempts that a message may have, including the first.
    pub max_attempts: u32,
    /// Whether attempts in flight may be cancelled.
    #[serde(rename = "cancel")]
    pub may_cancel: bool,
    /// Whether clients mark their retries.
    #[serde(rename = "marks_retry")]
    pub clients_mark_retries: bool,
    /// Whether health checks may be sent.
    #[serde(rename = "probing")]
    pub may_health_check: bool,
    /// Whether rejections of messages may carry a retry-after.
    #[serde(rename = "retry_after")]
    pub may_send_retry_after: bool,
    /// Whether the platform allows two attempts of a message in flight at once (hedged requests). The
    /// forwarder never sends one; only an error text of the routes' check depends on this setting.
    #[serde(rename = "second_copies")]
    pub may_hedge: bool,
    /// The longest retry-after that clients obey, in microseconds.
    pub max_retry_after: Micros,
    /// Whether the endpoint list must be polled or subscribed to. If not, the platform pushes it.
    #[serde(rename = "ask_for_list")]
    pub poll_endpoint_list: bool,
    /// The longest time between two polls for the endpoint list without a subscription, in microseconds.
    #[serde(rename = "must_ask_in")]
    pub max_poll_interval: Micros,
    /// The shortest time between two steps of the policy, in microseconds.
    #[serde(rename = "granularity")]
    pub min_step_interval: Micros,
    /// A destination in slow start fails again if it gets more than this multiple of its present capacity for
    /// [`Settings::overload_window`].
    #[serde(rename = "fall_multiple")]
    pub overload_multiple: f64,
    /// The time, in microseconds, for which a destination in slow start tolerates an overload.
    #[serde(rename = "fall")]
    pub overload_window: Micros,
    /// The time in which a recovering destination reaches its full capacity, in microseconds.
    #[serde(rename = "cold")]
    pub slow_start_duration: Micros,
    /// The share of its capacity that a recovering destination has at first, above 0 and at most 1.
    #[serde(rename = "cold_from")]
    pub slow_start_floor: f64,
    /// The time for which an order key pauses after an attempt that may still run, in microseconds.
    #[serde(rename = "key_rest")]
    pub order_key_pause: Micros,
    /// The timeouts and attempts of each route, from the routes file. `None` leaves them to the policy's own
    /// rules.
    #[serde(skip)]
    pub routes: Option<Arc<RouteTable>>,
}

/// A setting that is missing, inconsistent or out of range.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("invalid settings: {0}")]
pub struct SettingsError(pub String);
