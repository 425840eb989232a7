//! Sends delivery reports to the platform in one request, and waits in the background for responses that are late. Each
//! request has a connection of its own: on a reused one, a copy of an earlier confirmation could be taken for its response.

use crate::net::dial::connect_within;
use crate::net::http::{status_line_code, HttpConnection, HttpError};
use crate::net::within_or_error;
use crate::MessageId;
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;

/// Time limit for establishing a connection to the platform.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// How long a late response is waited for.
const LATE_TIMEOUT: Duration = Duration::from_secs(10);
/// How many late responses are waited for at the same time.
const MAX_LATE: usize = 3;
/// The largest response body that is read.
const MAX_RESPONSE_BYTES: usize = 64 * 1024;

/// The platform's response to a request with delivery reports.
pub(super) struct PostResponse {
    /// The HTTP status.
    pub status: u16,
    /// The status of a further response that came with it and answers no request.
    pub stray_status: Option<u16>,
}

/// A request in flight.
pub(super) type PendingPost = Pin<Box<dyn Future<Output = Result<PostResponse, HttpError>>>>;

/// Sends reports to an address on a new connection and receives the response.
pub(super) fn post(address: SocketAddr, body: String) -> PendingPost {
    Box::pin(async move {
        let mut connection = HttpConnection::new(connect_within(address, CONNECT_TIMEOUT).await?);
        let head = format!("POST /reports HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n");
        let request = format!("{head}Content-Length: {}\r\n\r\n{body}", body.len());
        connection.write(request.as_bytes()).await?;
        let response = connection.read_response().await?;
        connection.response_body(&response, MAX_RESPONSE_BYTES).await?;
        let stray_status = status_line_code(connection.buffer.bytes());
        Ok(PostResponse { status: response.status, stray_status })
    })
}

/// The outcome of a request whose response was late.
pub(super) struct LateResponse {
    /// The messages whose reports the request contained.
    pub ids: Vec<MessageId>,
    /// The response; `None` if the connection failed or no response arrived.
    pub response: Option<PostResponse>,
}

/// The requests whose responses are late. Without them, reports to a slow platform would be repeated endlessly: each attempt
/// would be abandoned shortly before its confirmation.
pub(super) struct LatePosts {
    waiting: usize,
    sender: Sender<LateResponse>,
    receiver: Receiver<LateResponse>,
}

impl LatePosts {
    /// Creates the set without any late request.
    pub fn new() -> Self {
        let (sender, receiver) = async_channel::bounded(MAX_LATE);
        LatePosts { waiting: 0, sender, receiver }
    }

    /// Waits for a response in the background. If too many requests are waiting already, the new one is dropped, because the
    /// earlier ones are closer to their responses.
    pub fn wait_for(&mut self, executor: &LocalExecutor<'static>, ids: Vec<MessageId>, post: PendingPost) {
        if self.waiting >= MAX_LATE {
            return;
        }
        self.waiting += 1;
        let sender = self.sender.clone();
        let wait = async move {
            let response = within_or_error(post, LATE_TIMEOUT).await.ok();
            // The receiver is gone only after a hand-over; the successor then sends the reports.
            let _ = sender.send(LateResponse { ids, response }).await;
        };
        executor.spawn(wait).detach();
    }

    /// Waits for the outcome of the next late request.
    pub async fn next(&mut self) -> Option<LateResponse> {
        let late = self.receiver.recv().await.ok()?;
        self.waiting -= 1;
        Some(late)
    }
}
