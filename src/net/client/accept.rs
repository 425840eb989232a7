//! Accepts clients' connections, within the limit that the configuration sets, and bounds how long each has waited for it: its
//! client may have sent its request meanwhile.

use super::connection::{self, AcceptedConnection};
use crate::net::connection_registry::ConnectionRegistry;
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

/// While the limit is reached and nobody can be evicted, it is checked again after this.
const LIMIT_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// The pause after a failed accept grows by this with each in a row.
const RETRY_PAUSE_STEP: Duration = Duration::from_millis(5);
/// The longest pause after a failed accept.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(50);
/// So many accepts in a row are tried without a pause.
const IMMEDIATE_RETRIES: u32 = 16;
/// The listener's backlog; a burst must not make the system drop connections behind it.
const BACKLOG: i32 = 1024;

/// Opens a listener; one that is shared leaves the address to another process too.
///
/// # Errors
///
/// Those of the socket, as where the address is in use.
pub fn listen(address: SocketAddr, shared: bool) -> io::Result<Async<TcpListener>> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_reuse_port(shared)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Async::new(socket.into())
}

/// Accepts connections until the listener is dropped, or the process closes it. Clients can connect since a time, though
/// nobody has accepted them yet.
pub async fn serve(context: Rc<Context>, listener: Async<TcpListener>, listening_since: Micros) {
    let mut acceptor = Acceptor {
        context,
        listener,
        registry: Rc::new(ConnectionRegistry::default()),
        failures_in_a_row: 0,
        waiting_since: Some(listening_since),
    };
    acceptor.accept_until_closed().await;
    let accepted_last = acceptor.accept_backlog().await;
    let Acceptor { context, listener, .. } = acceptor;
    drop(listener);
    info!(context.log, "listener closed"; "accepted_last" => accepted_last);
}

struct Acceptor {
    context: Rc<Context>,
    listener: Async<TcpListener>,
    registry: Rc<ConnectionRegistry>,
    failures_in_a_row: u32,
    /// The earliest time since which the next connection of the backlog may wait there; `None` while the backlog is empty.
    waiting_since: Option<Micros>,
}

impl Acceptor {
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
                    self.failures_in_a_row = 0;
                    self.start_connection(stream, address);
                }
                Some(Err(error)) => self.failed(&error).await,
                None => break,
            }
            // A burst that is always ready must not keep the others from their turn.
            future::yield_now().await;
        }
    }

    /// Accepts the next connection, and notes whenever the backlog is found empty.
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

    /// The earliest time since which the next connection may wait. It holds for those behind it too, until the backlog is empty.
    fn waiting_since(&mut self) -> Micros {
        let now = self.context.clock.now();
        *self.waiting_since.get_or_insert_with(|| self.context.stall_detector.arrived_since(now))
    }

    /// Accepts all that waits in the backlog, which would be reset with the listener; how many those were. Nothing comes
    /// between the last accept and the listener's end but what arrives in that very moment.
    async fn accept_backlog(&mut self) -> usize {
        self.failures_in_a_row = 0;
        let mut accepted = 0;
        // Who ends the program drops this where it takes too long.
        loop {
            if self.is_limit_reached() && !self.registry.evict_one() {
                Timer::after(LIMIT_CHECK_INTERVAL).await;
                continue;
            }
            match self.accept_now() {
                Ok((stream, address)) => {
                    self.start_connection(stream, address);
                    accepted += 1;
                }
                // Only this says that the backlog is empty.
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return accepted,
                Err(error) => self.failed(&error).await,
            }
        }
    }

    fn accept_now(&self) -> io::Result<(Async<TcpStream>, SocketAddr)> {
        let (stream, address) = self.listener.get_ref().accept()?;
        Ok((Async::new(stream)?, address))
    }

    /// Evicts a connection for the next one. Where all are being served, what is over the limit waits in the backlog.
    async fn until_below_limit(&mut self) {
        while self.is_limit_reached() {
            self.waiting_since();
            if !self.registry.evict_one() {
                Timer::after(LIMIT_CHECK_INTERVAL).await;
            }
        }
    }

    fn is_limit_reached(&self) -> bool {
        let gauges = &self.context.gauges;
        let staying = gauges.client_connections.get().saturating_sub(self.registry.evictions_pending());
        let limit = self.context.config().max_client_connections();
        staying >= limit.saturating_sub(gauges.predecessor_connections.get())
    }

    fn start_connection(&mut self, stream: Async<TcpStream>, address: SocketAddr) {
        self.context.counters.connections_accepted.increment();
        self.context.gauges.client_connections.increment();
        let accepted = AcceptedConnection { stream, address, waiting_since: self.waiting_since() };
        let serving = connection::serve(self.context.clone(), self.registry.clone(), accepted);
        self.context.executor.spawn(serving).detach();
    }

    /// Counts and logs a failed accept, and waits before the next. The first few follow at once: an error may belong to one
    /// connection alone, and requests in the backlog run out of time while it waits. Where it goes on failing, something has run
    /// out, and the system is given time.
    async fn failed(&mut self, error: &io::Error) {
        self.waiting_since();
        self.failures_in_a_row += 1;
        let failures = self.failures_in_a_row;
        self.context.counters.accept_failures.increment();
        if failures.is_power_of_two() {
            warn!(self.context.log, "cannot accept"; "error" => %error, "in_a_row" => failures);
        }
        if failures < IMMEDIATE_RETRIES {
            return future::yield_now().await;
        }
        let pause = RETRY_PAUSE_STEP * (failures - IMMEDIATE_RETRIES + 1);
        Timer::after(pause.min(MAX_RETRY_PAUSE)).await;
    }
}
