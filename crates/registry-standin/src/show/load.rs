//! The load: sends messages at an even rate from several threads.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// The number of threads that send messages.
const THREADS: u64 = 8;

/// The numbers of messages by the forwarder's response.
#[derive(Clone, Copy, Default)]
pub struct LoadCounts {
    /// Messages with the status 202.
    pub accepted: u64,
    /// Messages with another status.
    pub rejected: u64,
}

/// A load that runs until it is stopped.
pub struct Load {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<LoadCounts>>,
}

impl Load {
    /// Starts to send `rate` messages a second, to the destinations with the ids below `destinations` in turn.
    pub fn start(forwarder: SocketAddr, rate: f64, destinations: u64) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let start_one = |first| {
            let stop = stop.clone();
            thread::spawn(move || send_messages(forwarder, first, rate, destinations, &stop))
        };
        let threads = (0..THREADS).map(start_one).collect();
        Load { stop, threads }
    }

    /// Stops the load, and returns the counts of all threads.
    pub fn stop(self) -> LoadCounts {
        self.stop.store(true, Ordering::SeqCst);
        let counts = self.threads.into_iter().map(|thread| thread.join().unwrap_or_default());
        counts.fold(LoadCounts::default(), |sum, one| LoadCounts {
            accepted: sum.accepted + one.accepted,
            rejected: sum.rejected + one.rejected,
        })
    }
}

/// Sends one in [`THREADS`] messages, from the number `first` on, until `stop` is set.
fn send_messages(
    forwarder: SocketAddr,
    first: u64,
    rate: f64,
    destinations: u64,
    stop: &AtomicBool,
) -> LoadCounts {
    let mut counts = LoadCounts::default();
    let mut number = first;
    let started = Instant::now();
    let mut connection = None;
    while !stop.load(Ordering::SeqCst) {
        let due = Duration::from_secs_f64(number as f64 / rate);
        thread::sleep(due.saturating_sub(started.elapsed()));
        let message = request_text(number, number % destinations);
        number += THREADS;
        let Some(open) = &mut connection else {
            connection = Connection::open(forwarder).ok();
            continue;
        };
        match open.send(&message).as_deref() {
            Some("202") => counts.accepted += 1,
            Some(_) => counts.rejected += 1,
            None => connection = None,
        }
    }
    counts
}

/// The HTTP request of a message.
fn request_text(number: u64, destination: u64) -> String {
    format!(
        "POST /api HTTP/1.1\r\nX-Request-Id: m{number}\r\nX-Class: notice\r\nX-Tenant: acme\r\nX-Deadline: 28000m\r\n\
         Idempotency-Key: m{number}\r\nX-Addressing: dest={destination}\r\nContent-Length: 5\r\n\r\nhello"
    )
}

struct Connection {
    reader: BufReader<TcpStream>,
    writer: TcpStream,
}

impl Connection {
    fn open(forwarder: SocketAddr) -> std::io::Result<Self> {
        let writer = TcpStream::connect(forwarder)?;
        writer.set_nodelay(true)?;
        Ok(Connection { reader: BufReader::new(writer.try_clone()?), writer })
    }

    /// Sends a message and returns the status of the response; `None` if the connection has ended.
    fn send(&mut self, message: &str) -> Option<String> {
        self.writer.write_all(message.as_bytes()).ok()?;
        let status = self.read_line()?.split(' ').nth(1)?.to_owned();
        let mut length = 0;
        loop {
            let line = self.read_line()?;
            match line.trim().split_once(": ") {
                Some((name, value)) if name.eq_ignore_ascii_case("content-length") => {
                    length = value.parse().ok()?
                }
                Some(_) => {}
                None => break,
            }
        }
        self.reader.read_exact(&mut vec![0; length]).ok()?;
        Some(status)
    }

    fn read_line(&mut self) -> Option<String> {
        let mut line = String::new();
        let count = self.reader.read_line(&mut line).ok()?;
        (count > 0).then_some(line)
    }
}
