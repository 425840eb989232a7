//! HTTP/1.1 on one connection: heads by httparse, bodies by length or in chunks, within size limits.

use async_io::{Async, Timer};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use std::fmt;
use std::io;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::task::Poll;
use std::time::Duration;

/// The largest head that is read.
pub const HEAD_LIMIT: usize = 16 * 1024;
const HEADER_COUNT: usize = 64;
const FIRST_ROOM: usize = 2 * 1024;
const KEPT_ROOM: usize = 16 * 1024;
/// Many connections are read away at once, and each has this much for it.
const SCRATCH: usize = 4 * 1024;

/// Why nothing more can be read from a connection.
#[derive(Debug)]
pub enum HttpError {
    /// It ended between two heads.
    Closed,
    /// It ended in the middle of something.
    UnexpectedEnd,
    /// The socket failed.
    Socket(io::Error),
    /// What came is not HTTP/1.1 as it should be.
    Malformed(&'static str),
    /// Head or body is over its limit.
    TooLarge,
    /// It came to a stop in the middle of something.
    TimedOut,
}

impl HttpError {
    /// A code for the log.
    pub fn code(&self) -> &'static str {
        match self {
            HttpError::Closed => "ended",
            HttpError::UnexpectedEnd => "torn",
            HttpError::Socket(_) => "socket",
            HttpError::Malformed(_) => "malformed",
            HttpError::TooLarge => "too-large",
            HttpError::TimedOut => "stalled",
        }
    }
}

impl fmt::Display for HttpError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            HttpError::Socket(e) => write!(f, "{e}"),
            HttpError::Malformed(what) => f.write_str(what),
            other => f.write_str(other.code()),
        }
    }
}

/// The one buffer of a connection: it grows as needed and is compacted in place.
#[derive(Default)]
pub struct Buffer {
    data: Vec<u8>,
    start: usize,
    end: usize,
}

impl Buffer {
    /// What has been read and not yet used.
    pub fn bytes(&self) -> &[u8] {
        &self.data[self.start..self.end]
    }

    /// Marks bytes as used; an empty buffer that had grown gives its room back.
    pub fn consume(&mut self, count: usize) {
        self.start += count;
        if self.start >= self.end {
            (self.start, self.end) = (0, 0);
            if self.data.len() > KEPT_ROOM {
                self.data = Vec::new();
            }
        }
    }

    fn room(&mut self) -> &mut [u8] {
        if self.end == self.data.len() {
            if self.start > 0 {
                self.data.copy_within(self.start..self.end, 0);
                (self.start, self.end) = (0, self.end - self.start);
            }
            // Compacting frees little when nearly all is unused; then it grows as well.
            if self.data.len() - self.end < self.data.len() / 4 + 1 {
                self.data.resize((2 * self.data.len()).max(FIRST_ROOM), 0);
            }
        }
        &mut self.data[self.end..]
    }
}

/// The header fields of a head.
#[derive(Debug, Default)]
pub struct Headers(Vec<(String, String)>);

impl Headers {
    fn read(headers: &[httparse::Header<'_>]) -> Self {
        let text = |v: &[u8]| String::from_utf8_lossy(v).trim().to_owned();
        Headers(headers.iter().map(|h| (h.name.to_owned(), text(h.value))).collect())
    }

    /// The first field of that name.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.0.iter().find(|f| f.0.eq_ignore_ascii_case(name)).map(|f| f.1.as_str())
    }

    /// How often a field comes.
    pub fn count(&self, name: &str) -> usize {
        self.0.iter().filter(|f| f.0.eq_ignore_ascii_case(name)).count()
    }

    fn has_word(&self, name: &str, word: &str) -> bool {
        let named = self.0.iter().filter(|f| f.0.eq_ignore_ascii_case(name));
        named.flat_map(|f| f.1.split(',')).any(|w| w.trim().eq_ignore_ascii_case(word))
    }

    /// The other side will close after this exchange.
    pub fn says_close(&self) -> bool {
        self.has_word("connection", "close")
    }

    /// The sender waits for a word before it sends the body.
    pub fn expects_continue(&self) -> bool {
        self.has_word("expect", "100-continue")
    }

