//! Accepts clients' connections, up to the limit that the configuration sets. It records for each connection the earliest
//! time from which it may have waited to be accepted, because a request that its client sent meanwhile may be as old as
//! that.

use super::connection::{self, AcceptedConnection};
use crate::net::Context;
use crate::Micros;
use async_io::{Async, Timer};
use futures_lite::future;
use slog::{info, warn};
use socket2::{Domain, Socket, Type};
use std::future::Future;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

/// The interval at which the connection limit is checked while it is reached and no connection can be evicted.
const LIMIT_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// The pause after a failed accept grows by this with each further failure in a row.
const RETRY_PAUSE_STEP: Duration = Duration::from_millis(5);
/// The longest pause after a failed accept.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(50);
/// How many connections are accepted at a time, so that a burst is taken from the backlog before the connections are served.
const BATCH: usize = 64;
/// From this many failures in a row on, there is a pause before the next accept.
const IMMEDIATE_RETRIES: u32 = 16;

/// How a listener is opened.
#[derive(Clone, Copy, Debug)]
pub struct ListenOptions {
    /// Whether another process can listen on the same address at the same time (`SO_REUSEPORT`).
    pub reuse_port: bool,
    /// The number of connections that wait to be accepted. With too few, the system drops connections in a burst.
    pub backlog: usize,
    /// The receive buffer and the send buffer of each connection, in bytes; `None` for the system's choice.
    pub socket_buffer_bytes: Option<usize>,
}

/// Opens a listener.
///
/// # Errors
///
/// Returns the socket's error, for example if the address is in use.
pub fn listen(address: SocketAddr, options: ListenOptions) -> io::Result<Async<TcpListener>> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_reuse_port(options.reuse_port)?;
    if let Some(bytes) = options.socket_buffer_bytes {
        // Accepted connections inherit both. If one cannot be set, the system's choice stays.
        let _ = socket.set_recv_buffer_size(bytes);
        let _ = socket.set_send_buffer_size(bytes);
    }
    socket.bind(&address.into())?;
    socket.listen(i32::try_from(options.backlog).unwrap_or(i32::MAX))?;
    Async::new(socket.into())
}

/// Accepts connections until the lifecycle has the listener closed, then accepts what waits in the backlog and closes it.
/// `listening_since` is the time from which clients could connect, in microseconds of the monotonic clock: connections may
/// have waited in the backlog since then.
pub async fn serve(context: Rc<Context>, listener: Async<TcpListener>, listening_since: Micros) {
    let mut acceptor =
        Acceptor { context, listener, consecutive_failures: 0, waiting_since: Some(listening_since) };
    acceptor.accept_until_closed().await;
    let accepted_last = acceptor.accept_backlog().await;
    let Acceptor { context, listener, .. } = acceptor;
    drop(listener);
    info!(context.log, "listener closed"; "accepted_last" => accepted_last);
}

/// Accepts the connections of one listener.
struct Acceptor {
    context: Rc<Context>,
    listener: Async<TcpListener>,
    consecutive_failures: u32,
    /// The earliest time from which the next connection in the backlog may have waited there; `None` if the backlog was last
    /// found empty.
    waiting_since: Option<Micros>,
}

impl Acceptor {
    /// Accepts and serves connections until the lifecycle has the listener closed.
    async fn accept_until_closed(&mut self) {
        loop {
            let context = self.context.clone();
            let accepted = async {
                self.until_below_limit().await;
                Some(self.accept().await)
            };
            let closed = async {
                context.lifecycle.until_listener_closes().await;
                None
            };
            match future::or(closed, accepted).await {
                Some(Ok((stream, address))) => {
                    self.consecutive_failures = 0;
                    self.start_connection(stream, address);
                    if let Err(error) = self.accept_more() {
                        self.handle_failure(&error).await;
                    }
                }
                Some(Err(error)) => self.handle_failure(&error).await,
                None => break,
            }
            // In a burst accepting is always ready: yield so that other tasks run as well.
            future::yield_now().await;
        }
    }

