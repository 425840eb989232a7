//! A client's connection.

use crate::shape::Pace;
use async_io::{Async, Timer};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// The longest head of a response that is read, in bytes.
const MAX_HEAD_BYTES: usize = 4 * 1024;
/// The pause before a refused connect is tried again.
const CONNECT_RETRY_PAUSE: Duration = Duration::from_millis(20);

/// What a client got for its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Answer {
    /// A response with this status, and whether the connection stays open.
    Status { code: u16, keeps_alive: bool },
    /// The end of its connection.
    Closed,
}

/// Opens a connection. One that is refused, as no process listens, is tried again.
pub(crate) async fn connect(address: SocketAddr) -> Async<TcpStream> {
    loop {
        match Async::<TcpStream>::connect(address).await {
            Ok(stream) => return stream,
            Err(_) => drop(Timer::after(CONNECT_RETRY_PAUSE).await),
        }
    }
}

/// Awaits a future for at most a time.
pub(crate) async fn within<T>(limit: Duration, future: impl future::Future<Output = T>) -> Option<T> {
    let expired = async {
        Timer::after(limit).await;
        None
    };
    future::or(async { Some(future.await) }, expired).await
}

/// Writes bytes at a pace.
pub(crate) async fn write(mut stream: &Async<TcpStream>, bytes: &[u8], pace: Pace) -> io::Result<()> {
    let Pace::ByteByByte(interval) = pace else { return stream.write_all(bytes).await };
    // An error only makes the bytes come together.
    let _ = stream.get_ref().set_nodelay(true);
    for byte in bytes {
        stream.write_all(&[*byte]).await?;
        Timer::after(interval).await;
    }
    Ok(())
}

/// Reads a response with its body.
pub(crate) async fn read_answer(mut stream: &Async<TcpStream>) -> Answer {
    let mut received = Vec::new();
    let mut buffer = [0; 1024];
    loop {
        if let Some(end) = received.windows(4).position(|window| window == b"\r\n\r\n") {
            return answer_of(&String::from_utf8_lossy(&received[..end]));
        }
        match stream.read(&mut buffer).await {
            Ok(0) | Err(_) => return Answer::Closed,
            Ok(count) if received.len() + count <= MAX_HEAD_BYTES => {
                received.extend_from_slice(&buffer[..count])
            }
            Ok(_) => return Answer::Closed,
        }
    }
}

fn answer_of(head: &str) -> Answer {
    let code = head.split(' ').nth(1).and_then(|code| code.parse().ok());
    let keeps_alive = !head.to_ascii_lowercase().contains("connection: close");
    code.map_or(Answer::Closed, |code| Answer::Status { code, keeps_alive })
}
