//! Opens TCP connections. All socket calls of the program go through the C library, so that tests can make each of
//! them fail.

use crate::net::http::HttpError;
use crate::net::within_or_error;
use async_io::{Async, Timer};
use rustix::io::Errno;
use socket2::{Domain, Socket, Type};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// The pause after the first connect that failed as this machine lacked a resource. It doubles with each failure.
const INITIAL_RETRY_PAUSE: Duration = Duration::from_millis(5);
/// The upper bound of that pause.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(10);

/// Opens a connection, with no other time limit than that of the operating system.
///
/// # Errors
///
/// Returns any error of the socket, including a temporary lack of resources on this machine.
pub async fn connect(address: SocketAddr) -> io::Result<Async<TcpStream>> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_nonblocking(true)?;
    match socket.connect(&address.into()) {
        Ok(()) => {}
        // The system continues an interrupted connect in the background, like one in progress.
        Err(error) if has_errno(&error, &[Errno::INPROGRESS, Errno::INTR]) => {}
        Err(error) => return Err(error),
    }
    let stream = Async::new(TcpStream::from(socket))?;
    stream.writable().await?;
    match stream.get_ref().take_error()? {
        None => Ok(stream),
        Some(error) => Err(error),
    }
}

/// Opens a connection within a time limit. If this machine temporarily lacks a resource, the connect is retried,
/// since that says nothing about the remote side.
///
/// # Errors
///
/// Returns any other error of the socket, or [`HttpError::Malformed`] if the connection is not established within the limit.
pub async fn connect_within(address: SocketAddr, limit: Duration) -> Result<Async<TcpStream>, HttpError> {
    let connect_with_retries = async {
        let mut pause = INITIAL_RETRY_PAUSE;
        loop {
            match connect(address).await {
                Err(error) if is_resource_shortage(&error) => {
                    Timer::after(pause).await;
                    pause = (2 * pause).min(MAX_RETRY_PAUSE);
                }
                result => return Ok(result?),
            }
        }
    };
    within_or_error(connect_with_retries, limit).await
}

fn has_errno(error: &io::Error, numbers: &[Errno]) -> bool {
    error.raw_os_error().is_some_and(|number| numbers.contains(&Errno::from_raw_os_error(number)))
}

/// Whether the error is a lack of file descriptors, memory or ports on this machine.
fn is_resource_shortage(error: &io::Error) -> bool {
    let shortages =
        [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM, Errno::ADDRNOTAVAIL, Errno::AGAIN];
    has_errno(error, &shortages)
}
