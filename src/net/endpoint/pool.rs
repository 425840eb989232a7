//! The pool of idle connections to an endpoint.

use super::connection_end::ConnectionEnd;
use crate::invariants::connection::reusable_until;
use crate::invariants::{may_reuse, IdleFacts};
use crate::net::http::HttpConnection;
use crate::net::Context;
use crate::{EndpointId, Micros};
use async_io::Timer;
use futures_lite::future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::{self, Poll, Waker};

/// An idle connection in the pool.
struct IdleConnection {
    connection: HttpConnection,
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
    idle: Vec<IdleConnection>,
}

impl Pool {
    /// Creates an empty pool.
    pub fn new(context: Rc<Context>, endpoint: EndpointId) -> Self {
        Pool { context, endpoint, idle: Vec::new() }
    }

    /// Keeps a connection for the next call, or closes it if the process has the maximum number of idle connections.
    pub fn put(&mut self, connection: HttpConnection) {
        let idle_connections = &self.context.gauges.idle_endpoint_connections;
        if idle_connections.get() >= self.context.config().max_idle_connections() {
            return self.log_closed(ConnectionEnd::PoolFull);
        }
        idle_connections.increment();
        let timeout = self.context.config().endpoint_idle_timeout;
        let reusable_until = reusable_until(self.context.clock.now(), timeout);
        let address = connection.peer_address();
        self.idle.push(IdleConnection { connection, address, reusable_until });
    }

    /// Takes the most recently used connection, so that the others can reach their idle timeout.
    pub fn take_most_recent(&mut self) -> Option<HttpConnection> {
        self.close_unusable();
        let last = self.idle.len().checked_sub(1)?;
        Some(self.remove(last))
    }

    /// Closes all connections, each logged with this reason.
    pub fn close_all(&mut self, reason: ConnectionEnd) {
        while !self.idle.is_empty() {
            drop(self.remove(0));
            self.log_closed(reason);
        }
    }

    /// Closes the connections that reached the idle timeout, that lead to a former address of the endpoint, or that
    /// the endpoint has closed or written to. A call written to a closed connection would count as one that may have
    /// run.
    pub fn close_unusable(&mut self) {
        let now = self.context.clock.now();
        let address = self.context.endpoint_table.get(self.endpoint).map(|state| state.address);
        let mut task = task::Context::from_waker(Waker::noop());
        for index in (0..self.idle.len()).rev() {
            let idle = &mut self.idle[index];
            let facts = IdleFacts {
                now,
                reusable_until: idle.reusable_until,
                address_is_current: idle.address == address,
                peer_activity: idle.connection.poll_idle_end(&mut task),
            };
            if let Err(reason) = may_reuse(&facts) {
                drop(self.remove(index));
                self.log_closed(ConnectionEnd::NotReusable(reason));
            }
        }
    }

    /// Returns once a connection reaches its idle timeout, or the endpoint closes or writes to it.
    pub async fn until_idle_end(&mut self) {
        let Some(first_timeout) = self.idle.iter().map(|idle| idle.reusable_until).min() else {
            return future::pending().await;
        };
        let clock = self.context.clock;
        let timed_out = async {
            Timer::at(clock.instant_at(first_timeout)).await;
        };
        let idle = &mut self.idle;
        let idle_end = future::poll_fn(|task| {
            match idle.iter_mut().any(|idle| idle.connection.poll_idle_end(task).is_some()) {
                true => Poll::Ready(()),
                false => Poll::Pending,
            }
        });
        future::or(timed_out, idle_end).await;
    }

    fn remove(&mut self, index: usize) -> HttpConnection {
        self.context.gauges.idle_endpoint_connections.decrement();
        self.idle.remove(index).connection
    }

    fn log_closed(&self, reason: ConnectionEnd) {
        reason.log(&self.context.log, self.endpoint);
    }
}
