//! Destinations' endpoints on sockets: each listens once for each forwarder, so that the caller is known. A call's
//! outcome is that of the destination's model, as in virtual time; connections, resets and silence are real.

use super::call::converse;
use super::{LiveError, LiveRun};
use async_io::{Async, Timer};
use cedarbridge::Lifecycle;
use cedarbridge_endpoint_model::Fault;
use futures_lite::future;
use socket2::{Domain, Socket, Type};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

/// Connections that wait to be accepted; the system caps it.
const BACKLOG: i32 = 1024;

/// Starts all endpoints for all forwarders.
pub fn start(run: &Rc<LiveRun>) -> Result<(), LiveError> {
    for forwarder in 0..run.world.fleet.len() {
        for endpoint in 0..run.world.list.len() {
            // An address of its own keeps its port from others while it refuses.
            let ip = [127, 100 + (forwarder % 100) as u8, (endpoint >> 8) as u8, 1 + (endpoint & 0xfe) as u8];
            let listener = listen(SocketAddr::from((ip, 0)), BACKLOG)
                .map_err(|e| LiveError::System("no address for an endpoint".into(), e))?;
            let address = listener.get_ref().local_addr().expect("bound");
            let advertised = match run.options.fault {
                Some(fault) if fault.at_calls() => {
                    super::proxy::start_call_proxy(run, endpoint, address, fault)?
                }
                _ => address,
            };
            run.addresses.borrow_mut()[forwarder].push(advertised);
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

/// A listener that accepts nothing: its backlog is full, so that new connections wait in vain.
fn unresponsive_listener(address: SocketAddr) -> std::io::Result<(Socket, Vec<Socket>)> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(0)?;
    let mut fillers = Vec::new();
    for _ in 0..2 {
        let filler = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        filler.set_nonblocking(true)?;
        // Connected or pending: either way the backlog is full.
        let _ = filler.connect(&address.into());
        fillers.push(filler);
    }
    Ok((socket, fillers))
}

/// The sockets of an endpoint: a listener, an unresponsive one, or none while it refuses connections.
struct Listening {
    listener: Option<Async<TcpListener>>,
    unresponsive: Option<(Socket, Vec<Socket>)>,
}

impl Listening {
    /// Opens and closes sockets as the destination's fault says; false if the address cannot be bound yet.
    fn follow(&mut self, fault: Option<Fault>, address: SocketAddr) -> bool {
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

/// Accepts connections, or refuses or ignores them while a fault says so.
async fn serve(
    run: Rc<LiveRun>,
    forwarder: usize,
    endpoint: usize,
    listener: Async<TcpListener>,
    address: SocketAddr,
) {
    let destination = run.world.list[endpoint].destination;
    let mut listening = Listening { listener: Some(listener), unresponsive: None };
    loop {
        let (fault, changed) = {
            let destinations = run.destinations.borrow();
            (destinations[destination].model.visible_fault(), destinations[destination].changed.1.clone())
        };
        // A removed endpoint accepts nothing, as its process has ended.
        let gone = run.list.borrow()[endpoint] == Lifecycle::Removed && run.now() > crate::world::START;
        if !listening.follow(fault, address) {
            // The unresponsive listener's sockets close in a moment.
            Timer::after(Duration::from_millis(20)).await;
            continue;
        }
        let accepted = async {
            match &listening.listener {
                Some(l) if !gone => l.accept().await.ok().map(|c| c.0),
                _ => future::pending().await,
            }
        };
        let other = async {
            // The channel's end is the change.
            let _ = changed.recv().await;
            None
        };
        match future::or(other, accepted).await {
            // The connection limit counts all forwarders together.
            Some(stream) if run.held[endpoint].get() >= run.world.connections[destination] => drop(stream),
            Some(stream) => {
                run.held[endpoint].set(run.held[endpoint].get() + 1);
                let run = run.clone();
                run.clone().spawn(async move {
                    converse(&run, forwarder, endpoint, stream).await;
                    run.held[endpoint].set(run.held[endpoint].get() - 1);
                });
            }
            None => {}
        }
    }
}
