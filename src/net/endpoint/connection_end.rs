//! Why a connection to an endpoint was closed, and what that means for the attempts that were in flight on it.

use crate::invariants::connection::CloseReason;
use crate::net::http::HttpError;
use crate::{EndpointId, Micros, Outcome};
use slog::{info, Logger};

/// A reused connection that fails within this after the request was written was dead before: no endpoint works so fast.
pub const STALE_WITHIN: Micros = 50_000;

/// Why a call ended without a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFailure {
    /// No connection could be made, or it failed before the request was written.
    ConnectFailed,
    /// The reused connection was dead before the request was written.
    StaleConnection,
    /// The connection failed after the request was written; the code of the error.
    Reset(&'static str),
    /// The timeout was over after the request was written.
    TimedOut,
    /// The timeout was over before the request was written.
    TimedOutBeforeSent,
    /// The delivery actor cancelled it after the request was written.
    Cancelled,
    /// The delivery actor cancelled it before the request was written.
    CancelledBeforeSent,
}

impl CallFailure {
    /// The meaning of a connection that failed after the request was written. `since_written` is the time from the request to the
    /// failure, given only where the connection was reused and no byte of a response was received: idle connections die
    /// unnoticed, which says little of the endpoint.
    pub fn of_connection(error: &HttpError, since_written: Option<Micros>) -> Self {
        match error {
            HttpError::Closed | HttpError::Socket(_)
                if since_written.is_some_and(|time| time < STALE_WITHIN) =>
            {
                CallFailure::StaleConnection
            }
            error => CallFailure::Reset(error.code()),
        }
    }

    /// The outcome of the attempts that were in flight.
    pub fn outcome(self) -> Outcome {
        match self {
            CallFailure::ConnectFailed | CallFailure::TimedOutBeforeSent => Outcome::ConnectFailed,
            CallFailure::StaleConnection => Outcome::StaleConnection,
            CallFailure::Reset(_) => Outcome::Reset,
            CallFailure::TimedOut => Outcome::TimedOut,
            CallFailure::Cancelled => Outcome::Cancelled,
            CallFailure::CancelledBeforeSent => Outcome::NotSent,
        }
    }

    /// Its name in logs.
    pub fn name(self) -> &'static str {
        match self {
            CallFailure::ConnectFailed => "connect-failed",
            CallFailure::StaleConnection => "stale",
            CallFailure::Reset(code) => code,
            CallFailure::TimedOut => "cut",
            CallFailure::TimedOutBeforeSent => "cut-before-sent",
            CallFailure::Cancelled => "called-off",
            CallFailure::CancelledBeforeSent => "called-off-before-sent",
        }
    }
}

/// Why a connection to an endpoint was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// The process has as many idle connections as it may.
    PoolFull,
    /// The delivery policy had the idle connections closed.
    CloseIdle,
    /// The endpoint was removed from the list.
    EndpointRemoved,
    /// It was idle and is of no more use.
    NotReusable(CloseReason),
    /// A response was received after which it cannot be reused.
    Response,
    /// The endpoint has no connection left for this process.
    ConnectionLimit,
    /// Its call failed.
    CallFailed(CallFailure),
}

impl ConnectionEnd {
    /// Its name in logs.
    pub fn name(self) -> &'static str {
        match self {
            ConnectionEnd::PoolFull => "no-room",
            ConnectionEnd::CloseIdle => "close-idle",
            ConnectionEnd::EndpointRemoved => "left",
            ConnectionEnd::NotReusable(reason) => reason.name(),
            ConnectionEnd::Response => "answered",
            ConnectionEnd::ConnectionLimit => "crowded-out",
            ConnectionEnd::CallFailed(failure) => failure.name(),
        }
    }

    /// Logs the end of a connection to an endpoint.
    pub fn log(self, log: &Logger, endpoint: EndpointId) {
        info!(log, "connection ended"; "side" => "endpoint", "endpoint" => endpoint.0, "reason" => self.name());
    }
}
