//! The destinations' endpoints on sockets. Each endpoint has one listener for each forwarder, so that the caller is known.
//! The destination's model decides the outcome of a call, as in virtual time; connections and resets are real.

use super::call::serve_connection;
use super::{LiveError, LiveRun};
use async_io::{Async, Timer};
use cedarbridge::Lifecycle;
use cedarbridge_endpoint_model::Fault;
use futures_lite::future;
use socket2::{Domain, Socket, Type};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

/// The number of connections that may wait to be accepted; the system may set a lower limit.
const BACKLOG: i32 = 1024;

/// Starts all endpoints for all forwarders.
///
/// # Errors
/// An address cannot be bound.
pub fn start(run: &Rc<LiveRun>) -> Result<(), LiveError> {
    for forwarder in 0..run.environment.fleet.len() {
        for endpoint in 0..run.environment.endpoints.len() {
            // No other program uses these addresses, so that none takes an endpoint's port while it refuses connections.
            let ip = [127, 100 + (forwarder % 100) as u8, (endpoint >> 8) as u8, 1 + (endpoint & 0xfe) as u8];
            let listener = listen(SocketAddr::from((ip, 0)), BACKLOG)
                .map_err(|e| LiveError::System("cannot bind an address for an endpoint".into(), e))?;
            let address = listener.get_ref().local_addr().expect("the listener is bound");
            let advertised = match run.options.proxy_fault {
                Some(fault) if fault.is_call_fault() => {
                    super::proxy::start_call_proxy(run, endpoint, address, fault)?
                }
                _ => address,
            };
            run.endpoint_addresses.borrow_mut()[forwarder].push(advertised);
            run.clone().spawn(serve(run.clone(), forwarder, endpoint, listener, address));
        }
    }
    Ok(())
}

fn listen(address: SocketAddr, backlog: i32) -> std::io::Result<Async<TcpListener>> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(backlog)?;
    Async::new(socket.into())
}

/// Opens a listener whose backlog is full, so that new connections are never established. Also returns the sockets that
/// fill the backlog.
fn unresponsive_listener(address: SocketAddr) -> std::io::Result<(Socket, Vec<Socket>)> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(0)?;
    let mut fillers = Vec::new();
    for _ in 0..2 {
        let filler = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        filler.set_nonblocking(true)?;
        // A connected and a pending socket both fill the backlog.
        let _ = filler.connect(&address.into());
        fillers.push(filler);
    }
    Ok((socket, fillers))
}

/// The sockets of an endpoint: a listener, an unresponsive listener, or neither while it refuses connections.
struct EndpointSockets {
    listener: Option<Async<TcpListener>>,
    unresponsive: Option<(Socket, Vec<Socket>)>,
}

impl EndpointSockets {
    /// Opens and closes sockets for the destination's fault. Returns false if the address cannot be bound yet.
    fn apply_fault(&mut self, fault: Option<Fault>, address: SocketAddr) -> bool {
        match fault {
            Some(Fault::RefuseConnections) => (self.listener, self.unresponsive) = (None, None),
            Some(Fault::Silent) if self.unresponsive.is_some() => {}
            Some(Fault::Silent) => {
                self.listener = None;
                self.unresponsive = unresponsive_listener(address).ok();
            }
            _ if self.listener.is_none() => {
                self.unresponsive = None;
                self.listener = listen(address, BACKLOG).ok();
                return self.listener.is_some();
            }
            _ => {}
        }
        true
    }
}

/// Accepts connections, or refuses or ignores them during a fault.
async fn serve(
    run: Rc<LiveRun>,
    forwarder: usize,
    endpoint: usize,
    listener: Async<TcpListener>,
    address: SocketAddr,
) {
    let destination = run.environment.endpoints[endpoint].destination;
    let mut sockets = EndpointSockets { listener: Some(listener), unresponsive: None };
    loop {
        let (fault, fault_change) = {
            let destinations = run.destinations.borrow();
            (
                destinations[destination].model.dominant_fault(),
                destinations[destination].fault_change.1.clone(),
            )
        };
        // A removed endpoint accepts no connections, as if its process had ended.
        let is_removed = run.lifecycles.borrow()[endpoint] == Lifecycle::Removed
            && run.now() > crate::environment::RUN_START;
        if !sockets.apply_fault(fault, address) {
            // The sockets of the unresponsive listener are still being closed.
            Timer::after(Duration::from_millis(20)).await;
            continue;
        }
        let accepted = async {
            match &sockets.listener {
                Some(l) if !is_removed => l.accept().await.ok().map(|c| c.0),
                _ => future::pending().await,
            }
        };
        let fault_changed = async {
            // The channel is closed at a change.
            let _ = fault_change.recv().await;
            None
        };
        match future::or(fault_changed, accepted).await {
            // The connection limit applies to all forwarders together.
            Some(stream)
                if run.open_connections[endpoint].get() >= run.environment.max_connections[destination] =>
            {
                drop(stream)
            }
            Some(stream) => {
                run.open_connections[endpoint].set(run.open_connections[endpoint].get() + 1);
                let run = run.clone();
                run.clone().spawn(async move {
                    serve_connection(&run, forwarder, endpoint, stream).await;
                    run.open_connections[endpoint].set(run.open_connections[endpoint].get() - 1);
                });
            }
            None => {}
        }
    }
}
