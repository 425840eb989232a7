//! A connection to an endpoint, with what it has carried so far.

use super::unconfirmed::UnconfirmedCalls;
use crate::invariants::{EarlierResponses, ResponseHistory};
use crate::net::http::{status_line_code, HttpConnection};
use crate::Micros;
use std::task::{self, Waker};

/// A connection to an endpoint.
pub struct EndpointConnection {
    /// The connection itself.
    pub http: HttpConnection,
    /// The number of calls that it has carried.
    pub calls: usize,
    /// The responses that it has carried. Empty on a new connection.
    pub history: ResponseHistory,
    /// When the last of them was received, in microseconds of the monotonic clock; `None` on a new connection.
    pub last_response_at: Option<Micros>,
    /// The calls that it has carried and whose responses may be copies of earlier ones.
    pub(super) unconfirmed: UnconfirmedCalls,
}

impl EndpointConnection {
    /// Wraps a connection that has just been opened.
    pub fn new(http: HttpConnection) -> Self {
        EndpointConnection {
            http,
            calls: 0,
            history: ResponseHistory::default(),
            last_response_at: None,
            unconfirmed: UnconfirmedCalls::default(),
        }
    }

    /// What it has carried before the next call.
    pub(super) fn earlier_responses(&self) -> EarlierResponses {
        EarlierResponses { history: self.history.clone(), calls: self.calls }
    }

    /// Whether it has carried a call that may be unanswered, so that the response to a further call may be that to this one.
    pub fn has_unanswered_calls(&self) -> bool {
        self.history.min_answered_calls() < self.calls
    }

    /// What the endpoint has done on the connection since its last call, as it is named in logs: see
    /// [`HttpConnection::poll_idle_end`]. `None` if it did nothing.
    pub fn idle_end(&mut self) -> Option<&'static str> {
        self.http.poll_idle_end(&mut task::Context::from_waker(Waker::noop()))
    }

    /// The status code of a response that was received and not read; `None` if there is none, or its status line is not
    /// complete.
    pub fn unread_status(&self) -> Option<u16> {
        status_line_code(self.http.buffer.bytes())
    }
}
