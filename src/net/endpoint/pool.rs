//! The pool of idle connections to an endpoint.

use super::connection::EndpointConnection;
use super::connection_end::ConnectionEnd;
use super::observation::observe_in_background;
use crate::invariants::connection::reusable_until;
use crate::invariants::{may_reuse, IdleFacts};
use crate::net::messages::EndpointMessage;
use crate::net::stray_response::{StrayPlace, StrayResponse};
use crate::net::Context;
use crate::{EndpointId, Micros};
use async_channel::WeakSender;
use async_io::Timer;
use futures_lite::future;
use slog::warn;
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::Poll;

/// How long no connection to an endpoint is reused after a stray response, in microseconds.
const REUSE_SUSPENSION: Micros = 60_000_000;

/// An idle connection in the pool.
struct IdleConnection {
    connection: EndpointConnection,
    /// The remote address, to detect that the endpoint has moved.
    address: Option<SocketAddr>,
    /// The connection is not reused after this time, in microseconds of the monotonic clock, since the endpoint may
    /// close it soon after.
    reusable_until: Micros,
}

/// The idle connections to an endpoint, ordered from the least to the most recently used.
pub(super) struct Pool {
    context: Rc<Context>,
    endpoint: EndpointId,
    /// The mailbox of the endpoint's actor.
    endpoint_mailbox: WeakSender<EndpointMessage>,
    idle: Vec<IdleConnection>,
    /// When the delivery policy last asked to close the idle connections, in microseconds of the monotonic clock.
    closed_at: Micros,
    /// Before this time connections are closed instead of reused, in microseconds of the monotonic clock.
    reuse_suspended_until: Micros,
}

impl Pool {
    /// Creates an empty pool. `endpoint_mailbox` is that of the endpoint's actor.
    pub fn new(
        context: Rc<Context>,
        endpoint: EndpointId,
        endpoint_mailbox: WeakSender<EndpointMessage>,
    ) -> Self {
        Pool { context, endpoint, endpoint_mailbox, idle: Vec::new(), closed_at: 0, reuse_suspended_until: 0 }
    }

    /// Keeps a connection for the next call. It is closed if the process has the maximum number of idle connections, if
    /// reuse is suspended, or if the idle connections were closed since its last response.
    pub fn put(&mut self, connection: EndpointConnection) {
        let now = self.context.clock.now();
        let idle_since = connection.last_response_at.unwrap_or(now);
        let idle_connections = &self.context.gauges.idle_endpoint_connections;
        if now < self.reuse_suspended_until {
            return self.close(connection, ConnectionEnd::ReuseSuspended);
        }
        if idle_since < self.closed_at {
            return self.close(connection, ConnectionEnd::CloseIdle);
        }
        if idle_connections.get() >= self.context.config().max_idle_connections() {
            return self.close(connection, ConnectionEnd::PoolFull);
        }
        idle_connections.increment();
        let timeout = self.context.config().endpoint_idle_timeout;
        let reusable_until = reusable_until(idle_since, timeout);
        let address = connection.http.peer_address();
        self.idle.push(IdleConnection { connection, address, reusable_until });
    }

    /// Takes the most recently used connection that a call may use, so that the others can reach their idle timeout.
    pub fn take(&mut self, need: ConnectionNeed) -> Option<EndpointConnection> {
        self.close_unusable();
        let index = self.idle.iter().rposition(|idle| need.is_met_by(&idle.connection))?;
        Some(self.remove(index))
    }

    /// Closes all connections at the request of the delivery policy or as the endpoint is removed, each logged with this
    /// reason.
    pub fn close_all(&mut self, reason: ConnectionEnd) {
        self.closed_at = self.context.clock.now();
        while !self.idle.is_empty() {
            let connection = self.remove(0);
            self.close(connection, reason);
        }
    }

    /// Closes all connections and reuses none for a while, after a stray response of the endpoint.
    pub fn suspend_reuse(&mut self) {
        let now = self.context.clock.now();
        if now >= self.reuse_suspended_until {
            warn!(self.context.log, "reuse of connections suspended"; "endpoint" => self.endpoint.0,
                "seconds" => REUSE_SUSPENSION / 1_000_000);
        }
        self.reuse_suspended_until = now + REUSE_SUSPENSION;
        while !self.idle.is_empty() {
            let connection = self.remove(0);
            self.close(connection, ConnectionEnd::ReuseSuspended);
        }
    }

