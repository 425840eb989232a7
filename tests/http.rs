//! Tests of reading heads and bodies from a connection: split at every byte, and malformed in many ways.

use async_io::Async;
use cedarbridge::net::http::{HttpConnection, HttpError, RequestHead};
use std::io::Write;
use std::net::{TcpListener, TcpStream};

/// Reads a request whose bytes are sent in two writes, split at `split`.
fn read(bytes: &[u8], split: usize) -> Result<(RequestHead, Vec<u8>), HttpError> {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let mut client = TcpStream::connect(listener.local_addr().expect("bound")).expect("connects");
    let server = listener.accept().expect("accepts").0;
    let bytes = bytes.to_vec();
    let sender = std::thread::spawn(move || {
        for part in [&bytes[..split], &bytes[split..]] {
            let _ = client.write_all(part);
        }
    });
    let request = async_io::block_on(async {
        let mut connection = HttpConnection::new(Async::new(server).expect("not blocking"));
        let head = connection.read_request().await?;
        let body = connection.request_body(&head, 64).await?;
        Ok((head, body))
    });
    sender.join().expect("sent");
    request
}

#[test]
fn a_chunked_body_is_read_wherever_it_is_split() {
    let bytes = b"POST /api HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nT: 1\r\n\r\n";
    for split in 0..bytes.len() {
        let (head, body) = read(bytes, split).expect("a request");
        assert_eq!((head.method.as_str(), body.as_slice()), ("POST", &b"abcde"[..]));
    }
}

#[test]
fn malformed_too_large_and_torn_requests_each_have_a_code() {
    let code = |b: &[u8]| read(b, b.len() / 2).map(|_| ()).map_err(|e| e.code());
    assert_eq!(code(b"GET / HTTP/1.1\r\n\r\n"), Ok(()));
    assert_eq!(code(b"GET /\x01 HTTP/9\r\n\r\n"), Err("malformed"));
    assert_eq!(code(b"POST / HTTP/1.1\r\nContent-Length: +5\r\n\r\nhello"), Err("malformed"));
    assert_eq!(code(b"POST / HTTP/1.1\r\nContent-Length: 65\r\n\r\n"), Err("too-large"));
    // Guards against request smuggling by a body that two readers delimit differently: bytes that one reads as part of the
    // body, the other reads as a request.
    for length_headers in [
        "Content-Length: 1\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: chunked\r\nContent-Length: 1",
        "Content-Length: 1\r\nContent-Length: 1",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: gzip, chunked",
        "Transfer-Encoding: xchunked",
        "Content-Length: 1, 1",
        "Content-Length: -1",
        "Content-Length:",
    ] {
        let request = format!("POST / HTTP/1.1\r\n{length_headers}\r\n\r\n0\r\n\r\n");
        assert_eq!(code(request.as_bytes()), Err("malformed"), "{length_headers}");
    }
    assert_eq!(code(b"POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"), Err("malformed"));
    for size in ["", ";x", " 3", "+3", "0x3", "3;a\nb", "g", "11111111111111111"] {
        let request =
            format!("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n{size}\r\nabc\r\n0\r\n\r\n");
        assert_eq!(code(request.as_bytes()), Err("malformed"), "a chunk of size `{size}`");
    }
    let trailers = "T: 1\r\n".repeat(4000);
    let oversized = format!("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n{trailers}\r\n");
    assert_eq!(code(oversized.as_bytes()), Err("too-large"));
    assert_eq!(code(b"POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nhel"), Err("torn"));
    assert_eq!(code(b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nffffffff\r\n"), Err("too-large"));
}
