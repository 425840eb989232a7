//! HTTP/1.1 on blocking sockets: reads requests and writes responses.

use crate::FaultMode;
use flate2::{write::GzEncoder, Compression};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;

/// Reads a request and returns its method, path and body; `None` if the connection ends or the request is malformed.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> Option<(String, String, Vec<u8>)> {
    let mut request_line = String::new();
    reader.read_line(&mut request_line).ok().filter(|n| *n > 0)?;
    let mut length = 0;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|n| *n > 0)?;
        match line.trim().split_once(": ") {
            Some((name, value)) if name.eq_ignore_ascii_case("content-length") => {
                length = value.parse().ok()?
            }
            Some(_) => {}
            None => break,
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    let mut words = request_line.split_whitespace().map(str::to_owned);
    Some((words.next()?, words.next()?, body))
}

/// Writes a response, chunked if the body has 4096 bytes or more.
pub(crate) fn write_response(
    stream: &mut TcpStream,
    status: u16,
    body: Vec<u8>,
    mode: &FaultMode,
) -> std::io::Result<()> {
    let (body, encoding_header) = if mode.gzip && !body.is_empty() {
        let mut encoder = GzEncoder::new(Vec::new(), Compression::fast());
        encoder.write_all(&body)?;
        (encoder.finish()?, "Content-Encoding: gzip\r\n")
    } else {
        (body, "")
    };
    if mode.truncate_responses {
        let head = format!("HTTP/1.1 {status} X\r\n{encoding_header}Content-Length: {}\r\n\r\n", body.len());
        stream.write_all(head.as_bytes())?;
        return stream.write_all(&body[..body.len() / 2]);
    }
    if body.len() < 4096 {
        let head = format!("HTTP/1.1 {status} X\r\n{encoding_header}Content-Length: {}\r\n\r\n", body.len());
        stream.write_all(head.as_bytes())?;
        return stream.write_all(&body);
    }
    stream.write_all(
        format!("HTTP/1.1 {status} X\r\n{encoding_header}Transfer-Encoding: chunked\r\n\r\n").as_bytes(),
    )?;
    for part in body.chunks(64 * 1024) {
        stream.write_all(format!("{:x}\r\n", part.len()).as_bytes())?;
        stream.write_all(part)?;
        stream.write_all(b"\r\n")?;
    }
    stream.write_all(b"0\r\n\r\n")
}