    /// Closes the connections that reached the idle timeout, that lead to a former address of the endpoint, or that
    /// the endpoint has closed or written to. A call written to a closed connection would count as one that may have
    /// run. Ends the messages of unconfirmed calls on the other connections whose time is over.
    pub fn close_unusable(&mut self) {
        let now = self.context.clock.now();
        let address = self.context.endpoint_table.get(self.endpoint).map(|state| state.address);
        let mut found_stray = false;
        for index in (0..self.idle.len()).rev() {
            let idle = &mut self.idle[index];
            let facts = IdleFacts {
                now,
                reusable_until: idle.reusable_until,
                address_is_current: idle.address == address,
                peer_activity: idle.connection.idle_end(),
            };
            let Err(reason) = may_reuse(&facts) else {
                idle.connection.unconfirmed.end_due(&self.context);
                continue;
            };
            let connection = self.remove(index);
            // The observation of a connection with unconfirmed calls records what is on it.
            if connection.unconfirmed.is_empty() && self.record_unread_response(&connection) {
                found_stray = true;
                self.context.counters.connections_given_up.increment();
            }
            self.close(connection, ConnectionEnd::NotReusable(reason));
        }
        if found_stray {
            self.suspend_reuse();
        }
    }

    /// Records a response that was received on an idle connection. Returns whether there was one.
    fn record_unread_response(&self, connection: &EndpointConnection) -> bool {
        let stray = StrayResponse {
            endpoint: Some(self.endpoint),
            place: StrayPlace::Idle,
            status: connection.unread_status(),
            received_at: self.context.clock.now(),
            previous_response_at: connection.last_response_at,
            request_written_at: None,
        };
        stray.record_if_response(&self.context)
    }

    /// Returns once a connection reaches its idle timeout, the time of an unconfirmed call on it is over, or the endpoint
    /// closes or writes to it.
    pub async fn until_idle_end(&mut self) {
        let next_change_at = |idle: &IdleConnection| idle.connection.unconfirmed.next_change_at();
        let timeouts = self.idle.iter().flat_map(|idle| [Some(idle.reusable_until), next_change_at(idle)]);
        let Some(first_timeout) = timeouts.flatten().min() else {
            return future::pending().await;
        };
        let clock = self.context.clock;
        let timed_out = async {
            Timer::at(clock.instant_at(first_timeout)).await;
        };
        let idle = &mut self.idle;
        let idle_end = future::poll_fn(|task| {
            match idle.iter_mut().any(|idle| idle.connection.http.poll_idle_end(task).is_some()) {
                true => Poll::Ready(()),
                false => Poll::Pending,
            }
        });
        future::or(timed_out, idle_end).await;
    }

    fn remove(&mut self, index: usize) -> EndpointConnection {
        self.context.gauges.idle_endpoint_connections.decrement();
        self.idle.remove(index).connection
    }

    /// Closes a connection, once no response on it can be corrected any more.
    fn close(&self, connection: EndpointConnection, reason: ConnectionEnd) {
        reason.log(&self.context.log, self.endpoint);
        observe_in_background(&self.context, self.endpoint, connection, self.endpoint_mailbox.upgrade());
    }
}

/// Which connection a call may use.
#[derive(Clone, Copy, Debug)]
pub(super) struct ConnectionNeed {
    /// The call may not be repeated: it uses no connection that has carried a refusal, as a copy of it would leave open
    /// whether the call has run.
    pub without_refusals: bool,
    /// The call uses no connection on which the response to an earlier call may still be corrected.
    pub without_correctable: bool,
    /// The call uses no connection on which an earlier call may be unanswered, so that a refusal is proven to be its own.
    pub without_unanswered: bool,
}

impl ConnectionNeed {
    fn is_met_by(self, connection: &EndpointConnection) -> bool {
        !(self.without_refusals && connection.history.has_refusal()
            || self.without_correctable && connection.unconfirmed.has_correctable_calls()
            || self.without_unanswered && connection.has_unanswered_calls())
    }
}
