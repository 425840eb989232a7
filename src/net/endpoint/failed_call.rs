//! The failure of a call: a call without a complete response of its own is classified, and what may be left of its
//! connection is read on.

use super::connection::EndpointConnection;
use super::connection_end::{CallFailure, ConnectionEnd};
use super::ended_call::EndedCall;
use super::exchange::{CallEnd, Stage};
use super::late_response::{self, LateCall};
use super::observation::observe_in_background;
use super::received::OwnResponse;
use crate::net::call::{AttemptResult, CallResult};
use crate::{Micros, Outcome};

impl EndedCall<'_> {
    /// The result of a call without a complete response of its own. Its connection is closed, or kept for at most 500 ms
    /// to read a late response. In both cases its end is logged now.
    pub(super) fn failure_result(&self, end: &CallEnd, connection: Option<EndpointConnection>) -> CallResult {
        let failure = self.classify(end, connection.as_ref());
        let delivered =
            failure != CallFailure::UnattributedResponse && self.is_delivered(connection.as_ref());
        let abandoned = matches!(failure, CallFailure::TimedOut | CallFailure::Cancelled);
        let unanswered = self.progress.received.borrow().own().is_none();
        match connection {
            Some(connection) if abandoned && unanswered => {
                let earlier = self.progress.received.borrow().facts().earlier().clone();
                let late_call = LateCall::new(self.context, self.unreported_call(), earlier);
                late_response::read_in_background(late_call, connection.http);
            }
            // Nothing of this call was written.
            Some(connection) if self.progress.stage.get() == Stage::Connecting => {
                observe_in_background(self.context, self.call.endpoint, connection, self.return_to.clone());
            }
            _ => {}
        }
        self.log_connection_end(ConnectionEnd::CallFailed(failure));
        self.progress.unconfirmed.borrow_mut().end_with_connection();
        let result = match delivered {
            true => self.same_for_all(Outcome::Ok),
            false => {
                let unproven_end = self.progress.received.borrow().unproven_end(self.call, failure.outcome());
                unproven_end.unwrap_or_else(|| self.same_for_all(failure.outcome()))
            }
        };
        CallResult { retry_after: self.progress.received.borrow().retry_after(), ..result }
    }

    fn same_for_all(&self, outcome: Outcome) -> CallResult {
        CallResult::same_for_all(self.call.attempts.len(), AttemptResult::from_outcome(outcome))
    }

    fn classify(&self, end: &CallEnd, connection: Option<&EndpointConnection>) -> CallFailure {
        match end {
            CallEnd::ConnectionFailed(error) if self.is_written() => {
                CallFailure::from_connection_error(error, self.unanswered_since_written(connection))
            }
            CallEnd::ConnectionFailed(_) => CallFailure::ConnectFailed,
            CallEnd::TimedOut if !self.is_written() => CallFailure::TimedOutBeforeSent,
            CallEnd::Cancelled if self.is_written() => CallFailure::Cancelled,
            CallEnd::Cancelled => CallFailure::CancelledBeforeSent,
            CallEnd::Unattributed => CallFailure::UnattributedResponse,
            CallEnd::TimedOut | CallEnd::Responded | CallEnd::Unconfirmed | CallEnd::NotSent(_) => {
                CallFailure::TimedOut
            }
        }
    }

    fn is_written(&self) -> bool {
        self.progress.stage.get() == Stage::Written
    }

    /// Whether the message of a call was delivered although its response is not complete: for a single message the
    /// status line with 200 is enough, if it is certainly that of the call's own response.
    fn is_delivered(&self, connection: Option<&EndpointConnection>) -> bool {
        if !self.is_written() {
            return false;
        }
        if self.progress.received.borrow().is_empty() {
            if let Some(status) = connection.and_then(EndpointConnection::unread_status) {
                let elapsed = self.progress.elapsed(self.context.clock.now());
                self.progress.received.borrow_mut().add_status(self.call, status, elapsed);
            }
        }
        let is_success = |own: OwnResponse<'_>| own.status == 200 && own.is_proven;
        self.call.attempts.len() == 1 && self.progress.received.borrow().own().is_some_and(is_success)
    }

    /// The time since the request was written, in microseconds; `None` if the connection was new or any byte of a
    /// response was received.
    fn unanswered_since_written(&self, connection: Option<&EndpointConnection>) -> Option<Micros> {
        let written_at = self.progress.written_at.get()?;
        let unanswered = self.progress.received.borrow().is_empty()
            && connection.is_none_or(|connection| connection.http.buffer.bytes().is_empty());
        (self.progress.reused.get() && unanswered).then(|| self.context.clock.now() - written_at)
    }
}
