//! Observes a connection without a call in flight for as long as its unconfirmed calls may still be answered by another
//! response. An endpoint that closes such a connection as idle has answered all calls; an earlier end confirms nothing.

use super::connection::EndpointConnection;
use super::connection_end::ConnectionEnd;
use super::receive::read_response;
use crate::invariants::confirmation::ConnectionUse;
use crate::invariants::connection::is_idle_close;
use crate::net::http::HttpError;
use crate::net::messages::{EndedCallReport, EndpointMessage};
use crate::net::stray_response::REQUEST_TIMEOUT;
use crate::net::Context;
use crate::{EndpointId, Micros};
use async_channel::Sender;
use async_io::Timer;
use futures_lite::future;
use std::rc::Rc;

/// What was found on an observed connection.
pub(super) struct Observed {
    /// The connection, if it rested without a further response and may carry the next call.
    pub connection: Option<EndpointConnection>,
    /// Whether a stray response was found.
    pub found_stray: bool,
}

/// What becomes of an observed connection on which no further response arrives.
#[derive(Clone, Copy)]
pub(super) enum QuietEnd {
    /// It may carry the next call from this time on, in microseconds of the monotonic clock.
    ReusableAt(Micros),
    /// It is given up at this time, in microseconds of the monotonic clock. Its calls are not confirmed.
    GivenUpAt(Micros),
    /// It is observed until the time of its last unconfirmed call is over.
    Timeout,
}

impl QuietEnd {
    fn at(self) -> Option<Micros> {
        match self {
            QuietEnd::ReusableAt(at) | QuietEnd::GivenUpAt(at) => Some(at),
            QuietEnd::Timeout => None,
        }
    }
}

/// Observes a connection until it may carry the next call, or all of its unconfirmed calls have ended.
pub(super) async fn observe(
    context: &Context,
    endpoint: EndpointId,
    mut connection: EndpointConnection,
    mut quiet_end: QuietEnd,
) -> Observed {
    let _idle = context.gauges.idle_endpoint_connections.increment_scoped();
    let mut found_stray = false;
    loop {
        let next_timeout = connection.unconfirmed.next_timeout(ConnectionUse::AtRest);
        let Some(next_at) = next_timeout.into_iter().chain(quiet_end.at()).min() else {
            return Observed { connection: None, found_stray };
        };
        if !begins_before(context, &mut connection, next_at).await {
            let now = context.clock.now();
            connection.unconfirmed.end_timed_out(ConnectionUse::AtRest, now);
            if quiet_end.at().is_some_and(|at| at <= now) {
                let is_reusable = matches!(quiet_end, QuietEnd::ReusableAt(_));
                return Observed { connection: is_reusable.then_some(connection), found_stray };
            }
            continue;
        }
        quiet_end = QuietEnd::Timeout;
        let idle_since = connection.last_response_at.unwrap_or_default();
        match read_response(context, &mut connection).await {
            Ok(response) if response.head.status != REQUEST_TIMEOUT => {
                if !std::mem::replace(&mut found_stray, true) {
                    context.counters.connections_given_up.increment();
                    ConnectionEnd::StrayResponse.log(&context.log, endpoint);
                }
                connection.unconfirmed.add_response(response);
            }
            ended => {
                let is_closed = matches!(ended, Ok(_) | Err(HttpError::Closed));
                let idle_time = context.clock.now().saturating_sub(idle_since);
                if is_closed && is_idle_close(idle_time, context.config().endpoint_idle_timeout) {
                    connection.unconfirmed.end_closed_as_idle();
                }
                connection.unconfirmed.end_with_connection();
                return Observed { connection: None, found_stray };
            }
        }
    }
}

/// Observes a connection that is not to be reused, until its unconfirmed calls have ended. Closes it at once if it has none,
/// or if too many connections are observed already.
pub(super) fn observe_in_background(
    context: &Rc<Context>,
    endpoint: EndpointId,
    connection: EndpointConnection,
    endpoint_mailbox: Option<Sender<EndpointMessage>>,
) {
    let config = context.config();
    let max_connections = config.max_idle_connections() + config.max_concurrent_calls;
    let is_crowded = context.gauges.idle_endpoint_connections.get() >= max_connections;
    if connection.unconfirmed.is_empty() || is_crowded {
        return;
    }
    let executor = context.executor.clone();
    let context = context.clone();
    let observation = async move {
        let Observed { found_stray, .. } = observe(&context, endpoint, connection, QuietEnd::Timeout).await;
        if let Some(mailbox) = endpoint_mailbox.filter(|_| found_stray) {
            let report = EndedCallReport { found_stray, ..EndedCallReport::default() };
            // Sending fails if the endpoint's actor has ended; it then reuses no connection.
            let _ = mailbox.send(EndpointMessage::CallEnded(Box::new(report))).await;
        }
    };
    executor.spawn(observation).detach();
}

/// Waits until a further response begins or the connection ends. Returns `false` if neither happens before `deadline`, in
/// microseconds of the monotonic clock.
async fn begins_before(context: &Context, connection: &mut EndpointConnection, deadline: Micros) -> bool {
    let begins = async {
        connection.http.until_received().await;
        true
    };
    let expired = async {
        Timer::at(context.clock.instant_at(deadline)).await;
        false
    };
    future::or(begins, expired).await
}