    /// Accepts further connections that wait in the backlog, up to [`BATCH`].
    fn accept_more(&mut self) -> io::Result<()> {
        for _ in 0..BATCH {
            if self.is_limit_reached() && !self.evict_one() {
                break;
            }
            match self.accept_now() {
                Ok((stream, address)) => self.start_connection(stream, address),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    self.waiting_since = None;
                    break;
                }
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    /// Waits for the next connection. Clears `waiting_since` whenever the backlog is found empty.
    async fn accept(&mut self) -> io::Result<(Async<TcpStream>, SocketAddr)> {
        let mut accepting = pin!(self.listener.accept());
        let waiting_since = &mut self.waiting_since;
        future::poll_fn(|cx| {
            let polled = accepting.as_mut().poll(cx);
            if polled.is_pending() {
                *waiting_since = None;
            }
            polled
        })
        .await
    }

    /// The earliest time from which the next connection may have waited. It also applies to the connections behind it, until
    /// the backlog is found empty.
    fn waiting_since(&mut self) -> Micros {
        let now = self.context.clock.now();
        *self.waiting_since.get_or_insert_with(|| self.context.stall_detector.earliest_arrival(now))
    }

    /// Accepts every connection in the backlog, because closing the listener would reset them, and returns how many there
    /// were. Only a connection that arrives between the last accept and the close of the listener is still reset.
    async fn accept_backlog(&mut self) -> usize {
        self.consecutive_failures = 0;
        let mut accepted = 0;
        // The loop needs no time limit of its own: the shutdown drops this task if it takes too long.
        loop {
            if self.is_limit_reached() && !self.evict_one() {
                Timer::after(LIMIT_CHECK_INTERVAL).await;
                continue;
            }
            match self.accept_now() {
                Ok((stream, address)) => {
                    self.start_connection(stream, address);
                    accepted += 1;
                }
                // Only this error means that the backlog is empty.
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return accepted,
                Err(error) => self.handle_failure(&error).await,
            }
        }
    }

    /// Accepts the next connection without waiting for one.
    fn accept_now(&self) -> io::Result<(Async<TcpStream>, SocketAddr)> {
        let (stream, address) = self.listener.get_ref().accept()?;
        Ok((Async::new(stream)?, address))
    }

    /// Returns once there is room for the next connection, and evicts one if needed. While all connections are being served,
    /// none can be evicted, and further ones wait in the backlog.
    async fn until_below_limit(&mut self) {
        while self.is_limit_reached() {
            self.waiting_since();
            if !self.evict_one() {
                Timer::after(LIMIT_CHECK_INTERVAL).await;
            }
        }
    }

    /// Evicts a connection; returns false if none can be evicted.
    fn evict_one(&self) -> bool {
        self.context.request_memory.registry.evict_one()
    }

    /// Whether the limit is reached. Connections being evicted don't count; those that a predecessor still serves do.
    fn is_limit_reached(&self) -> bool {
        let gauges = &self.context.gauges;
        let evictions_pending = self.context.request_memory.registry.evictions_pending();
        let remaining = gauges.client_connections.get().saturating_sub(evictions_pending);
        let limit = self.context.config().max_client_connections();
        remaining >= limit.saturating_sub(gauges.predecessor_connections.get())
    }

    /// Starts a task that serves an accepted connection.
    fn start_connection(&mut self, stream: Async<TcpStream>, address: SocketAddr) {
        self.context.counters.connections_accepted.increment();
        self.context.gauges.client_connections.increment();
        let accepted = AcceptedConnection { stream, address, waiting_since: self.waiting_since() };
        let serving = connection::serve(self.context.clone(), accepted);
        self.context.executor.spawn(serving).detach();
    }

    /// Counts and logs a failed accept, and waits before the next one. The first retries follow at once: an error may
    /// concern a single connection, and the requests in the backlog get closer to their deadlines during a pause. If
    /// accepting keeps failing, a resource has run out, and the growing pause gives the system time to recover.
    async fn handle_failure(&mut self, error: &io::Error) {
        self.waiting_since();
        self.consecutive_failures += 1;
        let failures = self.consecutive_failures;
        self.context.counters.accept_failures.increment();
        if failures.is_power_of_two() {
            warn!(self.context.log, "cannot accept a connection"; "error" => %error, "in_a_row" => failures);
        }
        if failures < IMMEDIATE_RETRIES {
            return future::yield_now().await;
        }
        let pause = RETRY_PAUSE_STEP * (failures - IMMEDIATE_RETRIES + 1);
        Timer::after(pause.min(MAX_RETRY_PAUSE)).await;
    }
}