    /// How the body is marked off. Two marks, or one that is read in two ways, are an old trick to smuggle in
    /// a request.
    fn framing(&self, version: Option<u8>) -> Result<Option<Framing>, HttpError> {
        match (self.count("content-length"), self.count("transfer-encoding")) {
            (0, 0) => Ok(None),
            (1, 0) => {
                let length = self.get("content-length").filter(|l| l.bytes().all(|b| b.is_ascii_digit()));
                let length = length.and_then(|l| l.parse().ok());
                Ok(Some(Framing::Length(
                    length.ok_or(HttpError::Malformed("the body's length is no number"))?,
                )))
            }
            (0, 1) if version == Some(1) => {
                let chunked =
                    self.get("transfer-encoding").is_some_and(|c| c.eq_ignore_ascii_case("chunked"));
                chunked
                    .then_some(Some(Framing::Chunked))
                    .ok_or(HttpError::Malformed("unknown transfer coding"))
            }
            _ => Err(HttpError::Malformed("two marks of the body's length")),
        }
    }
}

#[derive(Clone, Copy, Debug)]
enum Framing {
    Length(usize),
    Chunked,
    UntilEnd,
}

/// The head of a request, its body still to be read.
#[derive(Debug)]
pub struct RequestHead {
    /// Its method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Its header fields.
    pub headers: Headers,
    /// The connection may be used again after it.
    pub keep_alive: bool,
    framing: Framing,
}

impl RequestHead {
    /// The body is said to be longer than that.
    pub fn is_longer_than(&self, limit: usize) -> bool {
        matches!(self.framing, Framing::Length(length) if length > limit)
    }
}

/// The head of an answer, its body still to be read.
#[derive(Debug)]
pub struct ResponseHead {
    /// Its status.
    pub status: u16,
    /// Its header fields.
    pub headers: Headers,
    /// The connection may be used again after it.
    pub keep_alive: bool,
    framing: Framing,
}

/// A head and what belongs to it, each after its length.
pub fn frame(head: &[u8], body: &[u8]) -> Vec<u8> {
    let sizes = [head, body].map(|p| (p.len() as u32).to_le_bytes());
    [sizes.concat().as_slice(), head, body].concat()
}

