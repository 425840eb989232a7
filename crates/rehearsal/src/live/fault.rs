//! Faults put between a forwarder and its surroundings, to see that the audit catches each: a proxy that a forwarder
//! does not know of repeats its calls, sends during a wait, or keeps its notices. For tests of the kit alone.

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
    /// It sits before a partner's endpoints, not before the agent.
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

/// A proxy before an endpoint; its address is what the list tells.
pub(crate) fn before(
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
            ProxyFault::AfterDrain => run.spawn(after_drain(run.clone(), endpoint, real, last.clone())),
            ProxyFault::Push => run.spawn(push(run.clone(), endpoint, real, last.clone())),
            _ => {}
        }
        while let Ok((stream, _)) = listener.accept().await {
            let (count, last, run) = (count.clone(), last.clone(), run.clone());
            run.clone().spawn(async move {
                let _ = pass(&run, HttpConnection::new(stream), real, fault, &count, &last).await;
            });
        }
    });
    Ok(address)
}

/// A call as it is sent on.
fn call(head: &RequestHead, body: &[u8], fault: ProxyFault) -> Vec<u8> {
    let mut text = format!("POST {} HTTP/1.1\r\nHost: endpoint\r\n", head.target);
    for name in ["X-Request-Id", "Idempotency-Key", "X-Deadline"] {
        if let Some(value) = head.headers.get(name) {
            let odd = if fault == ProxyFault::OtherId && name == "X-Request-Id" { "-other" } else { "" };
            text += &format!("{name}: {value}{odd}\r\n");
        }
    }
    let mut bytes = format!("{text}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Sends a call and gives back the answer as it came.
async fn send(real: SocketAddr, bytes: &[u8]) -> Option<(Vec<u8>, Option<f64>, u16)> {
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
    let wait = head.headers.get("X-RateLimit-Wait-Ms").and_then(|w| w.parse().ok());
    let mut answer = format!("{text}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
    answer.extend_from_slice(&body);
    Some((answer, wait, head.status))
}

async fn pass(
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
        let bytes = call(&head, &body, fault);
        count.set(count.get() + 1);
        last.set(Some(bytes.clone()));
        let tenth = count.get() % 10 == 1;
        if fault == ProxyFault::Twice && tenth {
            let bytes = bytes.clone();
            run.spawn(async move {
                send(real, &bytes).await;
            });
        }
        // The forwarder may give up meanwhile: so does the proxy.
        let sent = async { send(real, &bytes).await };
        let left = async {
            let _ = from.fill().await;
            None
        };
        let (answer, wait, status) = future::or(sent, left).await?;
        from.write(&answer).await.ok()?;
        match (fault, wait) {
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

async fn after_drain(run: Rc<LiveRun>, endpoint: usize, real: SocketAddr, last: Rc<Cell<Option<Vec<u8>>>>) {
    while run.list.borrow()[endpoint] != Lifecycle::Draining {
        Timer::after(Duration::from_millis(10)).await;
    }
    Timer::after(Duration::from_millis(400)).await;
    if let Some(bytes) = last.take() {
        send(real, &bytes).await;
    }
}

async fn push(run: Rc<LiveRun>, endpoint: usize, real: SocketAddr, last: Rc<Cell<Option<Vec<u8>>>>) {
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

/// A proxy before an agent.
pub(crate) fn before_agent(
    run: &Rc<LiveRun>,
    real: SocketAddr,
    fault: ProxyFault,
) -> Result<SocketAddr, LiveError> {
    let (listener, address) = listen()?;
    let run = run.clone();
    run.clone().spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            run.spawn(async move {
                let _ = tell(stream, real, fault).await;
            });
        }
    });
    Ok(address)
}

async fn tell(stream: Async<TcpStream>, real: SocketAddr, fault: ProxyFault) -> Option<()> {
    let mut from = HttpConnection::new(stream);
    loop {
        let head = from.read_request().await.ok()?;
        if head.method == "GET" {
            // The list goes through as it comes.
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
