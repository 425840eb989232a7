//! Sockets, HTTP messages and polling, for all parties of a scenario.

use socket2::{Domain, Socket, Type};
use std::cell::Cell;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// The longest time that a step of a scenario waits. A forwarder without faults needs less for every step.
pub const STEP_TIMEOUT: Duration = Duration::from_secs(15);

/// An HTTP message whose body has a `Content-Length`, or no body.
pub struct HttpMessage {
    pub head: String,
    pub body: Vec<u8>,
}

/// Reads an HTTP message; `None` if the connection ends before it is complete.
pub fn read_message(stream: &mut BufReader<TcpStream>) -> Option<HttpMessage> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if stream.read_line(&mut head).ok()? == 0 {
            return None;
        }
    }
    let lower = head.to_lowercase();
    let length = lower.split("content-length: ").nth(1).and_then(|l| l.split("\r\n").next());
    let mut body = vec![0; length.map_or(0, |l| l.parse().expect("a content length"))];
    stream.read_exact(&mut body).ok()?;
    Some(HttpMessage { head, body })
}

/// Returns a socket that is bound to a free port of loopback and does not listen yet.
pub fn bound_socket() -> Socket {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a new socket");
    socket.bind(&"127.0.0.1:0".parse::<SocketAddr>().expect("an address").into()).expect("a free port");
    socket
}

/// Returns the address of a bound socket.
pub fn local_address(socket: &Socket) -> SocketAddr {
    socket.local_addr().expect("bound").as_socket().expect("an address")
}

/// Makes a bound socket listen, with a backlog of the given number of connections.
pub fn listen(socket: Socket, backlog: i32) -> TcpListener {
    socket.listen(backlog).expect("the socket listens");
    socket.into()
}

/// Accepts the connections of a listener and serves each in a thread of its own.
pub fn serve_connections(listener: TcpListener, serve: impl Fn(TcpStream) + Send + Sync + 'static) {
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            thread::spawn(move || serve(stream));
        }
    });
}

/// Connects with a read timeout of [`STEP_TIMEOUT`].
pub fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("something listens at the address");
    stream.set_read_timeout(Some(STEP_TIMEOUT)).expect("the timeout is set");
    stream
}

thread_local! {
    /// Whether [`write`] sends each byte in a packet of its own. It holds for the thread of the scenario; other threads,
    /// such as the one that sends heartbeats, write everything at once.
    static BYTE_BY_BYTE: Cell<bool> = const { Cell::new(false) };
}

/// Makes [`write`] send byte by byte from here on, for this scenario.
pub fn write_byte_by_byte() {
    BYTE_BY_BYTE.set(true);
}

/// Writes bytes to a connection, one by one after [`write_byte_by_byte`].
pub fn write(stream: &mut TcpStream, bytes: &[u8]) -> io::Result<()> {
    if !BYTE_BY_BYTE.get() {
        return stream.write_all(bytes);
    }
    stream.set_nodelay(true)?;
    bytes.chunks(1).try_for_each(|byte| {
        thread::sleep(Duration::from_micros(200));
        stream.write_all(byte)
    })
}

/// Calls `find` until it returns something. Panics after [`STEP_TIMEOUT`], with a description of what was awaited.
pub fn poll_until<T>(awaited: &str, mut find: impl FnMut() -> Option<T>) -> T {
    let deadline = Instant::now() + STEP_TIMEOUT;
    loop {
        if let Some(found) = find() {
            return found;
        }
        assert!(Instant::now() < deadline, "timed out waiting for {awaited}");
        thread::sleep(Duration::from_millis(2));
    }
}
