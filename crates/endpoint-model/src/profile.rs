//! The properties of a destination without faults.

use crate::Micros;

/// The properties of a destination without faults: its endpoints, service time, limits and behaviour after an outage.
#[derive(Clone, Debug)]
pub struct DestinationProfile {
    /// Number of endpoints that take calls.
    pub endpoints: usize,
    /// Mean time that the work of one message takes. The model rounds it up so that a whole number of workers per endpoint
    /// reaches the capacity.
    pub service_time: Micros,
    /// Coefficient of variation of the service time: its standard deviation divided by its mean.
    pub service_time_variation: f64,
    /// Calls per second that all endpoints together can serve.
    pub capacity: f64,
    /// Rate limit in calls per second from all senders together; `None` if only the capacity limits the rate.
    pub limit: Option<f64>,
    /// Whether rejected calls also use up the rate limit.
    pub rejections_use_limit: bool,
    /// The `retry_after` of a rejection; `None` if it sends none.
    pub retry_after: Option<Micros>,
    /// The most calls that may wait at an endpoint; further ones are rejected.
    pub queue_length: usize,
    /// The most messages that a call may carry.
    pub messages_per_call: usize,
    /// Work of each message of a call beyond the first, as a share of the work of the first.
    pub further_message_cost: f64,
    /// Share of the calls that fail although there is no fault.
    pub error_rate: f64,
    /// Share of its capacity that the destination has right after an outage.
    pub slow_start_floor: f64,
    /// Time after an outage until the destination has its full capacity again; the share rises linearly.
    pub slow_start: Micros,
    /// A destination that warms up is overloaded if it gets more than this multiple of its present capacity within
    /// `overload_window`.
    pub overload_multiple: f64,
    /// The window in which calls to a destination that warms up are counted.
    pub overload_window: Micros,
}
