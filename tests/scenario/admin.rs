//! Sends admin requests to the forwarder.

use super::script::{text_after, unescape};
use super::sockets::{connect, write, STEP_TIMEOUT};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Instant;

/// Opens connections that send only the given text and stay open.
pub fn open_idle_connections(admin_address: SocketAddr, count: usize, text: &str) -> Vec<TcpStream> {
    let open = |_| {
        let mut stream = connect(admin_address);
        stream.write_all(text.as_bytes()).expect("written");
        stream
    };
    (0..count).map(open).collect()
}

/// Sends the request that a line describes and checks the status of the response.
pub fn send_request(admin_address: SocketAddr, words: &[&str], rest: &str) {
    let (request, status) = match words {
        ["raw", status, ..] => (unescape(text_after(rest, status)), *status),
        ["health", status] => ("GET /admin/health HTTP/1.1\r\n\r\n".to_owned(), *status),
        [command, endpoint @ .., status] => {
            let body = endpoint.concat();
            let length = body.len();
            (format!("POST /admin/{command} HTTP/1.1\r\nContent-Length: {length}\r\n\r\n{body}"), *status)
        }
        _ => panic!("no such admin request"),
    };
    let started_at = Instant::now();
    let mut stream = connect(admin_address);
    write(&mut stream, request.as_bytes()).expect("written");
    let mut response = String::new();
    stream.read_to_string(&mut response).expect("a response and the end of the connection");
    assert!(response.starts_with(&format!("HTTP/1.1 {status} ")), "{response}");
    assert!(started_at.elapsed() < STEP_TIMEOUT, "the response was late");
}
