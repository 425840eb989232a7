//! Sockets and waiting, for all parties of a scenario.

use socket2::{Domain, Socket, Type};
use std::cell::Cell;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// How long a scenario waits for anything; every step of a sound program takes less.
pub const PATIENCE: Duration = Duration::from_secs(15);

/// An HTTP message: its head, and its body by its length.
pub struct HttpMessage {
    pub head: String,
    pub body: Vec<u8>,
}

/// Reads a message of known length; none at the end of the connection.
pub fn read_message(stream: &mut BufReader<TcpStream>) -> Option<HttpMessage> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if stream.read_line(&mut head).ok()? == 0 {
            return None;
        }
    }
    let lower = head.to_lowercase();
    let length = lower.split("content-length: ").nth(1).and_then(|l| l.split("\r\n").next());
    let mut body = vec![0; length.map_or(0, |l| l.parse().expect("a length"))];
    stream.read_exact(&mut body).ok()?;
    Some(HttpMessage { head, body })
}

/// A socket with a port of its own that does not listen yet.
pub fn bound_socket() -> Socket {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.bind(&"127.0.0.1:0".parse::<SocketAddr>().expect("an address").into()).expect("a port");
    socket
}

/// The address of a bound socket.
pub fn local_address(socket: &Socket) -> SocketAddr {
    socket.local_addr().expect("bound").as_socket().expect("an address")
}

pub fn listening(socket: Socket, backlog: i32) -> TcpListener {
    socket.listen(backlog).expect("listens");
    socket.into()
}

/// Serves each connection of a listener in a thread of its own.
pub fn accept(listener: TcpListener, serve: impl Fn(TcpStream) + Send + Sync + 'static) {
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            thread::spawn(move || serve(stream));
        }
    });
}

/// Connects with a read timeout of [`PATIENCE`].
pub fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("it listens");
    stream.set_read_timeout(Some(PATIENCE)).expect("set");
    stream
}

thread_local! {
    /// Whether data is sent byte by byte, each byte in a packet of its own. Each scenario runs in one thread.
    static BYTE_BY_BYTE: Cell<bool> = const { Cell::new(false) };
}

/// From here on all parties write byte by byte.
pub fn write_byte_by_byte() {
    BYTE_BY_BYTE.set(true);
}

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

/// Polls until the look finds something, for [`PATIENCE`] at most.
pub fn soon<T>(what: &str, mut look: impl FnMut() -> Option<T>) -> T {
    let until = Instant::now() + PATIENCE;
    loop {
        if let Some(found) = look() {
            return found;
        }
        assert!(Instant::now() < until, "never came: {what}");
        thread::sleep(Duration::from_millis(2));
    }
}
