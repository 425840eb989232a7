//! An open-loop load generator. Each message has a planned time that does not depend on earlier responses. A message that
//! finds no free connection is sent late and counted as late, and latencies are measured from the planned time.

use crate::captured_traffic::CapturedTraffic;
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use cedarbridge::net::http::HttpConnection;
use hdrhistogram::Histogram;
use std::cell::RefCell;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The time between two checks of the schedule.
const SCHEDULE_INTERVAL: Duration = Duration::from_micros(500);
/// A message that is sent more than this time after its planned time is late.
pub const LATE_AFTER: Duration = Duration::from_millis(5);

/// The load to send to one forwarder.
#[derive(Clone, Debug)]
pub struct Load {
    /// The address of the forwarder.
    pub forwarder_address: SocketAddr,
    /// Messages a second.
    pub rate: f64,
    /// How long messages are sent.
    pub duration: Duration,
    /// The number of connections opened to the forwarder.
    pub connections: usize,
    /// The number of destinations; messages go to the ids from 0 in turn.
    pub destinations: u64,
    /// The tenant of messages that are not captured.
    pub tenant: String,
    /// The class of all messages.
    pub class: String,
    /// Captured traffic that is sent at its own times, in place of the rate.
    pub captured: Option<CapturedTraffic>,
    /// The prefix of each message id, so that two loads do not share an id.
    pub id_prefix: String,
}

/// The result of a load.
#[derive(Debug)]
pub struct LoadResult {
    /// The number of messages that were sent.
    pub sent: u64,
    /// The number of messages that were sent later than planned by more than [`LATE_AFTER`].
    pub late: u64,
    /// The number of messages that were accepted.
    pub accepted: u64,
    /// The number of messages that were rejected.
    pub rejected: u64,
    /// The number of messages that got another response or none.
    pub failed: u64,
    /// The times from the planned time to the send, in microseconds.
    pub lateness: Histogram<u32>,
    /// The times from the planned time to the response, in microseconds.
    pub latencies: Histogram<u32>,
    /// How long the load took.
    pub took: Duration,
}

struct LoadRun {
    load: Load,
    started: Instant,
    result: RefCell<LoadResult>,
}

/// Sends the load on this thread.
///
/// # Errors
/// A connection cannot be opened.
pub fn run(load: Load) -> std::io::Result<LoadResult> {
    let times = || Histogram::new_with_bounds(1, 60_000_000, 3).expect("valid histogram bounds");
    let result = LoadResult {
        sent: 0,
        late: 0,
        accepted: 0,
        rejected: 0,
        failed: 0,
        lateness: times(),
        latencies: times(),
        took: Duration::ZERO,
    };
    let executor = Rc::new(LocalExecutor::new());
    let run_state = async {
        let (due_sender, due_messages) = async_channel::unbounded::<(u64, Duration)>();
        let mut connections = Vec::new();
        for _ in 0..load.connections {
            connections.push(HttpConnection::new(Async::<TcpStream>::connect(load.forwarder_address).await?));
        }
        let total = match &load.captured {
            Some(captured) => captured.messages.len() as u64,
            None => (load.rate * load.duration.as_secs_f64()) as u64,
        };
        let run_state = Rc::new(LoadRun { started: Instant::now(), load, result: RefCell::new(result) });
        let senders: Vec<_> = connections
            .into_iter()
            .map(|connection| {
                executor.spawn(send_messages(run_state.clone(), connection, due_messages.clone()))
            })
            .collect();
        drop(due_messages);
        schedule_messages(&run_state, total, &due_sender).await;
        drop(due_sender);
        for sender in senders {
            sender.await;
        }
        let took = run_state.started.elapsed();
        let run_state = Rc::try_unwrap(run_state).unwrap_or_else(|_| unreachable!("all senders have ended"));
        Ok(LoadResult { took, ..run_state.result.into_inner() })
    };
    async_io::block_on(executor.run(run_state))
}

/// The planned time of a message, from the start of the load.
fn due_time(load: &Load, number: u64) -> Duration {
    match &load.captured {
        Some(captured) => Duration::from_secs_f64(captured.messages[number as usize].ms / 1e3),
        None => Duration::from_secs_f64(number as f64 / load.rate),
    }
}

