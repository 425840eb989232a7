//! The platform's agent beside each forwarder: the pushed list, and reports.

use crate::judge::Report;
use crate::world::{sleep, World};
use async_io::Async;
use cedarbridge::net::http::HttpConnection;
use serde_json::{json, Value};
use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How often an agent looks for something to tell, and how often an empty line comes.
const LOOK: Duration = Duration::from_millis(5);
const ALIVE: Duration = Duration::from_secs(2);

/// Begins an agent of a forwarder, and says where it listens. One forwarder may have several: a reload moves it.
pub fn begin(world: &Rc<World>, forwarder: usize) -> io::Result<SocketAddr> {
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

async fn serve(world: Rc<World>, forwarder: usize, mut wire: HttpConnection) -> io::Result<()> {
    while let Ok(head) = wire.read_request().await {
        let Ok(body) = wire.request_body(&head, 4 << 20).await else { break };
        if head.method == "POST" {
            let text = String::from_utf8_lossy(&body).into_owned();
            text.lines().for_each(|line| report(&world, line));
            wire.write(b"HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n").await?;
            continue;
        }
        return watch(&world, forwarder, &mut wire).await;
    }
    Ok(())
}

fn report(world: &World, line: &str) {
    let told: Value = serde_json::from_str(line).unwrap_or_default();
    let mut judge = world.judge.borrow_mut();
    match (told["id"].as_str(), told["state"].as_str()) {
        (Some(id), Some("failed")) => judge.reported(id, Report::Failed),
        (Some(id), Some("returned")) => judge.reported(id, Report::Returned),
        _ => judge.violate("reports", format!("a report that cannot be read: {line}")),
    }
}

async fn watch(world: &Rc<World>, forwarder: usize, wire: &mut HttpConnection) -> io::Result<()> {
    let discovery = world.discovery.get();
    sleep(discovery.slow).await;
    while world.discovery.get().silent {
        sleep(LOOK).await;
    }
    wire.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await?;
    let mut known: HashMap<usize, &'static str> = HashMap::new();
    let mut generation = 0;
    let mut last = Instant::now();
    loop {
        if world.discovery.get().silent {
            sleep(LOOK).await;
            continue;
        }
        let now = world.generation.get();
        if now != generation {
            // Slow discovery learns late, and has then been told.
            sleep(world.discovery.get().slow).await;
            let first = generation == 0;
            generation = now;
            let line = list(world, forwarder, &mut known, first);
            wire.write(&chunk(&line)).await?;
            last = Instant::now();
        } else if last.elapsed() > ALIVE {
            wire.write(&chunk("\n")).await?;
            last = Instant::now();
        }
        sleep(LOOK).await;
    }
}

fn chunk(text: &str) -> Vec<u8> {
    format!("{:x}\r\n{text}\r\n", text.len()).into_bytes()
}

/// What has changed, as a line; it counts as told from here on.
fn list(world: &World, forwarder: usize, known: &mut HashMap<usize, &'static str>, first: bool) -> String {
    let mut entries = Vec::new();
    for (number, e) in world.endpoints.borrow().iter().enumerate() {
        let lifecycle = e.lifecycle.get();
        if known.insert(number, lifecycle) == Some(lifecycle) || first && lifecycle == "left" {
            continue;
        }
        entries.push(json!({"instanceId": e.name, "hostPort": e.address.to_string(), "zone": ZONES[e.zone],
            "machineType": "one", "cell": e.destination, "lifecycle": lifecycle, "weight": 200.0, "startedAtMs": 0}));
        world.judge.borrow_mut().told(forwarder, number, lifecycle != "active");
    }
    json!({"generation": world.generation.get(), "reset": first, "instances": entries}).to_string() + "\n"
}

/// The zones.
pub const ZONES: [&str; 2] = ["east", "west"];
