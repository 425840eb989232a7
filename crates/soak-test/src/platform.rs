//! The platform's agent beside each forwarder: the pushed endpoint list, and delivery reports.

use crate::deployment::{kind, CAPACITY_PER_S, ZONES};
use crate::observation::Report;
use crate::world::{sleep, World};
use async_io::Async;
use cedarbridge::net::http::HttpConnection;
use futures_lite::future;
use serde_json::{json, Value};
use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How often an agent looks for a change of the list.
const POLL: Duration = Duration::from_millis(5);
/// How often it sends an empty line as a heartbeat.
const HEARTBEAT: Duration = Duration::from_secs(2);

/// Starts an agent of a forwarder, and returns its address. One forwarder may have several: a reload moves it.
pub fn start(world: &Rc<World>, forwarder: usize) -> io::Result<SocketAddr> {
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0))?;
    let address = listener.get_ref().local_addr()?;
    let serving = world.clone();
    world.spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let world = serving.clone();
            serving.spawn(async move {
                let _ = serve(world, forwarder, HttpConnection::new(stream)).await;
            });
        }
    });
    Ok(address)
}

async fn serve(world: Rc<World>, forwarder: usize, mut connection: HttpConnection) -> io::Result<()> {
    while let Ok(head) = connection.read_request().await {
        let Ok(body) = connection.request_body(&head, 4 << 20).await else { break };
        if head.method == "POST" {
            let text = String::from_utf8_lossy(&body).into_owned();
            text.lines().for_each(|line| report(&world, line));
            connection.write(b"HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n").await?;
            continue;
        }
        return watch(&world, forwarder, &mut connection).await;
    }
    Ok(())
}

fn report(world: &World, line: &str) {
    let report: Value = serde_json::from_str(line).unwrap_or_default();
    let mut checker = world.checker.borrow_mut();
    match (report["id"].as_str(), report["state"].as_str()) {
        (Some(id), Some("failed")) => checker.reported(id, Report::Failed),
        (Some(id), Some("returned")) => checker.reported(id, Report::Returned),
        _ => checker.violate("reports", format!("a report that cannot be read: {line}")),
    }
}

async fn watch(world: &Rc<World>, forwarder: usize, connection: &mut HttpConnection) -> io::Result<()> {
    let discovery = world.discovery.get();
    sleep(discovery.slow).await;
    while world.discovery.get().silent {
        sleep(POLL).await;
    }
    connection.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await?;
    let mut known: HashMap<usize, &'static str> = HashMap::new();
    let mut generation = 0;
    let mut last = Instant::now();
    loop {
        if world.discovery.get().silent {
            sleep(POLL).await;
            continue;
        }
        let now = world.generation.get();
        if now != generation {
            // Slow discovery learns of the change late.
            sleep(world.discovery.get().slow).await;
            if is_closed(connection).await {
                return Ok(());
            }
            let first = generation == 0;
            generation = now;
            let line = list(world, forwarder, &mut known, first);
            connection.write(&chunk(&line)).await?;
            last = Instant::now();
        } else if last.elapsed() > HEARTBEAT {
            connection.write(&chunk("\n")).await?;
            last = Instant::now();
        }
        sleep(POLL).await;
    }
}

/// Whether the forwarder has left a watch, which sends nothing after its request. What would be written on it counts as notified
/// where the forwarder may still read it.
async fn is_closed(connection: &mut HttpConnection) -> bool {
    future::poll_once(connection.fill()).await.is_some()
}

fn chunk(text: &str) -> Vec<u8> {
    format!("{:x}\r\n{text}\r\n", text.len()).into_bytes()
}

/// What has changed, as a watch event; the forwarder counts as notified from here on.
fn list(world: &World, forwarder: usize, known: &mut HashMap<usize, &'static str>, first: bool) -> String {
    let mut entries = Vec::new();
    for (number, e) in world.endpoints.borrow().iter().enumerate() {
        let lifecycle = e.lifecycle.get();
        if known.insert(number, lifecycle) == Some(lifecycle) || first && lifecycle == "left" {
            continue;
        }
        entries.push(json!({"instanceId": e.name, "hostPort": e.address.to_string(), "zone": ZONES[e.zone],
            "machineType": kind(e.destination).name, "cell": e.destination, "lifecycle": lifecycle, "weight": CAPACITY_PER_S, "startedAtMs": 0}));
        world.checker.borrow_mut().lifecycle_notified(forwarder, number, lifecycle != "active");
    }
    json!({"generation": world.generation.get(), "reset": first, "instances": entries}).to_string() + "\n"
}
