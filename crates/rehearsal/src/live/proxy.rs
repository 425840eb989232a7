//! Faults between a forwarder and its surroundings, to test that the audit catches each: a transparent proxy repeats
//! calls, sends them within a retry_after, or drops notices.

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

/// What the proxy does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum ProxyFault {
    /// Sends every tenth call a second time, while the first is out.
    Twice,
    /// Sends every tenth call thirteen times more, one after the other.
    Thirteen,
    /// Sends a call again within the wait that its answer told.
    InWait,
    /// Sends its last call again 400 ms after its endpoint began to drain.
    AfterDrain,
    /// Sends calls under an id that nobody handed in.
    OtherId,
    /// Sends a partner that has just come back as much as it can.
    Push,
    /// Keeps every notice for itself.
    KeepNotices,
    /// Tells the other end as well with every notice.
    BothEnds,
}

impl ProxyFault {
    /// The proxy is in front of a destination's endpoints, not of the agent.
    pub fn at_calls(self) -> bool {
        !matches!(self, ProxyFault::KeepNotices | ProxyFault::BothEnds)
    }
}

fn listen() -> Result<(Async<TcpListener>, SocketAddr), LiveError> {
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0));
    let listener = listener.map_err(|e| LiveError::System("no address for a fault".into(), e))?;
    let address = listener.get_ref().local_addr().expect("bound");
    Ok((listener, address))
}

/// Starts a proxy in front of an endpoint; the list has its address.
pub(crate) fn start_call_proxy(
    run: &Rc<LiveRun>,
    endpoint: usize,
    real: SocketAddr,
    fault: ProxyFault,
) -> Result<SocketAddr, LiveError> {
    let (listener, address) = listen()?;
    let run = run.clone();
    run.clone().spawn(async move {
        let (count, last) = (Rc::new(Cell::new(0u32)), Rc::new(Cell::new(None::<Vec<u8>>)));
        match fault {
            ProxyFault::AfterDrain => run.spawn(send_after_drain(run.clone(), endpoint, real, last.clone())),
            ProxyFault::Push => run.spawn(flood_on_recovery(run.clone(), endpoint, real, last.clone())),
            _ => {}
        }
        while let Ok((stream, _)) = listener.accept().await {
            let (count, last, run) = (count.clone(), last.clone(), run.clone());
            run.clone().spawn(async move {
                // A connection that ends is no failure of the proxy.
                let _ = relay_calls(&run, HttpConnection::new(stream), real, fault, &count, &last).await;
            });
        }
    });
    Ok(address)
}

/// The call that the proxy forwards.
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

/// An answer that is passed on, with what the proxy reads of it.
struct Relayed {
    answer: Vec<u8>,
    wait_ms: Option<f64>,
    status: u16,
}

