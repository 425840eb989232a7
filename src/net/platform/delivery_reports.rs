//! Reports to the platform how accepted messages ended that were not delivered.

use crate::journal::ReportedEnd;
use crate::net::dial::connect_within;
use crate::net::http::{HttpConnection, HttpError};
use crate::net::messages::DeliveryReport;
use crate::net::{within_or_error, Context};
use async_channel::Receiver;
use async_io::Timer;
use futures_lite::future;
use serde_json::json;
use slog::{info, warn};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// The platform answers at once. A message is lost 300 ms after its time, so a connection that has fallen silent must leave
/// time for another try; a report that comes twice does no harm.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(150);
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Time between two looks at whether a held report may be sent.
const HELD_POLL: Duration = Duration::from_millis(10);
/// At most so many reports are sent in one request.
const MAX_BATCH: usize = 100;
/// The largest body of a response that is read.
const MAX_RESPONSE_BYTES: usize = 64 * 1024;

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

/// Sends reports until each is confirmed, in batches of those that are pending.
pub async fn run(context: Rc<Context>, mailbox: Receiver<DeliveryReport>) {
    let (held, pending) = (Vec::new(), VecDeque::new());
    let mut reporter = Reporter { context, held, pending, connection: None, batch_limit: MAX_BATCH };
    while reporter.receive(&mailbox).await.is_ok() {
        if reporter.context.lifecycle.is_handed_over() {
            // They are in the journal, and the successor sends them.
            return;
        }
        reporter.send_batch().await;
    }
}

struct Reporter {
    context: Rc<Context>,
    /// Reports that may not be sent yet: a restart could still call for their messages.
    held: Vec<DeliveryReport>,
    pending: VecDeque<DeliveryReport>,
    connection: Option<PlatformConnection>,
    batch_limit: usize,
}

/// A connection that can be used again.
struct PlatformConnection {
    address: SocketAddr,
    connection: HttpConnection,
}

impl Reporter {
    /// Takes all reports from the mailbox; waits until one may be sent if none is pending.
    async fn receive(&mut self, mailbox: &Receiver<DeliveryReport>) -> Result<(), async_channel::RecvError> {
        loop {
            while let Ok(report) = mailbox.try_recv() {
                self.held.push(report);
            }
            self.release_held();
            if !self.pending.is_empty() {
                return Ok(());
            }
            let look = async {
                match self.held.is_empty() {
                    true => future::pending().await,
                    false => drop(Timer::after(HELD_POLL).await),
                }
                Ok(None)
            };
            let received = async { mailbox.recv().await.map(Some) };
            self.held.extend(future::or(received, look).await?);
        }
    }

    /// A report may be sent once a restart cannot call for its message any more: its end is on disk, or its time is over.
    fn release_held(&mut self) {
        let now = self.context.clock.now();
        let journal = &self.context.journal;
        let is_safe =
            |report: &mut DeliveryReport| now >= report.deadline || !journal.has_unwritten_end(report.id);
        self.pending.extend(self.held.extract_if(.., is_safe));
    }

    /// Sends a batch once; after a failure, returns when it is time to retry.
    async fn send_batch(&mut self) {
        let count = self.pending.len().min(self.batch_limit);
        let body: String = self.pending.iter().take(count).map(|report| report.line() + "\n").collect();
        match within_or_error(self.post(&body), RESPONSE_TIMEOUT).await {
            Ok(204) => self.confirmed(count),
            Ok(status) => {
                warn!(self.context.log, "delivery reports rejected"; "status" => status, "count" => count);
                // One that the platform cannot read must not block the others: alone, it goes to the end of the queue.
                if count == 1 {
                    self.pending.rotate_left(1);
                }
                self.batch_limit = 1;
                Timer::after(RETRY_PAUSE).await;
            }
            Err(error) => {
                self.connection = None;
                info!(self.context.log, "connection ended"; "side" => "delivery-reports",
                    "reason" => error.code(), "error" => %error);
                Timer::after(RETRY_PAUSE).await;
            }
        }
    }

    fn confirmed(&mut self, count: usize) {
        let context = &self.context;
        for report in self.pending.drain(..count) {
            info!(context.log, "message"; "state" => "reported", "id" => &report.request_id, "end" => ?report.end);
            context.journal.record_completed(report.id);
            context.request_ids.release(&report.request_id);
            context.counters.notices.add();
            context.gauges.reports_pending.decrement();
        }
        self.batch_limit = MAX_BATCH;
    }

    /// Sends a request and receives its response; the response's status.
    async fn post(&mut self, body: &str) -> Result<u16, HttpError> {
        // Read anew each time: what is owed goes to where the platform listens now.
        let address = self.context.config().agent_address;
        if self.connection.take_if(|open| open.address != address).is_some() {
            info!(self.context.log, "connection ended"; "side" => "delivery-reports", "reason" => "moved");
        }
        let mut connection = match self.connection.take() {
            Some(open) => open.connection,
            None => HttpConnection::new(connect_within(address, RESPONSE_TIMEOUT).await?),
        };
        let head = format!("POST /reports HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n");
        let request = format!("{head}Content-Length: {}\r\n\r\n{body}", body.len());
        connection.write(request.as_bytes()).await?;
        let response = connection.read_response().await?;
        connection.response_body(&response, MAX_RESPONSE_BYTES).await?;
        if response.keep_alive {
            self.connection = Some(PlatformConnection { address, connection });
        }
        Ok(response.status)
    }
}
