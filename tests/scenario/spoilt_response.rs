//! Responses of an endpoint that are no use, or more than were asked for.

use std::io::{self, Read, Write};
use std::net::TcpStream;

/// What is written of a body without end at a time, in bytes.
const PART_BYTES: usize = 16 * 1024;
/// The body of a large response, in bytes.
const LARGE_BODY_BYTES: usize = 60_000;
/// How many small responses are written at a time.
const SMALL_RESPONSES: usize = 1_000;

/// What an endpoint writes instead of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SpoiltResponse {
    /// A 500 whose body does not end.
    EndlessBody,
    /// A 503 whose body stops before its last byte.
    StoppingBody,
    /// A 503 whose head does not end.
    EndlessHead,
    /// A 200, and the same again and again once more was asked on the connection.
    Copies,
    /// Nothing until the forwarder gives up the call, then one large 503 after another, each with a different head.
    LateResponses,
}

impl SpoiltResponse {
    /// The response that a script names; `None` if there is no such one.
    pub fn named(name: &str) -> Option<Self> {
        Some(match name {
            "endless-body" => SpoiltResponse::EndlessBody,
            "stopping-body" => SpoiltResponse::StoppingBody,
            "endless-head" => SpoiltResponse::EndlessHead,
            "copies" => SpoiltResponse::Copies,
            "late-responses" => SpoiltResponse::LateResponses,
            _ => return None,
        })
    }

    /// Writes the response to a call until the forwarder has closed the connection.
    pub fn write_until_closed(self, stream: &mut TcpStream) {
        // Each way ends with an error, as the forwarder closes the connection.
        let _ = match self {
            SpoiltResponse::EndlessBody => write_endlessly(stream, b"HTTP/1.1 500 No\r\n\r\n"),
            SpoiltResponse::EndlessHead => write_endlessly(stream, b"HTTP/1.1 503 No\r\nX-Padding: "),
            SpoiltResponse::StoppingBody => write_and_stop(stream),
            SpoiltResponse::Copies => write_copies(stream),
            SpoiltResponse::LateResponses => write_late(stream),
        };
    }
}

fn write_endlessly(stream: &mut TcpStream, beginning: &[u8]) -> io::Result<()> {
    stream.write_all(beginning)?;
    loop {
        stream.write_all(&[b'x'; PART_BYTES])?;
    }
}

fn write_and_stop(stream: &mut TcpStream) -> io::Result<()> {
    let head = format!("HTTP/1.1 503 No\r\nContent-Length: {LARGE_BODY_BYTES}\r\n\r\n");
    stream.write_all(head.as_bytes())?;
    stream.write_all(&[b'x'; LARGE_BODY_BYTES - 1])?;
    until_closed(stream)
}

fn write_copies(stream: &mut TcpStream) -> io::Result<()> {
    const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    stream.write_all(RESPONSE)?;
    // The next call on the connection.
    stream.read_exact(&mut [0])?;
    let copies = RESPONSE.repeat(SMALL_RESPONSES);
    loop {
        stream.write_all(&copies)?;
    }
}

fn write_late(stream: &mut TcpStream) -> io::Result<()> {
    until_closed(stream)?;
    for number in 0.. {
        let head =
            format!("HTTP/1.1 503 No\r\nX-Number: {number}\r\nContent-Length: {LARGE_BODY_BYTES}\r\n\r\n");
        stream.write_all(head.as_bytes())?;
        stream.write_all(&[b'x'; LARGE_BODY_BYTES])?;
    }
    Ok(())
}

/// Waits until the forwarder has closed its sending side.
fn until_closed(stream: &mut TcpStream) -> io::Result<()> {
    while stream.read(&mut [0; PART_BYTES])? > 0 {}
    Ok(())
}
