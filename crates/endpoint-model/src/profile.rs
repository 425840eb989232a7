//! What a destination is like on a good day.

use crate::Micros;

/// The properties of a destination.
#[derive(Clone, Debug)]
pub struct DestinationProfile {
    /// Endpoints that take calls.
    pub endpoints: usize,
    /// The mean time that the work of one message takes.
    pub service_time: Micros,
    /// Its standard deviation over its mean.
    pub service_time_variation: f64,
    /// Calls a second that all endpoints together can serve.
    pub capacity: f64,
    /// Calls a second that it accepts from all senders together; `None` where only its capacity limits it.
    pub limit: Option<f64>,
    /// Rejected calls use up the limit too.
    pub rejections_use_limit: bool,
    /// The `retry_after` of a rejection, if it sends one.
    pub retry_after: Option<Micros>,
    /// Calls that may queue at an endpoint.
    pub queue_length: usize,
    /// Messages that a call may carry.
    pub messages_per_call: usize,
    /// What each message of a call beyond the first costs, as a share of the first.
    pub further_message_cost: f64,
    /// Share of calls that fail on a good day.
    pub error_rate: f64,
    /// After an outage it has this share of its capacity.
    pub slow_start_floor: f64,
    /// After an outage it has all of its capacity again after this.
    pub slow_start: Micros,
    /// A destination that warms up is overloaded by more than this multiple of its present capacity ...
    pub overload_multiple: f64,
    /// ... for so long.
    pub overload_window: Micros,
}
