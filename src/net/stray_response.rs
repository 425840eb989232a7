//! Logs and counts stray responses: responses that belong to no call in flight, such as a second copy of an earlier one.

use crate::net::Context;
use crate::{EndpointId, Micros};
use slog::warn;

/// Where a stray response was found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StrayPlace {
    /// On an idle connection.
    Idle,
    /// Between the choice of the connection for a call and the first byte of its request.
    BeforeRequest,
    /// Among the responses that followed the request of a call.
    InCall,
    /// On the connection of an abandoned call.
    LateResponse,
    /// Behind the response to a request with delivery reports.
    DeliveryReports,
}

impl StrayPlace {
    /// The name of the place in logs and counters.
    pub fn name(self) -> &'static str {
        match self {
            StrayPlace::Idle => "idle",
            StrayPlace::BeforeRequest => "before-request",
            StrayPlace::InCall => "in-call",
            StrayPlace::LateResponse => "late-response",
            StrayPlace::DeliveryReports => "delivery-reports",
        }
    }
}

/// A stray response. Its times are in microseconds of the monotonic clock.
pub struct StrayResponse {
    /// The endpoint that sent it; `None` if the platform or the registry did.
    pub endpoint: Option<EndpointId>,
    /// Where it was found.
    pub place: StrayPlace,
    /// The status code; `None` if the response has no readable status line.
    pub status: Option<u16>,
    /// When it was received.
    pub received_at: Micros,
    /// When the response to the call before was received.
    pub previous_response_at: Option<Micros>,
    /// When the request of the call in flight was written; `None` without one.
    pub request_written_at: Option<Micros>,
}

/// The status with which servers announce that they close an idle connection. It answers no request.
pub const REQUEST_TIMEOUT: u16 = 408;

impl StrayResponse {
    /// Records the response, unless the bytes that the endpoint sent are no response. Returns whether it was recorded.
    pub fn record_if_response(&self, context: &Context) -> bool {
        let is_response = self.status.is_some_and(|status| status != REQUEST_TIMEOUT);
        if is_response {
            self.record(context);
        }
        is_response
    }

    /// Logs and counts the response. The time since the response before is about the same for each copy that is late by
    /// itself, that since the request for each copy that a request sets off.
    pub fn record(&self, context: &Context) {
        let since =
            |earlier: Option<Micros>| earlier.map(|at| self.received_at.saturating_sub(at) as f64 / 1e3);
        context.counters.count_stray_response(self.place);
        warn!(context.log, "stray response"; "place" => self.place.name(), "endpoint" => self.endpoint.map(|endpoint| endpoint.0),
            "status" => self.status, "ms_since_previous_response" => since(self.previous_response_at),
            "ms_since_request" => since(self.request_written_at));
    }
}
