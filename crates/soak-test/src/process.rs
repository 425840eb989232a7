//! What it takes to run a forwarder's process: its program, the fault library, signals, addresses and requests.

use crate::environment::sleep;
use async_io::Async;
use cedarbridge::net::http::HttpConnection;
use futures_lite::future;
use rustix::process::{kill_process, Pid, Signal};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command};
use std::time::Duration;

/// The program that is run: this one, by its hidden command, or another.
pub fn forwarder_command() -> Command {
    let own_program = std::env::current_exe().expect("a path");
    match std::env::var_os("CEDARBRIDGE_SOAK_PROGRAM") {
        Some(program) => Command::new(program),
        None => {
            let mut command = Command::new(own_program);
            command.arg("forwarder");
            command
        }
    }
}

/// Where Cargo puts the library of `crates/faultshim`: beside the program, or in its `deps`.
pub fn fault_library() -> Option<PathBuf> {
    let folder = std::env::current_exe().ok()?.parent()?.to_owned();
    let name = "libcedarbridge_faultshim.so";
    [folder.join("deps").join(name), folder.join(name)].into_iter().find(|p| p.exists())
}

/// Sends a signal to a process.
pub fn send_signal(process: &Child, signal: Signal) {
    // It may just have ended, which is seen elsewhere.
    if let Some(pid) = Pid::from_raw(process.id() as i32) {
        let _ = kill_process(pid, signal);
    }
}

/// A free address on the same host.
pub fn free_address(same_host: SocketAddr) -> std::io::Result<SocketAddr> {
    TcpListener::bind((same_host.ip(), 0))?.local_addr()
}

/// The body of a 200 response to a GET; `None` if it does not come at once.
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