/// Sends each message's number to the connections' tasks when the message is due.
async fn schedule_messages(run_state: &LoadRun, total: u64, due_sender: &Sender<(u64, Duration)>) {
    let mut next = 0;
    while next < total {
        let now = run_state.started.elapsed();
        while next < total && due_time(&run_state.load, next) <= now {
            // The channel is unbounded, and its receivers outlive this function.
            let _ = due_sender.try_send((next, due_time(&run_state.load, next)));
            next += 1;
        }
        Timer::after(SCHEDULE_INTERVAL).await;
    }
}

/// The HTTP request of a message.
fn request_text(load: &Load, number: u64) -> String {
    let captured = load.captured.as_ref().map(|c| &c.messages[number as usize]);
    let tenant = captured.map_or(load.tenant.as_str(), |m| m.tenant.as_str());
    let destination = captured.map_or(number % load.destinations, |m| m.destination);
    let id = format!("{}{number}", load.id_prefix);
    format!(
        "POST /api HTTP/1.1\r\nHost: load\r\nX-Request-Id: {id}\r\nX-Class: {}\r\nX-Tenant: {tenant}\r\n\
         X-Deadline: 28000m\r\nIdempotency-Key: {id}\r\nX-Addressing: dest={destination}\r\nContent-Length: 4\r\n\r\nload",
        load.class
    )
}

/// Sends the due messages on one connection, one at a time.
async fn send_messages(
    run_state: Rc<LoadRun>,
    mut connection: HttpConnection,
    due_messages: Receiver<(u64, Duration)>,
) {
    let micros = |d: Duration| (d.as_micros() as u64).max(1);
    while let Ok((number, planned)) = due_messages.recv().await {
        let request = request_text(&run_state.load, number);
        let late = run_state.started.elapsed().saturating_sub(planned);
        {
            let mut result = run_state.result.borrow_mut();
            result.sent += 1;
            result.late += u64::from(late > LATE_AFTER);
            result.lateness.saturating_record(micros(late));
        }
        let status = exchange(&mut connection, request.as_bytes()).await;
        let latency = run_state.started.elapsed().saturating_sub(planned);
        {
            let mut result = run_state.result.borrow_mut();
            result.latencies.saturating_record(micros(latency));
            match status {
                Some((200 | 202, _)) => result.accepted += 1,
                Some((429 | 503, _)) => result.rejected += 1,
                _ => result.failed += 1,
            }
        }
        if !status.is_some_and(|s| s.1) {
            if let Ok(stream) = Async::<TcpStream>::connect(run_state.load.forwarder_address).await {
                connection = HttpConnection::new(stream);
            }
        }
    }
}

/// Sends a request and reads the response. Returns its status and whether the connection stays open; `None` if it breaks.
async fn exchange(connection: &mut HttpConnection, request: &[u8]) -> Option<(u16, bool)> {
    connection.write(request).await.ok()?;
    let head = connection.read_response().await.ok()?;
    connection.response_body(&head, 64 * 1024).await.ok()?;
    Some((head.status, head.keep_alive))
}

/// Starts a server in its own thread that accepts every message at once, to measure the load generator alone. Returns its
/// address.
///
/// # Errors
/// No address can be bound.
pub fn start_sink() -> std::io::Result<SocketAddr> {
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0))?;
    let address = listener.get_ref().local_addr()?;
    std::thread::spawn(move || {
        let executor = Rc::new(LocalExecutor::new());
        let serve = async {
            while let Ok((stream, _)) = listener.accept().await {
                executor.spawn(accept_all(HttpConnection::new(stream))).detach();
            }
        };
        async_io::block_on(executor.run(serve));
    });
    Ok(address)
}

/// Answers every request on a connection with 202.
async fn accept_all(mut connection: HttpConnection) {
    while let Ok(head) = connection.read_request().await {
        if connection.request_body(&head, 64 * 1024).await.is_err() {
            return;
        }
        if connection.write(b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n").await.is_err() {
            return;
        }
    }
}
