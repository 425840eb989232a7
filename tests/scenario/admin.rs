//! Admin requests.

use super::script::{text_behind, unescape};
use super::sockets::{connect, write, PATIENCE};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Instant;

/// Opens so many connections that write no more than a text and stay open.
pub fn open_idle_connections(operator: SocketAddr, count: usize, text: &str) -> Vec<TcpStream> {
    let open = |_| {
        let mut stream = connect(operator);
        stream.write_all(text.as_bytes()).expect("written");
        stream
    };
    (0..count).map(open).collect()
}

/// Sends the request of a line and checks the status of the response.
pub fn call(operator: SocketAddr, words: &[&str], rest: &str) {
    let (request, status) = match words {
        ["raw", status, ..] => (unescape(text_behind(rest, status)), *status),
        ["health", status] => ("GET /admin/health HTTP/1.1\r\n\r\n".to_owned(), *status),
        [command, id @ .., status] => {
            let body = id.concat();
            let length = body.len();
            (format!("POST /admin/{command} HTTP/1.1\r\nContent-Length: {length}\r\n\r\n{body}"), *status)
        }
        _ => panic!("no such call"),
    };
    let begun = Instant::now();
    let mut stream = connect(operator);
    write(&mut stream, request.as_bytes()).expect("written");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("an answer and an end");
    assert!(answer.starts_with(&format!("HTTP/1.1 {status} ")), "{answer}");
    assert!(begun.elapsed() < PATIENCE, "it was late");
}
