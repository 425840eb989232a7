//! Observes a connection without a call in flight for as long as a further response may still correct the result of an
//! unconfirmed call. The end of the connection confirms nothing.

use super::connection::EndpointConnection;
use super::connection_end::ConnectionEnd;
use super::late_retry_after;
use super::receive::read_response;
use super::response::parse_retry_after;
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
    /// It is given up at this time, in microseconds of the monotonic clock.
    GivenUpAt(Micros),
    /// It is given up once the time of its last unconfirmed call is over.
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

/// Observes a connection until it may carry the next call, or no response on it can be corrected any more.
pub(super) async fn observe(
    context: &Context,
    endpoint: EndpointId,
    mut connection: EndpointConnection,
    mut quiet_end: QuietEnd,
) -> Observed {
    let _idle = context.gauges.idle_endpoint_connections.increment_scoped();
    let mut found_stray = false;
    loop {
        let may_be_reused = matches!(quiet_end, QuietEnd::ReusableAt(_));
        if !may_be_reused && !connection.unconfirmed.has_correctable_calls() {
            return Observed { connection: None, found_stray };
        }
        let next_change_at = connection.unconfirmed.next_change_at();
        let next_at = next_change_at.into_iter().chain(quiet_end.at()).min().unwrap_or_default();
        if !begins_before(context, &mut connection, next_at).await {
            connection.unconfirmed.end_due(context);
            if quiet_end.at().is_some_and(|at| at <= context.clock.now()) {
                let is_reusable = matches!(quiet_end, QuietEnd::ReusableAt(_));
                return Observed { connection: is_reusable.then_some(connection), found_stray };
            }
            continue;
        }
        quiet_end = QuietEnd::Timeout;
        match read_response(context, &mut connection).await {
            Ok(response) if response.head.status != REQUEST_TIMEOUT => {
                if !std::mem::replace(&mut found_stray, true) {
                    context.counters.connections_given_up.increment();
                    ConnectionEnd::StrayResponse.log(&context.log, endpoint);
                }
                if let Some(retry_after) = parse_retry_after(&response.head) {
                    late_retry_after::obey(context, endpoint, retry_after).await;
                }
                let answered_calls = connection.history.min_answered_calls();
                connection.unconfirmed.add_surplus(response, answered_calls);
            }
            _ => {
                connection.unconfirmed.end_with_connection();
                return Observed { connection: None, found_stray };
            }
        }
    }
}

/// Observes a connection that is not to be reused, until no response on it can be corrected any more. Closes it at once if
/// none can, or if too many connections are observed already.
pub(super) fn observe_in_background(
    context: &Rc<Context>,
    endpoint: EndpointId,
    connection: EndpointConnection,
    endpoint_mailbox: Option<Sender<EndpointMessage>>,
) {
    let config = context.config();
    let max_connections = config.max_idle_connections() + config.max_concurrent_calls;
    let is_crowded = context.gauges.idle_endpoint_connections.get() >= max_connections;
    if !connection.unconfirmed.has_correctable_calls() || is_crowded {
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
