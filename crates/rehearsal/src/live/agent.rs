//! The platform's agent on each forwarder's machine: it pushes the endpoint list and receives delivery reports.

use super::{clients, LiveError, LiveRun};
use crate::audit::MessageEnd;
use crate::forwarder_config::endpoint_entry_json;
use async_io::{Async, Timer};
use cedarbridge::net::http::HttpConnection;
use cedarbridge::{Lifecycle, Micros};
use futures_lite::future;
use serde_json::{json, Value};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

/// The time between two empty lines on a watch without changes.
const WATCH_HEARTBEAT: Duration = Duration::from_secs(2);
/// The largest body of a request with delivery reports, in bytes.
const MAX_REPORTS_BODY: usize = 4 << 20;

/// Starts the agent of a forwarder and returns the address that the forwarder uses.
///
/// # Errors
/// No address can be bound.
pub fn start(run: &Rc<LiveRun>, forwarder: usize) -> Result<SocketAddr, LiveError> {
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0));
    let listener =
        listener.map_err(|e| LiveError::System("cannot bind an address for an agent".into(), e))?;
    let address = listener.get_ref().local_addr().expect("the listener is bound");
    let (proxy_run, proxy_fault) = (run.clone(), run.options.proxy_fault);
    let run = run.clone();
    run.clone().spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            run.clone().spawn(serve(run.clone(), forwarder, HttpConnection::new(stream)));
        }
    });
    match proxy_fault {
        Some(fault) if !fault.is_call_fault() => super::proxy::start_agent_proxy(&proxy_run, address, fault),
        _ => Ok(address),
    }
}

/// Changes an endpoint's lifecycle in the list, and wakes the watches.
pub fn change_lifecycle(run: &LiveRun, endpoint: usize, lifecycle: Lifecycle) {
    run.lifecycles.borrow_mut()[endpoint] = lifecycle;
    run.list_version.set(run.list_version.get() + 1);
    // Closing a watch's channel wakes the watch.
    run.list_watchers.borrow_mut().drain(..).for_each(|watcher| {
        watcher.close();
    });
}

/// Answers the requests on a forwarder's connection to its agent.
async fn serve(run: Rc<LiveRun>, forwarder: usize, mut connection: HttpConnection) {
    while let Ok(head) = connection.read_request().await {
        let Ok(body) = connection.request_body(&head, MAX_REPORTS_BODY).await else { return };
        let answered = match (head.method.as_str(), head.target.split('?').next().unwrap_or_default()) {
            ("POST", "/reports") => {
                let status = if receive_delivery_reports(&run, forwarder, &body) {
                    "204 No Content"
                } else {
                    "400 Bad Request"
                };
                connection.write(format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n").as_bytes()).await
            }
            ("GET", "/catalog/members") if head.target.contains("watch=1") => {
                // The watch ends with its connection; the forwarder opens another.
                let _ = watch(&run, forwarder, &mut connection).await;
                return;
            }
            ("GET", "/catalog/members") => {
                let list = complete_list(&run, forwarder).to_string();
                let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", list.len());
                connection.write((head + &list).as_bytes()).await
            }
            _ => connection.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n").await,
        };
        if answered.is_err() {
            return;
        }
    }
}

/// The complete endpoint list, in the agent's JSON.
fn complete_list(run: &LiveRun, forwarder: usize) -> Value {
    let addresses = run.endpoint_addresses.borrow();
    let lifecycles = run.lifecycles.borrow();
    let present = lifecycles.iter().enumerate().filter(|(_, l)| **l != Lifecycle::Removed);
    let entries: Vec<Value> =
        present.map(|(e, l)| endpoint_entry_json(&run.environment, e, *l, addresses[forwarder][e])).collect();
    json!({"generation": run.list_version.get(), "reset": true, "instances": entries})
}

/// Writes a chunk of a chunked body.
async fn write_chunk(connection: &mut HttpConnection, text: &str) -> std::io::Result<()> {
    connection.write(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()).await
}

/// Sends the list and each change of it until the connection ends. For the audit, what is written counts as received.
async fn watch(run: &Rc<LiveRun>, forwarder: usize, connection: &mut HttpConnection) -> std::io::Result<()> {
    connection.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await?;
    let mut known: Vec<Lifecycle> = vec![Lifecycle::Removed; run.environment.endpoints.len()];
    let mut is_first = true;
    loop {
        let (sender, list_change) = async_channel::bounded::<()>(1);
        run.list_watchers.borrow_mut().push(sender);
        let current: Vec<Lifecycle> = run.lifecycles.borrow().clone();
        let line = if is_first {
            complete_list(run, forwarder)
        } else {
            let addresses = run.endpoint_addresses.borrow();
            let changes = (0..current.len()).filter(|e| current[*e] != known[*e]);
            let changes: Vec<Value> = changes
                .map(|e| endpoint_entry_json(&run.environment, e, current[e], addresses[forwarder][e]))
                .collect();
            json!({"generation": run.list_version.get(), "reset": false, "instances": changes})
        };
        write_chunk(connection, &format!("{line}\n")).await?;
        let at = run.now();
        for (endpoint, lifecycle) in current.iter().enumerate() {
            if is_first || known[endpoint] != *lifecycle {
                run.audit.borrow_mut().lifecycle_received(at, forwarder, endpoint, *lifecycle);
            }
        }
        (known, is_first) = (current, false);
        loop {
            let changed = async {
                // The channel is closed at a change.
                let _ = list_change.recv().await;
                true
            };
            let heartbeat_due = async {
                Timer::after(WATCH_HEARTBEAT).await;
                false
            };
            if future::or(changed, heartbeat_due).await {
                break;
            }
            write_chunk(connection, "\n").await?;
        }
    }
}

/// Reads the delivery reports in a body, one a line. Returns false, and reads none, if a line is malformed.
fn receive_delivery_reports(run: &Rc<LiveRun>, forwarder: usize, body: &[u8]) -> bool {
    let text = String::from_utf8_lossy(body);
    let lines: Option<Vec<(String, MessageEnd, Option<Micros>)>> =
        text.lines().filter(|l| !l.trim().is_empty()).map(parse_delivery_report).collect();
    let Some(lines) = lines else { return false };
    for (id, end, retry_after) in lines {
        let message = run.message_ids.borrow().get(&id).copied();
        let Some(message) = message else {
            let now = run.now();
            run.audit.borrow_mut().record_stray_message(
                now,
                forwarder,
                format!("a notice of `{id}`, which nobody handed in"),
            );
            continue;
        };
        let was_open = run.audit.borrow().is_open(message);
        run.message_ended(message, end, true);
        if end == MessageEnd::Rejected && was_open {
            clients::retry_after_rejection(run, message, retry_after);
        }
    }
    true
}

/// A delivery report's message id, end and `retry_after`; `None` if the line is malformed.
fn parse_delivery_report(line: &str) -> Option<(String, MessageEnd, Option<Micros>)> {
    let report: Value = serde_json::from_str(line).ok()?;
    let end = match report["state"].as_str()? {
        "failed" => MessageEnd::Failed,
        "returned" => MessageEnd::Rejected,
        _ => return None,
    };
    Some((report["id"].as_str()?.to_owned(), end, report["after_ms"].as_f64().map(|ms| (ms * 1e3) as Micros)))
}
