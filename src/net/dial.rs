//! Opens connections. It goes through the C library, as all other socket calls of the program do, so that tests can make each
//! step fail.

use crate::net::http::HttpError;
use crate::net::within_or_error;
use async_io::{Async, Timer};
use rustix::io::Errno;
use socket2::{Domain, Socket, Type};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// The pause after a try that failed for want of something on this machine: the first, and the longest.
const SHORTAGE: (Duration, Duration) = (Duration::from_millis(5), Duration::from_millis(100));

/// Opens a connection, or says why that failed; it may take as long as the system tries.
pub async fn connect(address: SocketAddr) -> io::Result<Async<TcpStream>> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_nonblocking(true)?;
    match socket.connect(&address.into()) {
        Ok(()) => {}
        // An interrupted one goes on as well.
        Err(e) if is(&e, &[Errno::INPROGRESS, Errno::INTR]) => {}
        Err(e) => return Err(e),
    }
    let stream = Async::new(TcpStream::from(socket))?;
    stream.writable().await?;
    match stream.get_ref().take_error()? {
        None => Ok(stream),
        Some(e) => Err(e),
    }
}

/// The same within a span. What this machine is short of for a moment says nothing of the other side and is tried again.
pub async fn connect_within(address: SocketAddr, span: Duration) -> Result<Async<TcpStream>, HttpError> {
    let opening = async {
        let mut pause = SHORTAGE.0;
        loop {
            match connect(address).await {
                Err(e) if is_shortage(&e) => {
                    Timer::after(pause).await;
                    pause = (2 * pause).min(SHORTAGE.1);
                }
                result => return result.map_err(HttpError::Socket),
            }
        }
    };
    within_or_error(opening, span).await
}

fn is(error: &io::Error, numbers: &[Errno]) -> bool {
    error.raw_os_error().is_some_and(|number| numbers.contains(&Errno::from_raw_os_error(number)))
}

/// Descriptors, memory or ports have run out on this machine.
fn is_shortage(error: &io::Error) -> bool {
    let short = [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM, Errno::ADDRNOTAVAIL, Errno::AGAIN];
    is(error, &short)
}
