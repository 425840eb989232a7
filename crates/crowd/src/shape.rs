//! What each client of a crowd sends, and what it leaves out.

use std::str::FromStr;
use std::time::Duration;

/// The largest body that the forwarder accepts, in bytes.
const BODY_BYTES: usize = 64 * 1024;
/// The size of the field of [`Shape::LargeHead`], in bytes; with the rest of its head it stays below the forwarder's limit.
const LARGE_FIELD_BYTES: usize = 15_000;
/// The number of fields of [`Shape::ManyFields`].
const FIELD_COUNT: usize = 3_000;
/// The size of the field of [`Shape::HeadByteByByte`], in bytes.
const SLOW_FIELD_BYTES: usize = 2_000;
/// The pause between two bytes of a head that is sent byte by byte.
const BYTE_INTERVAL: Duration = Duration::from_millis(1);

/// How the clients of a crowd misbehave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shape {
    /// They send nothing.
    Idle,
    /// They send the head of a request with the largest body, and nothing of the body.
    HeadOnly,
    /// They stop in the middle of the largest body.
    StopsInMiddle,
    /// They stop before the last byte of the largest body.
    StopsBeforeLastByte,
    /// They send the largest body in chunks of this many bytes and leave out the last chunk.
    Chunks(usize),
    /// They send the largest body in chunks of this many bytes, complete.
    WholeChunks(usize),
    /// Their head has a field that is nearly as large as a head may be, and does not end.
    LargeHead,
    /// Their head has very many short fields.
    ManyFields,
    /// They send a valid request byte by byte.
    HeadByteByByte,
    /// They send a complete request with the largest body.
    WholeLarge,
    /// They ask for the counters by destination and read nothing.
    ReadsNothing,
    /// They send small valid requests as fast as they are answered, each under a new id.
    FloodSmall,
    /// They send requests that cannot be read as fast as they are answered.
    FloodUnsound,
    /// They send requests for ever new classes, tenants and destinations as fast as they are answered.
    FloodNewNames,
}

/// A name that stands for no shape.
#[derive(Debug, PartialEq, Eq)]
pub struct UnknownShape(String);

impl FromStr for Shape {
    type Err = UnknownShape;

    /// Parses names such as `stops-in-middle`, `chunks-1` and `whole-chunks-4096`.
    fn from_str(name: &str) -> Result<Self, UnknownShape> {
        let sized = |prefix: &str| name.strip_prefix(prefix).and_then(|size| size.parse().ok());
        if let Some(size) = sized("whole-chunks-") {
            return Ok(Shape::WholeChunks(size));
        }
        if let Some(size) = sized("chunks-") {
            return Ok(Shape::Chunks(size));
        }
        Ok(match name {
            "idle" => Shape::Idle,
            "head-only" => Shape::HeadOnly,
            "stops-in-middle" => Shape::StopsInMiddle,
            "stops-before-last-byte" => Shape::StopsBeforeLastByte,
            "large-head" => Shape::LargeHead,
            "many-fields" => Shape::ManyFields,
            "head-byte-by-byte" => Shape::HeadByteByByte,
            "whole-large" => Shape::WholeLarge,
            "reads-nothing" => Shape::ReadsNothing,
            "flood-small" => Shape::FloodSmall,
            "flood-unsound" => Shape::FloodUnsound,
            "flood-new-names" => Shape::FloodNewNames,
            _ => return Err(UnknownShape(name.to_owned())),
        })
    }
}

/// How fast a client sends.
pub(crate) enum Pace {
    /// As fast as the connection takes it.
    AtOnce,
    /// One byte, then a pause of this length.
    ByteByByte(Duration),
}

impl Shape {
    /// Whether the clients send one request after another on a connection.
    pub(crate) fn is_flood(self) -> bool {
        matches!(self, Shape::FloodSmall | Shape::FloodUnsound | Shape::FloodNewNames)
    }

    /// Whether the clients read what they are sent.
    pub(crate) fn reads(self) -> bool {
        self != Shape::ReadsNothing
    }

    /// How fast the clients send.
    pub(crate) fn pace(self) -> Pace {
        match self {
            Shape::HeadByteByByte => Pace::ByteByByte(BYTE_INTERVAL),
            _ => Pace::AtOnce,
        }
    }

    /// What a client sends under a request id.
    pub(crate) fn request(self, id: &str) -> Vec<u8> {
        let with_length = |sent: usize| {
            let head = request_head(id, &format!("Content-Length: {BODY_BYTES}\r\n"));
            [head.as_bytes(), &vec![b'x'; sent]].concat()
        };
        let open_head = request_head(id, "Content-Length: 0\r\n");
        let open_head = open_head.trim_end_matches("\r\n");
        match self {
            Shape::Idle => Vec::new(),
            Shape::HeadOnly => with_length(0),
            Shape::StopsInMiddle => with_length(BODY_BYTES / 2),
            Shape::StopsBeforeLastByte => with_length(BODY_BYTES - 1),
            Shape::WholeLarge => with_length(BODY_BYTES),
            Shape::Chunks(size) => chunked_request(id, size, BODY_BYTES / size - 1, ""),
            Shape::WholeChunks(size) => chunked_request(id, size, BODY_BYTES / size, "0\r\n\r\n"),
            Shape::LargeHead => format!("{open_head}\r\nX-Large: {}", "y".repeat(LARGE_FIELD_BYTES)).into(),
            Shape::ManyFields => format!("{open_head}\r\n{}", "a:b\r\n".repeat(FIELD_COUNT)).into(),
            Shape::HeadByteByByte => {
                format!("{open_head}\r\nX-Slow: {}\r\n\r\n", "z".repeat(SLOW_FIELD_BYTES)).into()
            }
            Shape::ReadsNothing => b"GET /_counters?by=partner HTTP/1.1\r\n\r\n".to_vec(),
            Shape::FloodSmall => {
                request_head(id, "Content-Length: 5\r\n").into_bytes().into_iter().chain(*b"hello").collect()
            }
            Shape::FloodUnsound => {
                b"POST /api HTTP/1.1\r\nX-Request-Id: ?\r\nX-Class: notice\r\n\r\n".to_vec()
            }
            Shape::FloodNewNames => request_head(id, "Content-Length: 0\r\n")
                .replace("X-Class: notice", &format!("X-Class: {id}"))
                .into(),
        }
    }
}

/// The head of a message under a request id, with a field that delimits its body.
pub(crate) fn request_head(id: &str, framing: &str) -> String {
    format!(
        "POST /api HTTP/1.1\r\nX-Request-Id: {id}\r\nX-Class: notice\r\nX-Tenant: acme\r\nX-Deadline: 9000m\r\n\
         Idempotency-Key: key-{id}\r\nX-Addressing: dest=1\r\n{framing}\r\n"
    )
}

fn chunked_request(id: &str, chunk_bytes: usize, chunks: usize, end: &str) -> Vec<u8> {
    let head = request_head(id, "Transfer-Encoding: chunked\r\n");
    let chunk = format!("{chunk_bytes:x}\r\n{}\r\n", "x".repeat(chunk_bytes));
    [head, chunk.repeat(chunks), end.to_owned()].concat().into_bytes()
}