/// Sends a call and returns its answer unchanged.
async fn send(real: SocketAddr, bytes: &[u8]) -> Option<Relayed> {
    let mut connection = HttpConnection::new(Async::<TcpStream>::connect(real).await.ok()?);
    connection.write(bytes).await.ok()?;
    let head = connection.read_response().await.ok()?;
    let body = connection.response_body(&head, 1 << 20).await.ok()?;
    let mut text = format!("HTTP/1.1 {} Passed On\r\n", head.status);
    for name in ["X-RateLimit-Wait-Ms", "X-Load"] {
        if let Some(value) = head.headers.get(name) {
            text += &format!("{name}: {value}\r\n");
        }
    }
    let wait_ms = head.headers.get("X-RateLimit-Wait-Ms").and_then(|w| w.parse().ok());
    let mut answer = format!("{text}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
    answer.extend_from_slice(&body);
    Some(Relayed { answer, wait_ms, status: head.status })
}

async fn relay_calls(
    run: &Rc<LiveRun>,
    mut from: HttpConnection,
    real: SocketAddr,
    fault: ProxyFault,
    count: &Cell<u32>,
    last: &Cell<Option<Vec<u8>>>,
) -> Option<()> {
    loop {
        let head = from.read_request().await.ok()?;
        let body = from.request_body(&head, 1 << 20).await.ok()?;
        let bytes = forwarded_call(&head, &body, fault);
        count.set(count.get() + 1);
        last.set(Some(bytes.clone()));
        let tenth = count.get() % 10 == 1;
        if fault == ProxyFault::Twice && tenth {
            let bytes = bytes.clone();
            run.spawn(async move {
                send(real, &bytes).await;
            });
        }
        // The forwarder may time out meanwhile: so does the proxy.
        let sent = async { send(real, &bytes).await };
        let left = async {
            // Whatever is read or fails: the forwarder has left.
            let _ = from.fill().await;
            None
        };
        let Relayed { answer, wait_ms, status } = future::or(sent, left).await?;
        from.write(&answer).await.ok()?;
        match (fault, wait_ms) {
            (ProxyFault::InWait, Some(wait)) if wait > 250.0 => {
                run.spawn(async move {
                    Timer::after(Duration::from_millis(150)).await;
                    send(real, &bytes).await;
                });
            }
            (ProxyFault::Thirteen, _) if tenth && status == 200 => {
                run.spawn(async move {
                    for _ in 0..13 {
                        send(real, &bytes).await;
                    }
                });
            }
            _ => {}
        }
    }
}

async fn send_after_drain(
    run: Rc<LiveRun>,
    endpoint: usize,
    real: SocketAddr,
    last: Rc<Cell<Option<Vec<u8>>>>,
) {
    while run.list.borrow()[endpoint] != Lifecycle::Draining {
        Timer::after(Duration::from_millis(10)).await;
    }
    Timer::after(Duration::from_millis(400)).await;
    if let Some(bytes) = last.take() {
        send(real, &bytes).await;
    }
}

async fn flood_on_recovery(
    run: Rc<LiveRun>,
    endpoint: usize,
    real: SocketAddr,
    last: Rc<Cell<Option<Vec<u8>>>>,
) {
    let destination = run.world.list[endpoint].destination;
    let away = |t: Option<Fault>| t.is_some_and(|t| matches!(t, Fault::Hang | Fault::RefuseConnections));
    let mut was_away = false;
    loop {
        let fault = run.destinations.borrow()[destination].model.visible_fault();
        if was_away && !away(fault) {
            let Some(bytes) = last.take() else { return };
            for _ in 0..400 {
                let bytes = bytes.clone();
                run.spawn(async move {
                    send(real, &bytes).await;
                });
                Timer::after(Duration::from_millis(2)).await;
            }
            return;
        }
        was_away = away(fault);
        Timer::after(Duration::from_millis(5)).await;
    }
}

/// Starts a proxy in front of an agent.
pub(crate) fn start_agent_proxy(
    run: &Rc<LiveRun>,
    real: SocketAddr,
    fault: ProxyFault,
) -> Result<SocketAddr, LiveError> {
    let (listener, address) = listen()?;
    let run = run.clone();
    run.clone().spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            run.spawn(async move {
                // A connection that ends is no failure of the proxy.
                let _ = relay_notices(stream, real, fault).await;
            });
        }
    });
    Ok(address)
}

async fn relay_notices(stream: Async<TcpStream>, real: SocketAddr, fault: ProxyFault) -> Option<()> {
    let mut from = HttpConnection::new(stream);
    loop {
        let head = from.read_request().await.ok()?;
        if head.method == "GET" {
            // The list is passed on unchanged.
            let onward = Async::<TcpStream>::connect(real).await.ok()?;
            let text = format!("GET {} HTTP/1.1\r\nHost: agent\r\n\r\n", head.target);
            io::AsyncWriteExt::write_all(&mut (&onward), text.as_bytes()).await.ok()?;
            let client = from.socket().try_clone().ok()?;
            let client = Async::new(client).ok()?;
            io::copy(&onward, &client).await.ok()?;
            return None;
        }
        let mut body = from.request_body(&head, 1 << 22).await.ok()?;
        if fault == ProxyFault::BothEnds {
            let text = String::from_utf8_lossy(&body).into_owned();
            let other = |l: &str| match l.contains("\"failed\"") {
                true => l.replace("\"failed\"", "\"returned\""),
                false => l.replace("\"returned\"", "\"failed\""),
            };
            let both: Vec<String> = text.lines().flat_map(|l| [l.to_owned(), other(l)]).collect();
            body = both.join("\n").into_bytes();
            let mut onward = HttpConnection::new(Async::<TcpStream>::connect(real).await.ok()?);
            let head =
                format!("POST /reports HTTP/1.1\r\nHost: agent\r\nContent-Length: {}\r\n\r\n", body.len());
            onward.write(head.as_bytes()).await.ok()?;
            onward.write(&body).await.ok()?;
            onward.read_response().await.ok()?;
        }
        from.write(b"HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n").await.ok()?;
    }
}