/// Writes all of it; an interruption by a signal ends nothing.
pub async fn write_all(stream: &mut Async<TcpStream>, bytes: &[u8]) -> io::Result<()> {
    let mut rest = bytes;
    while !rest.is_empty() {
        match stream.write(rest).await {
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            Ok(written) => rest = &rest[written..],
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
    Ok(())
}

/// A connection with its buffer.
pub struct HttpConnection {
    stream: Async<TcpStream>,
    /// What has come and is not yet used.
    pub buffer: Buffer,
    /// What has begun must go on within this; without it, for ever.
    pub stall_timeout: Option<Duration>,
}

impl HttpConnection {
    /// Wraps an open connection.
    pub fn new(stream: Async<TcpStream>) -> Self {
        // Small messages must not wait for the answer to earlier ones.
        let _ = stream.get_ref().set_nodelay(true);
        HttpConnection { stream, buffer: Buffer::default(), stall_timeout: None }
    }

    /// Who is at the other end.
    pub fn peer(&self) -> Option<SocketAddr> {
        self.stream.get_ref().peer_addr().ok()
    }

    /// The socket, for what only a socket can be told.
    pub fn socket(&self) -> &TcpStream {
        self.stream.get_ref()
    }

    /// Reads some more into the buffer; nothing means that the other side has ended its sending.
    pub async fn fill(&mut self) -> io::Result<usize> {
        loop {
            match self.stream.read(self.buffer.room()).await {
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Ok(got) => {
                    self.buffer.end += got;
                    return Ok(got);
                }
                failed => return failed,
            }
        }
    }

    /// More of a head; nothing has begun while the buffer is empty.
    async fn more(&mut self) -> Result<(), HttpError> {
        let begun = !self.buffer.bytes().is_empty();
        self.more_within(self.stall_timeout.filter(|_| begun)).await.map_err(|e| match e {
            HttpError::UnexpectedEnd if !begun => HttpError::Closed,
            e => e,
        })
    }

    /// More of a body: within it every end is a torn one, also with nothing left in the buffer.
    async fn more_of_it(&mut self) -> Result<(), HttpError> {
        self.more_within(self.stall_timeout).await
    }

    async fn more_within(&mut self, stall: Option<Duration>) -> Result<(), HttpError> {
        let late = async {
            match stall {
                Some(stall) => Timer::after(stall).await,
                None => future::pending().await,
            };
            Err(HttpError::TimedOut)
        };
        let filled = async {
            match self.fill().await {
                Ok(0) => Err(HttpError::UnexpectedEnd),
                Ok(_) => Ok(()),
                Err(e) => Err(HttpError::Socket(e)),
            }
        };
        future::or(filled, late).await
    }

    /// Reads a head of so many bytes at most and what belongs to it, as [`frame`] writes them. What has come is kept if
    /// this is dropped before it is whole.
    pub async fn read_frame(&mut self, limit: usize) -> Result<(Vec<u8>, Vec<u8>), HttpError> {
        loop {
            let bytes = self.buffer.bytes();
            if let Some((sizes, rest)) = bytes.split_first_chunk::<8>() {
                let (head, body) = sizes.split_at(4);
                let size = |s: &[u8]| u32::from_le_bytes(s.try_into().expect("four bytes")) as usize;
                let (head, body) = (size(head), size(body));
                if head > limit || body > limit {
                    return Err(HttpError::TooLarge);
                }
                if rest.len() >= head + body {
                    let whole = (rest[..head].to_vec(), rest[head..head + body].to_vec());
                    self.buffer.consume(8 + head + body);
                    return Ok(whole);
                }
            }
            self.more().await?;
        }
    }

    /// Tells the other side that nothing more will be written.
    pub fn shutdown_write(&self) {
        let _ = self.stream.get_ref().shutdown(Shutdown::Write);
    }

    /// The same connection once more, for what is written while something is read.
    pub fn writer(&self) -> io::Result<Async<TcpStream>> {
        Async::new(self.stream.get_ref().try_clone()?)
    }

    /// Reads away whatever comes, up to the end.
    pub async fn discard_until_end(&mut self) {
        let mut scratch = vec![0; SCRATCH];
        loop {
            match self.stream.read(&mut scratch).await {
                Err(e) if e.kind() != io::ErrorKind::Interrupted => return,
                Ok(0) => return,
                // One that keeps sending is always ready and must not keep the others from their turn.
                _ => future::yield_now().await,
            }
        }
    }

    /// Writes all of it.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        write_all(&mut self.stream, bytes).await
    }

    /// Reads the head of a request.
    pub async fn read_request(&mut self) -> Result<RequestHead, HttpError> {
        loop {
            let mut headers = [httparse::EMPTY_HEADER; HEADER_COUNT];
            let mut head = httparse::Request::new(&mut headers);
            match head.parse(self.buffer.bytes()) {
                Ok(httparse::Status::Complete(used)) => {
                    let fields = Headers::read(head.headers);
                    let framing = fields.framing(head.version)?.unwrap_or(Framing::Length(0));
                    let keeps = head.version == Some(1) && !fields.says_close();
                    let word = |w: Option<&str>| w.unwrap_or_default().to_owned();
                    let (method, target) = (word(head.method), word(head.path));
                    self.buffer.consume(used);
                    return Ok(RequestHead { method, target, headers: fields, keep_alive: keeps, framing });
                }
                Ok(httparse::Status::Partial) if self.buffer.bytes().len() >= HEAD_LIMIT => {
                    return Err(HttpError::TooLarge)
                }
                Ok(httparse::Status::Partial) => self.more().await?,
                Err(httparse::Error::TooManyHeaders) => return Err(HttpError::TooLarge),
                Err(_) => return Err(HttpError::Malformed("the head is malformed")),
            }
        }
    }

    /// Reads the head of an answer; interim ones are passed over.
    pub async fn read_response(&mut self) -> Result<ResponseHead, HttpError> {
        let mut passed = 0;
        loop {
            let mut headers = [httparse::EMPTY_HEADER; HEADER_COUNT];
            let mut head = httparse::Response::new(&mut headers);
            match head.parse(self.buffer.bytes()) {
                Ok(httparse::Status::Complete(used)) => {
                    let status = head.code.unwrap_or_default();
                    let fields = Headers::read(head.headers);
                    let bare = matches!(status, 100..=199 | 204 | 304);
                    let marked =
                        if bare { Some(Framing::Length(0)) } else { fields.framing(head.version)? };
                    let keeps = head.version == Some(1) && !fields.says_close() && marked.is_some();
                    self.buffer.consume(used);
                    if !(100..200).contains(&status) {
                        let framing = marked.unwrap_or(Framing::UntilEnd);
                        return Ok(ResponseHead { status, headers: fields, keep_alive: keeps, framing });
                    }
                    passed += used;
                    if passed >= HEAD_LIMIT {
                        return Err(HttpError::TooLarge);
                    }
                }
                Ok(httparse::Status::Partial) if self.buffer.bytes().len() >= HEAD_LIMIT => {
                    return Err(HttpError::TooLarge)
                }
                Ok(httparse::Status::Partial) => self.more().await?,
                Err(_) => return Err(HttpError::Malformed("the head is malformed")),
            }
        }
    }

    /// Reads the body of a request.
    pub async fn request_body(&mut self, head: &RequestHead, limit: usize) -> Result<Vec<u8>, HttpError> {
        self.body(head.framing, limit).await
    }

    /// Reads the body of an answer.
    pub async fn response_body(&mut self, head: &ResponseHead, limit: usize) -> Result<Vec<u8>, HttpError> {
        self.body(head.framing, limit).await
    }

    async fn body(&mut self, framing: Framing, limit: usize) -> Result<Vec<u8>, HttpError> {
        match framing {
            Framing::Length(length) if length > limit => Err(HttpError::TooLarge),
            Framing::Length(length) => {
                while self.buffer.bytes().len() < length {
                    self.more_of_it().await?;
                }
                let body = self.buffer.bytes()[..length].to_vec();
                self.buffer.consume(length);
                Ok(body)
            }
            Framing::Chunked => {
                let mut body = Vec::new();
                while let Some(part) = self.read_chunk(limit - body.len()).await? {
                    body.extend_from_slice(&part);
                }
                Ok(body)
            }
            Framing::UntilEnd => loop {
                if self.buffer.bytes().len() > limit {
                    return Err(HttpError::TooLarge);
                }
                match self.more_of_it().await {
                    Err(HttpError::UnexpectedEnd) => return Ok(self.buffer.bytes().to_vec()),
                    more => more?,
                }
            },
        }
    }

    /// The next chunk of a chunked body of an answer or request; none after the last.
    pub async fn read_chunk(&mut self, limit: usize) -> Result<Option<Vec<u8>>, HttpError> {
        loop {
            let parsed = httparse::parse_chunk_size(self.buffer.bytes());
            let (used, size) = match parsed {
                Ok(httparse::Status::Complete((used, size))) => (used, size),
                Ok(httparse::Status::Partial) if self.buffer.bytes().len() < HEAD_LIMIT => {
                    self.more_of_it().await?;
                    continue;
                }
                Ok(httparse::Status::Partial) => return Err(HttpError::TooLarge),
                Err(_) => return Err(HttpError::Malformed("a chunk's size is malformed")),
            };
            // The parser reads a line without a digit as 0, and passes over anything behind a semicolon.
            let line = &self.buffer.bytes()[..used - 2];
            if !line.first().is_some_and(u8::is_ascii_hexdigit) || line.iter().any(|b| b.is_ascii_control()) {
                return Err(HttpError::Malformed("a chunk's size is malformed"));
            }
            if size > limit as u64 {
                return Err(HttpError::TooLarge);
            }
            if size == 0 {
                self.buffer.consume(used);
                return self.trailer().await.map(|()| None);
            }
            let size = size as usize;
            while self.buffer.bytes().len() < used + size + 2 {
                self.more_of_it().await?;
            }
            let bytes = &self.buffer.bytes()[used..];
            if &bytes[size..size + 2] != b"\r\n" {
                return Err(HttpError::Malformed("a chunk does not end where it should"));
            }
            let part = bytes[..size].to_vec();
            self.buffer.consume(used + size + 2);
            return Ok(Some(part));
        }
    }

    /// Passes over what follows the last chunk, up to an empty line.
    async fn trailer(&mut self) -> Result<(), HttpError> {
        let mut passed = 0;
        loop {
            match self.buffer.bytes().windows(2).position(|w| w == b"\r\n") {
                Some(0) => {
                    self.buffer.consume(2);
                    return Ok(());
                }
                Some(at) if passed + at < HEAD_LIMIT => {
                    passed += at + 2;
                    self.buffer.consume(at + 2);
                }
                Some(_) => return Err(HttpError::TooLarge),
                None if self.buffer.bytes().len() >= HEAD_LIMIT => return Err(HttpError::TooLarge),
                None => self.more_of_it().await?,
            }
        }
    }

    /// Whether the other side has ended or sent something while nothing was asked, by the code of the reason. What it sent is
    /// kept, so that whoever looks next sees it too.
    pub fn poll_idle_end(&mut self, cx: &mut std::task::Context<'_>) -> Option<&'static str> {
        use futures_lite::AsyncRead;
        if !self.buffer.bytes().is_empty() {
            return Some("unasked");
        }
        match std::pin::Pin::new(&mut self.stream).poll_read(cx, self.buffer.room()) {
            Poll::Pending => None,
            Poll::Ready(Err(e)) if e.kind() == io::ErrorKind::Interrupted => {
                cx.waker().wake_by_ref();
                None
            }
            Poll::Ready(Ok(got)) if got > 0 => {
                self.buffer.end += got;
                Some("unasked")
            }
            Poll::Ready(_) => Some("peer-closed"),
        }
    }
}
