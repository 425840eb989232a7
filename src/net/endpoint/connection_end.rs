//! Why a connection to an endpoint ended, and the outcome that its end gives to the attempts in flight on it.

use crate::invariants::connection::CloseReason;
use crate::net::http::HttpError;
use crate::{EndpointId, Micros, Outcome};
use slog::{info, Logger};

/// If a reused connection fails within this time after the request was written, in microseconds, the endpoint is
/// assumed to have closed it before: no endpoint processes a request so fast.
pub const STALE_CONNECTION_WINDOW: Micros = 50_000;

/// Why a call ended without a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFailure {
    /// No connection could be made, or it failed before the request was written.
    ConnectFailed,
    /// The endpoint had closed the reused connection before the request was written.
    StaleConnection,
    /// The connection failed after the request was written, with this error code.
    Reset(&'static str),
    /// It cannot be told which of the responses that followed the request belongs to the call, if any.
    UnattributedResponse,
    /// The timeout expired after the request was written.
    TimedOut,
    /// The timeout expired before the request was written.
    TimedOutBeforeSent,
    /// The delivery actor cancelled the call after the request was written.
    Cancelled,
    /// The delivery actor cancelled the call before the request was written.
    CancelledBeforeSent,
}

impl CallFailure {
    /// Classifies the failure of a connection after the request was written. `since_written` is the time from the
    /// request to the failure in microseconds, given only if the connection was reused and no byte of a response was
    /// received: an idle connection can die unnoticed, which says little about the endpoint's health.
    pub fn from_connection_error(error: &HttpError, since_written: Option<Micros>) -> Self {
        match error {
            HttpError::Closed | HttpError::Socket(_)
                if since_written.is_some_and(|time| time < STALE_CONNECTION_WINDOW) =>
            {
                CallFailure::StaleConnection
            }
            error => CallFailure::Reset(error.code()),
        }
    }

    /// The outcome of the attempts of the failed call.
    pub fn outcome(self) -> Outcome {
        match self {
            CallFailure::ConnectFailed | CallFailure::TimedOutBeforeSent => Outcome::ConnectFailed,
            // The connection is to blame, not the endpoint's health.
            CallFailure::StaleConnection | CallFailure::UnattributedResponse => Outcome::StaleConnection,
            CallFailure::Reset(_) => Outcome::Reset,
            CallFailure::TimedOut => Outcome::TimedOut,
            CallFailure::Cancelled => Outcome::Cancelled,
            CallFailure::CancelledBeforeSent => Outcome::NotSent,
        }
    }

    /// The name of the failure in logs.
    pub fn name(self) -> &'static str {
        match self {
            CallFailure::ConnectFailed => "connect-failed",
            CallFailure::StaleConnection => "stale",
            CallFailure::Reset(code) => code,
            CallFailure::UnattributedResponse => "unattributed-response",
            CallFailure::TimedOut => "cut",
            CallFailure::TimedOutBeforeSent => "cut-before-sent",
            CallFailure::Cancelled => "called-off",
            CallFailure::CancelledBeforeSent => "called-off-before-sent",
        }
    }
}

/// Why a connection to an endpoint ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// The process already has the maximum number of idle connections.
    PoolFull,
    /// The delivery policy asked to close the endpoint's idle connections.
    CloseIdle,
    /// The endpoint was removed from the list.
    EndpointRemoved,
    /// The idle connection must not be reused, for this reason.
    NotReusable(CloseReason),
    /// The connection cannot be reused after the response that was received.
    Response,
    /// A stray response arrived on the connection.
    StrayResponse,
    /// The response may be a copy of an earlier one.
    UnprovenResponse,
    /// No connection to the endpoint is reused for a while after a stray response.
    ReuseSuspended,
    /// The endpoint rejected the call since it has too many connections.
    ConnectionLimit,
    /// The call on the connection failed.
    CallFailed(CallFailure),
}

impl ConnectionEnd {
    /// The name of the reason in logs.
    pub fn name(self) -> &'static str {
        match self {
            ConnectionEnd::PoolFull => "no-room",
            ConnectionEnd::CloseIdle => "close-idle",
            ConnectionEnd::EndpointRemoved => "left",
            ConnectionEnd::NotReusable(reason) => reason.name(),
            ConnectionEnd::Response => "answered",
            ConnectionEnd::StrayResponse => "stray-response",
            ConnectionEnd::UnprovenResponse => "unproven-response",
            ConnectionEnd::ReuseSuspended => "reuse-suspended",
            ConnectionEnd::ConnectionLimit => "crowded-out",
            ConnectionEnd::CallFailed(failure) => failure.name(),
        }
    }

    /// Logs that a connection to an endpoint was closed, or is kept only to read a late response.
    pub fn log(self, log: &Logger, endpoint: EndpointId) {
        info!(log, "connection ended"; "side" => "endpoint", "endpoint" => endpoint.0, "reason" => self.name());
    }
}
