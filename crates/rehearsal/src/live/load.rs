//! A load that keeps its schedule however long responses take: each message has its time, one that finds no free
//! connection is sent late and counted as late, and latencies are measured from the planned time.

use crate::capture::CapturedDay;
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use cedarbridge::net::http::HttpConnection;
use hdrhistogram::Histogram;
use std::cell::RefCell;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The schedule is looked at this often.
const TICK: Duration = Duration::from_micros(500);
/// A send is late beyond this.
pub const LATE: Duration = Duration::from_millis(5);

/// What to send.
#[derive(Clone, Debug)]
pub struct Load {
    /// Where to.
    pub to: SocketAddr,
    /// Messages a second.
    pub rate: f64,
    /// For how long.
    pub length: Duration,
    /// Connections.
    pub connections: usize,
    /// Destinations, in turn.
    pub destinations: u64,
    /// The channel, where no captured day says it.
    pub channel: String,
    /// The class.
    pub class: String,
    /// A day whose messages are sent at its own times in place of the rate.
    pub day: Option<CapturedDay>,
    /// Begins each id, so that two loads do not share one.
    pub name: String,
}

/// The result.
#[derive(Debug)]
pub struct LoadResult {
    /// Messages sent.
    pub sent: u64,
    /// Sent later than planned by more than [`LATE`].
    pub late: u64,
    /// Accepted.
    pub taken: u64,
    /// Rejected.
    pub refused: u64,
    /// Answered otherwise, or not at all.
    pub failed: u64,
    /// From the planned time to the send, in microseconds.
    pub lateness: Histogram<u32>,
    /// From the planned time to the answer, in microseconds.
    pub answers: Histogram<u32>,
    /// How long it took.
    pub took: Duration,
}

struct LoadRun {
    load: Load,
    begun: Instant,
    result: RefCell<LoadResult>,
}

/// Sends it, on this thread.
pub fn run(load: Load) -> std::io::Result<LoadResult> {
    let times = || Histogram::new_with_bounds(1, 60_000_000, 3).expect("bounds that are in order");
    let result = LoadResult {
        sent: 0,
        late: 0,
        taken: 0,
        refused: 0,
        failed: 0,
        lateness: times(),
        answers: times(),
        took: Duration::ZERO,
    };
    let executor = Rc::new(LocalExecutor::new());
    let run_state = async {
        let (due, due_messages) = async_channel::unbounded::<(u64, Duration)>();
        let mut connections = Vec::new();
        for _ in 0..load.connections {
            connections.push(HttpConnection::new(Async::<TcpStream>::connect(load.to).await?));
        }
        let total = match &load.day {
            Some(day) => day.messages.len() as u64,
            None => (load.rate * load.length.as_secs_f64()) as u64,
        };
        let run_state = Rc::new(LoadRun { begun: Instant::now(), load, result: RefCell::new(result) });
        let senders: Vec<_> = connections
            .into_iter()
            .map(|w| executor.spawn(send(run_state.clone(), w, due_messages.clone())))
            .collect();
        drop(due_messages);
        plan(&run_state, total, &due).await;
        drop(due);
        for s in senders {
            s.await;
        }
        let took = run_state.begun.elapsed();
        let run_state = Rc::try_unwrap(run_state).unwrap_or_else(|_| unreachable!("all senders have ended"));
        Ok(LoadResult { took, ..run_state.result.into_inner() })
    };
    async_io::block_on(executor.run(run_state))
}

/// When a message is due.
fn due(load: &Load, n: u64) -> Duration {
    match &load.day {
        Some(day) => Duration::from_secs_f64(day.messages[n as usize].ms / 1e3),
        None => Duration::from_secs_f64(n as f64 / load.rate),
    }
}

async fn plan(run_state: &LoadRun, total: u64, to: &Sender<(u64, Duration)>) {
    let mut next = 0;
    while next < total {
        let now = run_state.begun.elapsed();
        while next < total && due(&run_state.load, next) <= now {
            // The channel is unbounded and its receivers outlive the plan.
            let _ = to.try_send((next, due(&run_state.load, next)));
            next += 1;
        }
        Timer::after(TICK).await;
    }
}

fn request(load: &Load, n: u64) -> String {
    let line = load.day.as_ref().map(|d| &d.messages[n as usize]);
    let channel = line.map_or(load.channel.as_str(), |l| l.channel.as_str());
    let to = line.map_or(n % load.destinations, |l| l.destination);
    let id = format!("{}{n}", load.name);
    format!(
        "POST /api HTTP/1.1\r\nHost: load\r\nX-Request-Id: {id}\r\nX-Class: {}\r\nX-Tenant: {channel}\r\n\
         X-Deadline: 28000m\r\nIdempotency-Key: {id}\r\nX-Addressing: dest={to}\r\nContent-Length: 4\r\n\r\nload",
        load.class
    )
}

async fn send(
    run_state: Rc<LoadRun>,
    mut connection: HttpConnection,
    due_messages: Receiver<(u64, Duration)>,
) {
    let micros = |d: Duration| (d.as_micros() as u64).max(1);
    while let Ok((n, planned)) = due_messages.recv().await {
        let request = request(&run_state.load, n);
        let late = run_state.begun.elapsed().saturating_sub(planned);
        {
            let mut result = run_state.result.borrow_mut();
            result.sent += 1;
            result.late += u64::from(late > LATE);
            result.lateness.saturating_record(micros(late));
        }
        let status = exchange(&mut connection, request.as_bytes()).await;
        let answered = run_state.begun.elapsed().saturating_sub(planned);
        {
            let mut result = run_state.result.borrow_mut();
            result.answers.saturating_record(micros(answered));
            match status {
                Some((200 | 202, _)) => result.taken += 1,
                Some((429 | 503, _)) => result.refused += 1,
                _ => result.failed += 1,
            }
        }
        if !status.is_some_and(|s| s.1) {
            if let Ok(stream) = Async::<TcpStream>::connect(run_state.load.to).await {
                connection = HttpConnection::new(stream);
            }
        }
    }
}

/// The status, and whether the connection stays.
async fn exchange(connection: &mut HttpConnection, request: &[u8]) -> Option<(u16, bool)> {
    connection.write(request).await.ok()?;
    let head = connection.read_response().await.ok()?;
    connection.response_body(&head, 64 * 1024).await.ok()?;
    Some((head.status, head.keep_alive))
}

/// A server in a thread of its own that accepts everything at once, to measure what the load itself can do.
pub fn sink() -> std::io::Result<SocketAddr> {
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
