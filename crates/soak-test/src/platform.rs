//! The platform's agent for each forwarder: it pushes the endpoint list and receives delivery reports.

use crate::copies::{RequestFate, ResponseCopies};
use crate::deployment::{endpoint_kind, CAPACITY_PER_S, ZONES};
use crate::environment::{sleep, Environment, Refusal};
use crate::observation::Report;
use async_io::Async;
use cedarbridge::net::http::HttpConnection;
use futures_lite::future;
use serde_json::{json, Value};
use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How often an agent checks whether the list has changed.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// An agent sends an empty line as a heartbeat after this time without an update.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);

/// The response to delivery reports that were received.
const REPORTS_CONFIRMED: &[u8] = b"HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n";
/// The response to delivery reports that the agent does not take.
const REPORTS_REJECTED: &[u8] = b"HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n";

/// Starts an agent for a forwarder and returns its address. A forwarder may have several, as a reload may change the
/// address.
///
/// # Errors
/// The listener cannot be opened.
pub fn start(environment: &Rc<Environment>, forwarder: usize) -> io::Result<SocketAddr> {
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0))?;
    let address = listener.get_ref().local_addr()?;
    let agent_environment = environment.clone();
    environment.spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let environment = agent_environment.clone();
            agent_environment.spawn(async move {
                let _ = serve_connection(environment, forwarder, HttpConnection::new(stream)).await;
            });
        }
    });
    Ok(address)
}

/// Serves a connection of a forwarder: delivery reports, or a watch of the endpoint list.
async fn serve_connection(
    environment: Rc<Environment>,
    forwarder: usize,
    mut connection: HttpConnection,
) -> io::Result<()> {
    let mut copies = ResponseCopies::default();
    while let Ok(head) = connection.read_request().await {
        let Ok(body) = connection.request_body(&head, 4 << 20).await else { break };
        if head.method == "POST" {
            let text = String::from_utf8_lossy(&body).into_owned();
            copies.request_received(&environment, &mut connection).await;
            let response = if copies.draw_fate(&environment) == RequestFate::Refused {
                REPORTS_REJECTED
            } else {
                text.lines().for_each(|line| record_report(&environment, line));
                REPORTS_CONFIRMED
            };
            connection.write(response).await?;
            copies.response_written(&environment, &connection, response);
            continue;
        }
        return serve_watch(&environment, forwarder, &mut connection).await;
    }
    Ok(())
}

/// Tells the checker of a delivery report, given as a line of JSON.
fn record_report(environment: &Environment, line: &str) {
    let report: Value = serde_json::from_str(line).unwrap_or_default();
    let mut checker = environment.checker.borrow_mut();
    match (report["id"].as_str(), report["state"].as_str()) {
        (Some(id), Some("failed")) => checker.record_report(id, Report::Failed),
        (Some(id), Some("returned")) => checker.record_report(id, Report::Returned),
        _ => checker.record_violation("reports", format!("malformed delivery report: {line}")),
    }
}

/// Sends the endpoint list and its later changes, until the forwarder closes the watch.
async fn serve_watch(
    environment: &Rc<Environment>,
    forwarder: usize,
    connection: &mut HttpConnection,
) -> io::Result<()> {
    let discovery = environment.discovery.get();
    sleep(discovery.delay).await;
    while environment.discovery.get().silent {
        sleep(POLL_INTERVAL).await;
    }
    if let Some(refusal) = environment.discovery.get().refusal {
        return connection.write(refusal_response(refusal).as_bytes()).await;
    }
    connection.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await?;
    let mut sent_lifecycles: HashMap<usize, &'static str> = HashMap::new();
    let mut sent_generation = 0;
    let mut last_write = Instant::now();
    loop {
        let discovery = environment.discovery.get();
        if discovery.refusal.is_some_and(|refusal| refusal.ends_watches) {
            return Ok(());
        }
        if !discovery.is_reachable() {
            sleep(POLL_INTERVAL).await;
            continue;
        }
        let current_generation = environment.list_generation.get();
        if current_generation != sent_generation {
            // With slow discovery the update comes late.
            sleep(environment.discovery.get().delay).await;
            if is_watch_closed(connection).await {
                return Ok(());
            }
            let is_first = sent_generation == 0;
            sent_generation = current_generation;
            let line = list_update(environment, forwarder, &mut sent_lifecycles, is_first);
            connection.write(&encode_chunk(&line)).await?;
            last_write = Instant::now();
        } else if last_write.elapsed() > HEARTBEAT_INTERVAL {
            connection.write(&encode_chunk("\n")).await?;
            last_write = Instant::now();
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// The response to a watch that is refused.
fn refusal_response(refusal: Refusal) -> String {
    let retry_after = refusal.retry_after_s.map(|seconds| format!("Retry-After: {seconds}\r\n"));
    format!("HTTP/1.1 503 Refused\r\nContent-Length: 0\r\n{}\r\n", retry_after.unwrap_or_default())
}

/// Whether the forwarder has closed a watch, on which it sends nothing after its request. An update counts as a
/// notification, so it must not be written once the forwarder no longer reads it.
async fn is_watch_closed(connection: &mut HttpConnection) -> bool {
    future::poll_once(connection.fill()).await.is_some()
}

/// A chunk of a chunked HTTP body.
fn encode_chunk(text: &str) -> Vec<u8> {
    format!("{:x}\r\n{text}\r\n", text.len()).into_bytes()
}

/// The entries that have changed since those sent before, as a watch event. From here on the forwarder counts as notified
/// of them.
fn list_update(
    environment: &Environment,
    forwarder: usize,
    sent_lifecycles: &mut HashMap<usize, &'static str>,
    is_first: bool,
) -> String {
    let mut entries = Vec::new();
    for (number, endpoint) in environment.endpoints.borrow().iter().enumerate() {
        let lifecycle = endpoint.lifecycle.get();
        if sent_lifecycles.insert(number, lifecycle) == Some(lifecycle) || is_first && lifecycle == "left" {
            continue;
        }
        entries.push(json!({"instanceId": endpoint.name, "hostPort": endpoint.address.to_string(),
            "zone": ZONES[endpoint.zone], "machineType": endpoint_kind(endpoint.destination).name,
            "cell": endpoint.destination, "lifecycle": lifecycle, "weight": CAPACITY_PER_S, "startedAtMs": 0}));
        environment.checker.borrow_mut().record_lifecycle_notice(forwarder, number, lifecycle != "active");
    }
    json!({"generation": environment.list_generation.get(), "reset": is_first, "instances": entries})
        .to_string()
        + "\n"
}
