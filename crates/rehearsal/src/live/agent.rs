//! The platform's agent on each forwarder's machine: the pushed list, and notices.

use super::{clients, LiveError, LiveRun};
use crate::audit::MessageEnd;
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
pub fn start(run: &Rc<LiveRun>, forwarder: usize) -> Result<SocketAddr, LiveError> {
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0));
    let listener = listener.map_err(|e| LiveError::System("no address for an agent".into(), e))?;
    let address = listener.get_ref().local_addr().expect("bound");
    let (faulty, proxy_fault) = (run.clone(), run.options.fault);
    let run = run.clone();
    run.clone().spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            run.clone().spawn(serve(run.clone(), forwarder, HttpConnection::new(stream)));
        }
    });
    match proxy_fault {
        Some(fault) if !fault.at_calls() => super::proxy::start_agent_proxy(&faulty, address, fault),
        _ => Ok(address),
    }
}

/// Changes an endpoint's lifecycle in the list.
pub fn change(run: &LiveRun, endpoint: usize, lifecycle: Lifecycle) {
    run.list.borrow_mut()[endpoint] = lifecycle;
    run.version.set(run.version.get() + 1);
    // Closing its channel wakes a watch.
    run.list_watchers.borrow_mut().drain(..).for_each(|n| {
        n.close();
    });
}

async fn serve(run: Rc<LiveRun>, forwarder: usize, mut connection: HttpConnection) {
    while let Ok(head) = connection.read_request().await {
        let Ok(body) = connection.request_body(&head, MAX_NOTICE_BODY).await else { return };
        let answered = match (head.method.as_str(), head.target.split('?').next().unwrap_or_default()) {
            ("POST", "/reports") => {
                let status =
                    if notices(&run, forwarder, &body) { "204 No Content" } else { "400 Bad Request" };
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

fn complete_list(run: &LiveRun, forwarder: usize) -> Value {
    let addresses = run.addresses.borrow();
    let list = run.list.borrow();
    let held = list.iter().enumerate().filter(|(_, l)| **l != Lifecycle::Removed);
    let all: Vec<Value> = held.map(|(e, l)| entry(&run.world, e, *l, addresses[forwarder][e])).collect();
    json!({"generation": run.version.get(), "reset": true, "instances": all})
}

async fn chunk(connection: &mut HttpConnection, text: &str) -> std::io::Result<()> {
    connection.write(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()).await
}

/// Sends the list and each change of it; what is written counts as received.
async fn watch(run: &Rc<LiveRun>, forwarder: usize, connection: &mut HttpConnection) -> std::io::Result<()> {
    connection.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await?;
    let mut known: Vec<Lifecycle> = vec![Lifecycle::Removed; run.world.list.len()];
    let mut first = true;
    loop {
        let (sender, changed) = async_channel::bounded::<()>(1);
        run.list_watchers.borrow_mut().push(sender);
        let now: Vec<Lifecycle> = run.list.borrow().clone();
        let line = if first {
            complete_list(run, forwarder)
        } else {
            let addresses = run.addresses.borrow();
            let changes = (0..now.len()).filter(|e| now[*e] != known[*e]);
            let changes: Vec<Value> =
                changes.map(|e| entry(&run.world, e, now[e], addresses[forwarder][e])).collect();
            json!({"generation": run.version.get(), "reset": false, "instances": changes})
        };
        chunk(connection, &format!("{line}\n")).await?;
        let at = run.now();
        for (endpoint, lifecycle) in now.iter().enumerate() {
            if first || known[endpoint] != *lifecycle {
                run.audit.borrow_mut().lists(at, forwarder, endpoint, *lifecycle);
            }
        }
        (known, first) = (now, false);
        loop {
            let changes = async {
                // The channel's end is the change.
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
fn notices(run: &Rc<LiveRun>, forwarder: usize, body: &[u8]) -> bool {
    let text = String::from_utf8_lossy(body);
    let lines: Option<Vec<(String, MessageEnd, Option<Micros>)>> =
        text.lines().filter(|l| !l.trim().is_empty()).map(notice).collect();
    let Some(lines) = lines else { return false };
    for (id, end, after) in lines {
        let message = run.ids.borrow().get(&id).copied();
        let Some(message) = message else {
            let now = run.now();
            run.audit.borrow_mut().stray_message(
                now,
                forwarder,
                format!("a notice of `{id}`, which nobody handed in"),
            );
            continue;
        };
        let was_open = run.audit.borrow().open_at(message);
        run.ended(message, end, true);
        if end == MessageEnd::Rejected && was_open {
            clients::refused(run, message, after);
        }
    }
    true
}

fn notice(line: &str) -> Option<(String, MessageEnd, Option<Micros>)> {
    let v: Value = serde_json::from_str(line).ok()?;
    let end = match v["state"].as_str()? {
        "failed" => MessageEnd::Failed,
        "returned" => MessageEnd::Rejected,
        _ => return None,
    };
    Some((v["id"].as_str()?.to_owned(), end, v["after_ms"].as_f64().map(|ms| (ms * 1e3) as Micros)))
}
