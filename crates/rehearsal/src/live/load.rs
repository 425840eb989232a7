//! A load that holds its schedule, whatever the answers take: each message has its time, one that finds no free
//! connection is sent late and counted as late, and every time is taken from the plan, not from the send.

use crate::capture::Captured;
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
    pub day: Option<Captured>,
    /// Begins each id, so that two loads do not share one.
    pub name: String,
}

/// What came of it.
#[derive(Debug)]
pub struct Loaded {
    /// Messages sent.
    pub sent: u64,
    /// Sent later than planned by more than [`LATE`].
    pub late: u64,
    /// Taken on.
    pub taken: u64,
    /// Turned away.
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

struct Work {
    load: Load,
    begun: Instant,
    told: RefCell<Loaded>,
}

/// Sends it, on this thread.
pub fn run(load: Load) -> std::io::Result<Loaded> {
    let times = || Histogram::new_with_bounds(1, 60_000_000, 3).expect("bounds that are in order");
    let told = Loaded {
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
    let work = async {
        let (due, dues) = async_channel::unbounded::<(u64, Duration)>();
        let mut wires = Vec::new();
        for _ in 0..load.connections {
            wires.push(HttpConnection::new(Async::<TcpStream>::connect(load.to).await?));
        }
        let total = match &load.day {
            Some(day) => day.lines.len() as u64,
            None => (load.rate * load.length.as_secs_f64()) as u64,
        };
        let work = Rc::new(Work { begun: Instant::now(), load, told: RefCell::new(told) });
        let senders: Vec<_> =
            wires.into_iter().map(|w| executor.spawn(send(work.clone(), w, dues.clone()))).collect();
        drop(dues);
        plan(&work, total, &due).await;
        drop(due);
        for s in senders {
            s.await;
        }
        let took = work.begun.elapsed();
        let work = Rc::try_unwrap(work).unwrap_or_else(|_| unreachable!("all senders have ended"));
        Ok(Loaded { took, ..work.told.into_inner() })
    };
    async_io::block_on(executor.run(work))
}

/// When a message is due.
fn due(load: &Load, n: u64) -> Duration {
    match &load.day {
        Some(day) => Duration::from_secs_f64(day.lines[n as usize].ms / 1e3),
        None => Duration::from_secs_f64(n as f64 / load.rate),
    }
}

async fn plan(work: &Work, total: u64, to: &Sender<(u64, Duration)>) {
    let mut next = 0;
    while next < total {
        let now = work.begun.elapsed();
        while next < total && due(&work.load, next) <= now {
            let _ = to.try_send((next, due(&work.load, next)));
            next += 1;
        }
        Timer::after(TICK).await;
    }
}

fn request(load: &Load, n: u64) -> String {
    let line = load.day.as_ref().map(|d| &d.lines[n as usize]);
    let channel = line.map_or(load.channel.as_str(), |l| l.channel.as_str());
    let to = line.map_or(n % load.destinations, |l| l.destination);
    let id = format!("{}{n}", load.name);
    format!(
        "POST /api HTTP/1.1\r\nHost: load\r\nX-Request-Id: {id}\r\nX-Class: {}\r\nX-Tenant: {channel}\r\n\
         X-Deadline: 28000m\r\nIdempotency-Key: {id}\r\nX-Addressing: dest={to}\r\nContent-Length: 4\r\n\r\nload",
        load.class
    )
}

async fn send(work: Rc<Work>, mut wire: HttpConnection, dues: Receiver<(u64, Duration)>) {
    let micros = |d: Duration| (d.as_micros() as u64).max(1);
    while let Ok((n, planned)) = dues.recv().await {
        let request = request(&work.load, n);
        let late = work.begun.elapsed().saturating_sub(planned);
        {
            let mut told = work.told.borrow_mut();
            told.sent += 1;
            told.late += u64::from(late > LATE);
            told.lateness.saturating_record(micros(late));
        }
        let status = exchange(&mut wire, request.as_bytes()).await;
        let answered = work.begun.elapsed().saturating_sub(planned);
        {
            let mut told = work.told.borrow_mut();
            told.answers.saturating_record(micros(answered));
            match status {
                Some((200 | 202, _)) => told.taken += 1,
                Some((429 | 503, _)) => told.refused += 1,
                _ => told.failed += 1,
            }
        }
        if !status.is_some_and(|s| s.1) {
            if let Ok(stream) = Async::<TcpStream>::connect(work.load.to).await {
                wire = HttpConnection::new(stream);
            }
        }
    }
}

/// The status, and whether the connection stays.
async fn exchange(wire: &mut HttpConnection, request: &[u8]) -> Option<(u16, bool)> {
    wire.write(request).await.ok()?;
    let head = wire.read_response().await.ok()?;
    wire.response_body(&head, 64 * 1024).await.ok()?;
    Some((head.status, head.keep_alive))
}

/// Takes everything at once, in a thread beside: what the load itself can do is measured against it.
pub fn sink() -> std::io::Result<SocketAddr> {
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0))?;
    let address = listener.get_ref().local_addr()?;
    std::thread::spawn(move || {
        let executor = Rc::new(LocalExecutor::new());
        let serve = async {
            while let Ok((stream, _)) = listener.accept().await {
                executor.spawn(swallow(HttpConnection::new(stream))).detach();
            }
        };
        async_io::block_on(executor.run(serve));
    });
    Ok(address)
}

async fn swallow(mut wire: HttpConnection) {
    while let Ok(head) = wire.read_request().await {
        if wire.request_body(&head, 64 * 1024).await.is_err() {
            return;
        }
        if wire.write(b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n").await.is_err() {
            return;
        }
    }
}
