//! The platform's agent on each forwarder's machine: the pushed list, and notices.

use super::{clients, LiveError, LiveRun};
use crate::audit::End;
use crate::forwarder_config::entry;
use async_io::{Async, Timer};
use cedarbridge::net::http::HttpConnection;
use cedarbridge::{Lifecycle, Micros};
use futures_lite::future;
use serde_json::{json, Value};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

/// A watch sends an empty line this often.
const WATCH_HEARTBEAT: Duration = Duration::from_secs(2);
/// The largest body of notices, in bytes.
const MAX_NOTICE_BODY: usize = 4 << 20;

/// Starts the agent of a forwarder.
pub fn start(stage: &Rc<LiveRun>, forwarder: usize) -> Result<SocketAddr, LiveError> {
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0));
    let listener = listener.map_err(|e| LiveError::System("no address for an agent".into(), e))?;
    let address = listener.get_ref().local_addr().expect("bound");
    let (faulty, stage_fault) = (stage.clone(), stage.options.fault);
    let stage = stage.clone();
    stage.clone().spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            stage.clone().spawn(serve(stage.clone(), forwarder, HttpConnection::new(stream)));
        }
    });
    match stage_fault {
        Some(fault) if !fault.at_calls() => super::fault::before_agent(&faulty, address, fault),
        _ => Ok(address),
    }
}

/// Changes an endpoint's lifecycle in the list.
pub fn change(stage: &LiveRun, endpoint: usize, lifecycle: Lifecycle) {
    stage.list.borrow_mut()[endpoint] = lifecycle;
    stage.version.set(stage.version.get() + 1);
    // Closing its channel wakes a watch.
    stage.list_watchers.borrow_mut().drain(..).for_each(|n| {
        n.close();
    });
}

async fn serve(stage: Rc<LiveRun>, forwarder: usize, mut connection: HttpConnection) {
    while let Ok(head) = connection.read_request().await {
        let Ok(body) = connection.request_body(&head, MAX_NOTICE_BODY).await else { return };
        let answered = match (head.method.as_str(), head.target.split('?').next().unwrap_or_default()) {
            ("POST", "/reports") => {
                let status =
                    if notices(&stage, forwarder, &body) { "204 No Content" } else { "400 Bad Request" };
                connection.write(format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n").as_bytes()).await
            }
            ("GET", "/catalog/members") if head.target.contains("watch=1") => {
                let _ = watch(&stage, forwarder, &mut connection).await;
                return;
            }
            ("GET", "/catalog/members") => {
                let list = complete_list(&stage, forwarder).to_string();
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

fn complete_list(stage: &LiveRun, forwarder: usize) -> Value {
    let addresses = stage.addresses.borrow();
    let list = stage.list.borrow();
    let held = list.iter().enumerate().filter(|(_, l)| **l != Lifecycle::Removed);
    let all: Vec<Value> = held.map(|(e, l)| entry(&stage.world, e, *l, addresses[forwarder][e])).collect();
    json!({"generation": stage.version.get(), "reset": true, "instances": all})
}

async fn chunk(connection: &mut HttpConnection, text: &str) -> std::io::Result<()> {
    connection.write(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()).await
}

/// Sends the list and each change of it; what is written counts as received.
async fn watch(
    stage: &Rc<LiveRun>,
    forwarder: usize,
    connection: &mut HttpConnection,
) -> std::io::Result<()> {
    connection.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await?;
    let mut known: Vec<Lifecycle> = vec![Lifecycle::Removed; stage.world.list.len()];
    let mut first = true;
    loop {
        let (sender, changed) = async_channel::bounded::<()>(1);
        stage.list_watchers.borrow_mut().push(sender);
        let now: Vec<Lifecycle> = stage.list.borrow().clone();
        let line = if first {
            complete_list(stage, forwarder)
        } else {
            let addresses = stage.addresses.borrow();
            let changes = (0..now.len()).filter(|e| now[*e] != known[*e]);
            let changes: Vec<Value> =
                changes.map(|e| entry(&stage.world, e, now[e], addresses[forwarder][e])).collect();
            json!({"generation": stage.version.get(), "reset": false, "instances": changes})
        };
        chunk(connection, &format!("{line}\n")).await?;
        let at = stage.now();
        for (endpoint, lifecycle) in now.iter().enumerate() {
            if first || known[endpoint] != *lifecycle {
                stage.audit.borrow_mut().lists(at, forwarder, endpoint, *lifecycle);
            }
        }
        (known, first) = (now, false);
        loop {
            let changes = async {
                let _ = changed.recv().await;
                true
            };
            let quiet = async {
                Timer::after(WATCH_HEARTBEAT).await;
                false
            };
            if future::or(changes, quiet).await {
                break;
            }
            chunk(connection, "\n").await?;
        }
    }
}

/// Reads notices; false if a line is malformed.
fn notices(stage: &Rc<LiveRun>, forwarder: usize, body: &[u8]) -> bool {
    let text = String::from_utf8_lossy(body);
    let lines: Option<Vec<(String, End, Option<Micros>)>> =
        text.lines().filter(|l| !l.trim().is_empty()).map(notice).collect();
    let Some(lines) = lines else { return false };
    for (id, end, after) in lines {
        let message = stage.ids.borrow().get(&id).copied();
        let Some(message) = message else {
            let now = stage.now();
            stage.audit.borrow_mut().stray(
                now,
                forwarder,
                format!("a notice of `{id}`, which nobody handed in"),
            );
            continue;
        };
        let was_open = stage.audit.borrow().open_at(message);
        stage.ended(message, end, true);
        if end == End::Refused && was_open {
            clients::refused(stage, message, after);
        }
    }
    true
}

fn notice(line: &str) -> Option<(String, End, Option<Micros>)> {
    let v: Value = serde_json::from_str(line).ok()?;
    let end = match v["state"].as_str()? {
        "failed" => End::Failed,
        "returned" => End::Refused,
        _ => return None,
    };
    Some((v["id"].as_str()?.to_owned(), end, v["after_ms"].as_f64().map(|ms| (ms * 1e3) as Micros)))
}
