//! Proxies between a forwarder and its peers that violate the delivery rules on purpose, to test that the audit detects
//! each violation. A proxy repeats calls, sends them within a `retry_after`, or drops delivery reports, for example.

use super::{LiveError, LiveRun};
use async_io::{Async, Timer};
use cedarbridge::net::http::{HttpConnection, RequestHead};
use cedarbridge::Lifecycle;
use cedarbridge_endpoint_model::Fault;
use futures_lite::{future, io};
use std::cell::Cell;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// The fault that a proxy adds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum ProxyFault {
    /// Sends every tenth call a second time, while the first is in flight
    Twice,
    /// Sends every tenth call thirteen more times, one after the other
    Thirteen,
    /// Sends a rejected call again within the `retry_after` of the response
    InWait,
    /// Sends its last call again 400 ms after its endpoint began to drain
    AfterDrain,
    /// Sends calls with a message id that no client sent
    OtherId,
    /// Floods a destination that has just recovered
    Push,
    /// Drops every notice
    KeepNotices,
    /// Sends each notice a second time with the opposite end
    BothEnds,
}

impl ProxyFault {
    /// Whether the proxy is between the forwarder and the endpoints. If not, it is between the forwarder and its agent.
    pub fn is_call_fault(self) -> bool {
        !matches!(self, ProxyFault::KeepNotices | ProxyFault::BothEnds)
    }
}

/// Opens the listener of a proxy.
fn listen() -> Result<(Async<TcpListener>, SocketAddr), LiveError> {
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0));
    let listener = listener.map_err(|e| LiveError::System("cannot bind an address for a proxy".into(), e))?;
    let address = listener.get_ref().local_addr().expect("the listener is bound");
    Ok((listener, address))
}

/// Starts a proxy in front of an endpoint, and returns the address to put into the endpoint list.
pub(crate) fn start_call_proxy(
    run: &Rc<LiveRun>,
    endpoint: usize,
    upstream: SocketAddr,
    fault: ProxyFault,
) -> Result<SocketAddr, LiveError> {
    let (listener, address) = listen()?;
    let run = run.clone();
    run.clone().spawn(async move {
        let (call_count, last_call) = (Rc::new(Cell::new(0u32)), Rc::new(Cell::new(None::<Vec<u8>>)));
        match fault {
            ProxyFault::AfterDrain => {
                run.spawn(send_after_drain(run.clone(), endpoint, upstream, last_call.clone()))
            }
            ProxyFault::Push => {
                run.spawn(flood_on_recovery(run.clone(), endpoint, upstream, last_call.clone()))
            }
            _ => {}
        }
        while let Ok((stream, _)) = listener.accept().await {
            let (call_count, last_call, run) = (call_count.clone(), last_call.clone(), run.clone());
            run.clone().spawn(async move {
                // The end of a connection is not an error of the proxy.
                let _ =
                    relay_calls(&run, HttpConnection::new(stream), upstream, fault, &call_count, &last_call)
                        .await;
            });
        }
    });
    Ok(address)
}

