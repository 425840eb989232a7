//! Notices to the platform: how messages ended that were taken on and not delivered.

use crate::journal::ReportedEnd;
use crate::net::dial::connect;
use crate::net::http::{Broken, Wire};
use crate::net::messages::Notice;
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

impl Notice {
    fn line(&self) -> String {
        match self.end {
            ReportedEnd::Failed => json!({"id": self.word, "state": "failed"}),
            ReportedEnd::Returned(None) => json!({"id": self.word, "state": "returned"}),
            ReportedEnd::Returned(Some(ms)) => json!({"id": self.word, "state": "returned", "after_ms": ms}),
        }
        .to_string()
    }
}

/// Tells notices until each is confirmed, those that have gathered together.
pub async fn run(context: Rc<Context>, mail: Receiver<Notice>) {
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
            Err(Broken::Malformed("silent"))
        };
        let body: String = pending.iter().take(count).map(|n| n.line() + "\n").collect();
        match future::or(post(&context, &mut connection, &body), late).await {
            Ok(204) => {
                for notice in pending.drain(..count) {
                    info!(context.log, "message"; "state" => "reported", "id" => &notice.word, "end" => ?notice.end);
                    context.journal.end(notice.id);
                    context.release_word(&notice.word);
                    context.counters.notices.add();
                    context.notices_owed.set(context.notices_owed.get().saturating_sub(1));
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
    connection: &mut Option<(SocketAddr, Wire)>,
    body: &str,
) -> Result<u16, Broken> {
    // Read anew each time: what is owed goes to where the platform listens now.
    let address = context.config().discovery;
    if connection.take_if(|c| c.0 != address).is_some() {
        info!(context.log, "connection ended"; "side" => "notices", "reason" => "moved");
    }
    let mut wire = match connection.take() {
        Some((_, wire)) => wire,
        None => Wire::new(connect(address).await.map_err(Broken::Socket)?),
    };
    let head = format!("POST /reports HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n");
    let request = format!("{head}Content-Length: {}\r\n\r\n{body}", body.len());
    wire.write(request.as_bytes()).await.map_err(Broken::Socket)?;
    let answer = wire.read_answer().await?;
    wire.answer_body(&answer, 64 * 1024).await?;
    if answer.keeps {
        *connection = Some((address, wire));
    }
    Ok(answer.status)
}
