//! The forwarder's peers: endpoints that accept every call, and the platform's agent.

use cedarbridge_registry_standin::read_request;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// The service time of a call. It is long enough that calls are in flight at each change.
const SERVICE_TIME: Duration = Duration::from_millis(5);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1000);
const OK: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
const NO_CONTENT: &[u8] = b"HTTP/1.1 204 No\r\nContent-Length: 0\r\n\r\n";

/// The endpoints, with one counter for the calls of all.
pub struct Endpoints {
    /// The address of each endpoint.
    pub addresses: Vec<SocketAddr>,
    calls: Arc<AtomicU64>,
}

impl Endpoints {
    /// Starts `count` endpoints.
    ///
    /// # Errors
    /// A port cannot be bound.
    pub fn start(count: usize) -> std::io::Result<Self> {
        let calls = Arc::new(AtomicU64::new(0));
        let start_one = |_| {
            let calls = calls.clone();
            serve(move |stream| answer_calls(stream, &calls))
        };
        let addresses = (0..count).map(start_one).collect::<std::io::Result<_>>()?;
        Ok(Endpoints { addresses, calls })
    }

    /// The number of calls that all endpoints have received.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::SeqCst)
    }
}

/// The platform's agent, whose endpoint list is empty.
pub struct PlatformAgent {
    /// The agent's address.
    pub address: SocketAddr,
    reports: Arc<AtomicU64>,
}

impl PlatformAgent {
    /// Starts the agent.
    ///
    /// # Errors
    /// No port can be bound.
    pub fn start() -> std::io::Result<Self> {
        let reports = Arc::new(AtomicU64::new(0));
        let counted = reports.clone();
        let address = serve(move |stream| serve_agent(&stream, &counted))?;
        Ok(PlatformAgent { address, reports })
    }

    /// The number of delivery reports that it has received.
    pub fn reports(&self) -> u64 {
        self.reports.load(Ordering::SeqCst)
    }
}

/// Listens on a free port, and handles each connection in its own thread.
fn serve(handle_connection: impl Fn(TcpStream) + Send + Sync + 'static) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let handle_connection = Arc::new(handle_connection);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle_connection = handle_connection.clone();
            thread::spawn(move || handle_connection(stream));
        }
    });
    Ok(address)
}

/// Accepts each call on a connection after the service time.
fn answer_calls(mut stream: TcpStream, calls: &AtomicU64) {
    // Without TCP_NODELAY calls are only slower.
    let _ = stream.set_nodelay(true);
    let Ok(handle) = stream.try_clone() else { return };
    let mut reader = BufReader::new(handle);
    while read_request(&mut reader).is_some() {
        calls.fetch_add(1, Ordering::SeqCst);
        thread::sleep(SERVICE_TIME);
        if stream.write_all(OK).is_err() {
            return;
        }
    }
}

/// Counts the delivery reports on a connection, or serves the endpoint list on it.
fn serve_agent(stream: &TcpStream, reports: &AtomicU64) {
    let Ok(mut writer) = stream.try_clone() else { return };
    let Ok(handle) = stream.try_clone() else { return };
    let mut reader = BufReader::new(handle);
    while let Some((method, _, body)) = read_request(&mut reader) {
        if method != "POST" {
            return send_list(&mut writer);
        }
        let lines = body.iter().filter(|byte| **byte == b'\n').count();
        reports.fetch_add(lines as u64, Ordering::SeqCst);
        if writer.write_all(NO_CONTENT).is_err() {
            return;
        }
    }
}

/// Sends the empty endpoint list, then heartbeats until the connection ends.
fn send_list(writer: &mut TcpStream) {
    let list = "{\"generation\":1,\"reset\":true,\"instances\":[]}\n";
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let first = format!("{head}{:x}\r\n{list}\r\n", list.len());
    if writer.write_all(first.as_bytes()).is_err() {
        return;
    }
    while writer.write_all(b"1\r\n\n\r\n").is_ok() {
        thread::sleep(HEARTBEAT_INTERVAL);
    }
}
