//! Notices to the platform: how messages ended that were taken on and not delivered.

use crate::journal::ReportedEnd;
use crate::net::dial::connect;
use crate::net::http::{HttpConnection, HttpError};
use crate::net::messages::DeliveryReport;
use crate::net::Context;
use async_channel::Receiver;
use async_io::Timer;
use futures_lite::future;
use serde_json::json;
use slog::{info, warn};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// The platform answers at once. A message is lost 300 ms after its time, so a connection that has fallen silent must leave room
/// for another try; a notice that comes twice does no harm.
const PATIENCE: Duration = Duration::from_millis(150);
const PAUSE: Duration = Duration::from_millis(50);
const BATCH: usize = 100;

impl DeliveryReport {
    fn line(&self) -> String {
        match self.end {
            ReportedEnd::Failed => json!({"id": self.request_id, "state": "failed"}),
            ReportedEnd::Returned(None) => json!({"id": self.request_id, "state": "returned"}),
            ReportedEnd::Returned(Some(ms)) => {
                json!({"id": self.request_id, "state": "returned", "after_ms": ms})
            }
        }
        .to_string()
    }
}

/// Tells notices until each is confirmed, those that have gathered together.
pub async fn run(context: Rc<Context>, mail: Receiver<DeliveryReport>) {
    let mut pending = VecDeque::new();
    let mut connection = None;
    let mut most = BATCH;
    loop {
        if pending.is_empty() {
            match mail.recv().await {
                Ok(notice) => pending.push_back(notice),
                Err(_) => return,
            }
        }
        while let Ok(notice) = mail.try_recv() {
            pending.push_back(notice);
        }
        if context.handed_over.is_set() {
            // They are in the journal, and another process tells them.
            return;
        }
        let count = pending.len().min(most);
        let late = async {
            Timer::after(PATIENCE).await;
            Err(HttpError::Malformed("silent"))
        };
        let body: String = pending.iter().take(count).map(|n| n.line() + "\n").collect();
        match future::or(post(&context, &mut connection, &body), late).await {
            Ok(204) => {
                for notice in pending.drain(..count) {
                    info!(context.log, "message"; "state" => "reported", "id" => &notice.request_id, "end" => ?notice.end);
                    context.journal.record_completed(notice.id);
                    context.release_request_id(&notice.request_id);
                    context.counters.notices.add();
                    context.reports_pending.set(context.reports_pending.get().saturating_sub(1));
                }
                most = BATCH;
            }
            // One that cannot be read must not hold up the others: alone, it goes to the end of the line.
            Ok(status) => {
                warn!(context.log, "notices not taken"; "status" => status, "count" => count);
                if count == 1 {
                    pending.rotate_left(1);
                }
                most = 1;
                Timer::after(PAUSE).await;
            }
            Err(e) => {
                connection = None;
                info!(context.log, "connection ended"; "side" => "notices", "reason" => e.code(), "error" => %e);
                Timer::after(PAUSE).await;
            }
        }
    }
}

async fn post(
    context: &Context,
    connection: &mut Option<(SocketAddr, HttpConnection)>,
    body: &str,
) -> Result<u16, HttpError> {
    // Read anew each time: what is owed goes to where the platform listens now.
    let address = context.config().agent_address;
    if connection.take_if(|c| c.0 != address).is_some() {
        info!(context.log, "connection ended"; "side" => "notices", "reason" => "moved");
    }
    let mut wire = match connection.take() {
        Some((_, wire)) => wire,
        None => HttpConnection::new(connect(address).await.map_err(HttpError::Socket)?),
    };
    let head = format!("POST /reports HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n");
    let request = format!("{head}Content-Length: {}\r\n\r\n{body}", body.len());
    wire.write(request.as_bytes()).await.map_err(HttpError::Socket)?;
    let answer = wire.read_answer().await?;
    wire.answer_body(&answer, 64 * 1024).await?;
    if answer.keeps {
        *connection = Some((address, wire));
    }
    Ok(answer.status)
}
