//! A watch of the platform's endpoint list: a connection on which the agent sends one line for each version of the list.

use crate::net::dial::connect_within;
use crate::net::http::{HttpConnection, HttpError};
use crate::net::messages::{EndpointListMessage, WatchEnd};
use crate::net::{within, within_or_error};
use crate::Micros;
use async_channel::Sender;
use async_executor::{LocalExecutor, Task};
use async_io::Timer;
use slog::{info, Logger};
use std::future::Future;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// A watch is silent if it has received nothing for this long; the agent sends an empty line every 2 s. Another watch is
/// then opened beside it, because changes that the silent one misses count as observed 6 s after the silence began.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2600);
/// A watch is also silent if it has received no list this long after it was opened. Together with the silence of the watch
/// before it that makes 5 s. With a shorter time a whole fleet would overload a slow platform.
const FIRST_LINE_TIMEOUT: Duration = Duration::from_millis(2400);
/// How long a watch without any data is read before it is closed; until then its data may only be late.
const GIVE_UP_TIMEOUT: Duration = Duration::from_millis(8000);
/// The longest line that is accepted.
const MAX_LINE_BYTES: usize = 4 * 1024 * 1024;
/// A longer `Retry-After` is ignored.
const MAX_RETRY_AFTER_S: f64 = 60.0;

/// An open watch, or one that is being opened. Dropping it closes its connection.
pub(super) struct Watch {
    /// Its number among the watches of this process.
    pub number: u64,
    /// The address of the agent.
    pub address: SocketAddr,
    /// Whether it has received nothing for so long that another was opened beside it.
    pub is_silent: bool,
    _task: Task<()>,
}

/// The parameters of a new watch.
pub(super) struct WatchRequest {
    /// Its number among the watches of this process.
    pub number: u64,
    /// The address of the agent.
    pub address: SocketAddr,
    /// The version of the list that this process has; with `None` the agent sends a complete list.
    pub after_generation: Option<u64>,
    /// The delay before it is opened.
    pub delay: Duration,
}

impl Watch {
    /// Opens a watch, which sends its lines, its silence and its end to the endpoint list actor.
    pub fn start(
        executor: &LocalExecutor<'static>,
        log: &Logger,
        actor: &Sender<EndpointListMessage>,
        request: WatchRequest,
    ) -> Self {
        let WatchRequest { number, address, after_generation, delay } = request;
        let (log, actor) = (log.clone(), actor.clone());
        let task = executor.spawn(async move {
            Timer::after(delay).await;
            let reader = WatchReader { number, address, actor };
            let end = reader.run(after_generation).await;
            match &end {
                WatchEnd::Rejected { status, .. } => {
                    info!(log, "connection ended"; "side" => "endpoint-list", "reason" => "rejected",
                        "status" => status);
                }
                WatchEnd::Failed(error) => {
                    info!(log, "connection ended"; "side" => "endpoint-list", "reason" => error.code());
                }
            };
            // If the actor has ended, the list is not needed any more.
            let _ = reader.actor.send(EndpointListMessage::WatchEnded { watch: number, end }).await;
        });
        Watch { number, address, is_silent: false, _task: task }
    }
}

struct WatchReader {
    number: u64,
    address: SocketAddr,
    actor: Sender<EndpointListMessage>,
}

/// The agent's response to the request for a watch.
enum WatchResponse {
    /// The watch is open, and this is what has arrived on it; `None` if the body has ended.
    Watching { connection: HttpConnection, received: Option<Vec<u8>> },
    /// The agent has rejected the watch.
    Rejected { status: u16, retry_after: Option<Micros> },
}

/// The microseconds since an earlier time.
fn micros_since(earlier: Instant) -> Micros {
    earlier.elapsed().as_micros() as Micros
}

impl WatchReader {
    /// Sends each line to the actor until the connection ends; returns why it ended.
    async fn run(&self, after_generation: Option<u64>) -> WatchEnd {
        match self.open_and_read(after_generation).await {
            Ok(end) => end,
            Err(error) => WatchEnd::Failed(error),
        }
    }

    async fn open_and_read(&self, after_generation: Option<u64>) -> Result<WatchEnd, HttpError> {
        let requested_at = Instant::now();
        let opened = self.report_silence(FIRST_LINE_TIMEOUT, self.open(after_generation)).await?;
        let (mut connection, received) = match opened {
            WatchResponse::Watching { connection, received } => (connection, received),
            WatchResponse::Rejected { status, retry_after } => {
                let answered_after = micros_since(requested_at);
                return Ok(WatchEnd::Rejected { status, retry_after, answered_after });
            }
        };
        let mut unsent = received.ok_or(HttpError::Closed)?;
        loop {
            self.send_lines(&mut unsent).await?;
            let reading = connection.read_chunk(&mut unsent, MAX_LINE_BYTES);
            if !self.report_silence(SILENCE_TIMEOUT, reading).await? {
                return Err(HttpError::Closed);
            }
        }
    }

    async fn open(&self, after_generation: Option<u64>) -> Result<WatchResponse, HttpError> {
        let address = self.address;
        let mut connection = HttpConnection::new(connect_within(address, GIVE_UP_TIMEOUT).await?);
        let after = after_generation.map_or(String::new(), |generation| format!("&after={generation}"));
        let request = format!("GET /catalog/members?watch=1{after} HTTP/1.1\r\nHost: {address}\r\n\r\n");
        connection.write(request.as_bytes()).await.map_err(HttpError::Socket)?;
        let head = connection.read_response().await?;
        if head.status != 200 {
            let seconds = head.headers.get("Retry-After").and_then(|seconds| seconds.parse::<f64>().ok());
            let seconds = seconds.filter(|seconds| (0.0..=MAX_RETRY_AFTER_S).contains(seconds));
            let retry_after = seconds.map(|seconds| (seconds * 1e6) as Micros);
            return Ok(WatchResponse::Rejected { status: head.status, retry_after });
        }
        // The agent sends the first list together with the head of the response.
        let mut received = Vec::new();
        let has_chunk = connection.read_chunk(&mut received, MAX_LINE_BYTES).await?;
        Ok(WatchResponse::Watching { connection, received: has_chunk.then_some(received) })
    }

    /// Sends all complete lines to the actor and leaves an incomplete last line in the buffer.
    async fn send_lines(&self, unsent: &mut Vec<u8>) -> Result<(), HttpError> {
        while let Some(end) = unsent.iter().position(|byte| *byte == b'\n') {
            let rest = unsent.split_off(end + 1);
            let line = std::mem::replace(unsent, rest);
            let message = EndpointListMessage::WatchLine { watch: self.number, line };
            self.actor.send(message).await.map_err(|_| HttpError::Closed)?;
        }
        Ok(())
    }

    /// Awaits a read. Reports silence to the actor after the given time, but ends the watch only after [`GIVE_UP_TIMEOUT`].
    async fn report_silence<T>(
        &self,
        silence_timeout: Duration,
        read: impl Future<Output = Result<T, HttpError>>,
    ) -> Result<T, HttpError> {
        let mut read = std::pin::pin!(read);
        if let Some(result) = within(silence_timeout, read.as_mut()).await {
            return result;
        }
        // If the actor has ended, the watch ends with its next line.
        let _ = self.actor.send(EndpointListMessage::WatchSilent { watch: self.number }).await;
        within_or_error(read, GIVE_UP_TIMEOUT.saturating_sub(silence_timeout)).await
    }
}
