//! Helpers for running a forwarder's process: its program, the fault library, signals, addresses and HTTP requests.

use crate::environment::sleep;
use async_io::Async;
use cedarbridge::net::http::HttpConnection;
use futures_lite::future;
use rustix::process::{kill_process, Pid, Signal};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command};
use std::time::Duration;

/// The command that runs a forwarder: the hidden subcommand of this program, or the program that `CEDARBRIDGE_SOAK_PROGRAM`
/// names.
pub fn forwarder_command() -> Command {
    let own_program = std::env::current_exe().expect("the path of this program is known");
    match std::env::var_os("CEDARBRIDGE_SOAK_PROGRAM") {
        Some(program) => Command::new(program),
        None => {
            let mut command = Command::new(own_program);
            command.arg("forwarder");
            command
        }
    }
}

/// The path where Cargo puts the library of `crates/faultshim`, in the program's folder or its `deps`; `None` if it is in
/// neither.
pub fn fault_library() -> Option<PathBuf> {
    let folder = std::env::current_exe().ok()?.parent()?.to_owned();
    let name = "libcedarbridge_faultshim.so";
    [folder.join("deps").join(name), folder.join(name)].into_iter().find(|p| p.exists())
}

/// Sends a signal to a process.
pub fn send_signal(process: &Child, signal: Signal) {
    // An error means that the process has just exited, which its exit status shows.
    if let Some(pid) = Pid::from_raw(process.id() as i32) {
        let _ = kill_process(pid, signal);
    }
}

/// An address with a free port on the same IP address.
///
/// # Errors
/// No port can be bound.
pub fn free_address(same_host: SocketAddr) -> std::io::Result<SocketAddr> {
    TcpListener::bind((same_host.ip(), 0))?.local_addr()
}

/// The body of a 200 response to a GET; `None` for any other response and after half a second without one.
pub async fn http_get(address: SocketAddr, path: &str) -> Option<String> {
    let response = async {
        let mut connection = HttpConnection::new(Async::<TcpStream>::connect(address).await.ok()?);
        let request = format!("GET {path} HTTP/1.1\r\nHost: soak\r\nConnection: close\r\n\r\n");
        connection.write(request.as_bytes()).await.ok()?;
        let head = connection.read_response().await.ok().filter(|h| h.status == 200)?;
        String::from_utf8(connection.response_body(&head, 1 << 20).await.ok()?).ok()
    };
    let timed_out = async {
        sleep(Duration::from_millis(500)).await;
        None
    };
    future::or(response, timed_out).await
}