/// The bytes of the call that the proxy forwards.
fn forwarded_call(head: &RequestHead, body: &[u8], fault: ProxyFault) -> Vec<u8> {
    let mut text = format!("POST {} HTTP/1.1\r\nHost: endpoint\r\n", head.target);
    for name in ["X-Request-Id", "Idempotency-Key", "X-Deadline"] {
        if let Some(value) = head.headers.get(name) {
            let suffix = if fault == ProxyFault::OtherId && name == "X-Request-Id" { "-other" } else { "" };
            text += &format!("{name}: {value}{suffix}\r\n");
        }
    }
    let mut bytes = format!("{text}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// A response that the proxy relays, with the fields that the proxy reads.
struct RelayedResponse {
    bytes: Vec<u8>,
    retry_after_ms: Option<f64>,
    status: u16,
}

/// Sends a call and returns its response; `None` if the connection fails.
async fn send(upstream: SocketAddr, bytes: &[u8]) -> Option<RelayedResponse> {
    let mut connection = HttpConnection::new(Async::<TcpStream>::connect(upstream).await.ok()?);
    connection.write(bytes).await.ok()?;
    let head = connection.read_response().await.ok()?;
    let body = connection.response_body(&head, 1 << 20).await.ok()?;
    let mut text = format!("HTTP/1.1 {} Passed On\r\n", head.status);
    for name in ["X-RateLimit-Wait-Ms", "X-Load"] {
        if let Some(value) = head.headers.get(name) {
            text += &format!("{name}: {value}\r\n");
        }
    }
    let retry_after_ms = head.headers.get("X-RateLimit-Wait-Ms").and_then(|w| w.parse().ok());
    let mut response = format!("{text}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
    response.extend_from_slice(&body);
    Some(RelayedResponse { bytes: response, retry_after_ms, status: head.status })
}

/// Relays the calls on a forwarder's connection, and adds the fault. Returns when the connection ends.
async fn relay_calls(
    run: &Rc<LiveRun>,
    mut client: HttpConnection,
    upstream: SocketAddr,
    fault: ProxyFault,
    call_count: &Cell<u32>,
    last_call: &Cell<Option<Vec<u8>>>,
) -> Option<()> {
    loop {
        let head = client.read_request().await.ok()?;
        let body = client.request_body(&head, 1 << 20).await.ok()?;
        let bytes = forwarded_call(&head, &body, fault);
        call_count.set(call_count.get() + 1);
        last_call.set(Some(bytes.clone()));
        let is_tenth = call_count.get() % 10 == 1;
        if fault == ProxyFault::Twice && is_tenth {
            let bytes = bytes.clone();
            run.spawn(async move {
                send(upstream, &bytes).await;
            });
        }
        // If the forwarder closes the connection after its timeout, the proxy ends, too.
        let responded = async { send(upstream, &bytes).await };
        let closed = async {
            // A forwarder sends nothing before the response, so the connection has ended.
            let _ = client.fill().await;
            None
        };
        let RelayedResponse { bytes: response, retry_after_ms, status } =
            future::or(responded, closed).await?;
        client.write(&response).await.ok()?;
        match (fault, retry_after_ms) {
            (ProxyFault::InWait, Some(retry_after)) if retry_after > 250.0 => {
                run.spawn(async move {
                    Timer::after(Duration::from_millis(150)).await;
                    send(upstream, &bytes).await;
                });
            }
            (ProxyFault::Thirteen, _) if is_tenth && status == 200 => {
                run.spawn(async move {
                    for _ in 0..13 {
                        send(upstream, &bytes).await;
                    }
                });
            }
            _ => {}
        }
    }
}

/// Sends the last call again after its endpoint began to drain.
async fn send_after_drain(
    run: Rc<LiveRun>,
    endpoint: usize,
    upstream: SocketAddr,
    last_call: Rc<Cell<Option<Vec<u8>>>>,
) {
    while run.lifecycles.borrow()[endpoint] != Lifecycle::Draining {
        Timer::after(Duration::from_millis(10)).await;
    }
    Timer::after(Duration::from_millis(400)).await;
    if let Some(bytes) = last_call.take() {
        send(upstream, &bytes).await;
    }
}

/// Sends the last call 400 times as soon as its destination has recovered from an outage.
async fn flood_on_recovery(
    run: Rc<LiveRun>,
    endpoint: usize,
    upstream: SocketAddr,
    last_call: Rc<Cell<Option<Vec<u8>>>>,
) {
    let destination = run.environment.endpoints[endpoint].destination;
    let is_outage =
        |fault: Option<Fault>| fault.is_some_and(|f| matches!(f, Fault::Hang | Fault::RefuseConnections));
    let mut was_down = false;
    loop {
        let fault = run.destinations.borrow()[destination].model.dominant_fault();
        if was_down && !is_outage(fault) {
            let Some(bytes) = last_call.take() else { return };
            for _ in 0..400 {
                let bytes = bytes.clone();
                run.spawn(async move {
                    send(upstream, &bytes).await;
                });
                Timer::after(Duration::from_millis(2)).await;
            }
            return;
        }
        was_down = is_outage(fault);
        Timer::after(Duration::from_millis(5)).await;
    }
}

/// Starts a proxy in front of an agent, and returns its address.
pub(crate) fn start_agent_proxy(
    run: &Rc<LiveRun>,
    upstream: SocketAddr,
    fault: ProxyFault,
) -> Result<SocketAddr, LiveError> {
    let (listener, address) = listen()?;
    let run = run.clone();
    run.clone().spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            run.spawn(async move {
                // The end of a connection is not an error of the proxy.
                let _ = relay_delivery_reports(stream, upstream, fault).await;
            });
        }
    });
    Ok(address)
}

/// Relays the requests on a forwarder's connection to its agent, and adds the fault to delivery reports.
async fn relay_delivery_reports(
    stream: Async<TcpStream>,
    upstream: SocketAddr,
    fault: ProxyFault,
) -> Option<()> {
    let mut client = HttpConnection::new(stream);
    loop {
        let head = client.read_request().await.ok()?;
        if head.method == "GET" {
            // The endpoint list is relayed unchanged.
            let agent = Async::<TcpStream>::connect(upstream).await.ok()?;
            let text = format!("GET {} HTTP/1.1\r\nHost: agent\r\n\r\n", head.target);
            io::AsyncWriteExt::write_all(&mut (&agent), text.as_bytes()).await.ok()?;
            let socket = client.socket().try_clone().ok()?;
            let socket = Async::new(socket).ok()?;
            io::copy(&agent, &socket).await.ok()?;
            return None;
        }
        let mut body = client.request_body(&head, 1 << 22).await.ok()?;
        if fault == ProxyFault::BothEnds {
            let text = String::from_utf8_lossy(&body).into_owned();
            let opposite = |line: &str| match line.contains("\"failed\"") {
                true => line.replace("\"failed\"", "\"returned\""),
                false => line.replace("\"returned\"", "\"failed\""),
            };
            let both: Vec<String> = text.lines().flat_map(|line| [line.to_owned(), opposite(line)]).collect();
            body = both.join("\n").into_bytes();
            let mut agent = HttpConnection::new(Async::<TcpStream>::connect(upstream).await.ok()?);
            let head =
                format!("POST /reports HTTP/1.1\r\nHost: agent\r\nContent-Length: {}\r\n\r\n", body.len());
            agent.write(head.as_bytes()).await.ok()?;
            agent.write(&body).await.ok()?;
            agent.read_response().await.ok()?;
        }
        client.write(b"HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n").await.ok()?;
    }
}
