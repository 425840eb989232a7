//! Opens connections. This goes through the C library, as all other socket calls of the program do, so that tests can make each
//! step fail.

use crate::net::http::HttpError;
use crate::net::within_or_error;
use async_io::{Async, Timer};
use rustix::io::Errno;
use socket2::{Domain, Socket, Type};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// The pause after the first try that failed because this machine ran out of something; it doubles with each.
const FIRST_SHORTAGE_PAUSE: Duration = Duration::from_millis(5);
/// The longest such pause.
const MAX_SHORTAGE_PAUSE: Duration = Duration::from_millis(10);

/// Opens a connection; it may take as long as the system tries.
///
/// # Errors
///
/// Those of the socket, also what this machine runs out of for a moment.
pub async fn connect(address: SocketAddr) -> io::Result<Async<TcpStream>> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_nonblocking(true)?;
    match socket.connect(&address.into()) {
        Ok(()) => {}
        // An interrupted connect goes on as well.
        Err(e) if has_errno(&e, &[Errno::INPROGRESS, Errno::INTR]) => {}
        Err(e) => return Err(e),
    }
    let stream = Async::new(TcpStream::from(socket))?;
    stream.writable().await?;
    match stream.get_ref().take_error()? {
        None => Ok(stream),
        Some(e) => Err(e),
    }
}

/// Opens a connection within a time. What this machine runs out of for a moment says nothing of the other side, so the
/// connect is tried again.
///
/// # Errors
///
/// Those of the socket; silence up to the limit is a malformed answer.
pub async fn connect_within(address: SocketAddr, limit: Duration) -> Result<Async<TcpStream>, HttpError> {
    let connecting = async {
        let mut pause = FIRST_SHORTAGE_PAUSE;
        loop {
            match connect(address).await {
                Err(e) if is_shortage(&e) => {
                    Timer::after(pause).await;
                    pause = (2 * pause).min(MAX_SHORTAGE_PAUSE);
                }
                result => return Ok(result?),
            }
        }
    };
    within_or_error(connecting, limit).await
}

fn has_errno(error: &io::Error, numbers: &[Errno]) -> bool {
    error.raw_os_error().is_some_and(|number| numbers.contains(&Errno::from_raw_os_error(number)))
}

/// Descriptors, memory or ports have run out on this machine.
fn is_shortage(error: &io::Error) -> bool {
    let shortages =
        [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM, Errno::ADDRNOTAVAIL, Errno::AGAIN];
    has_errno(error, &shortages)
}
