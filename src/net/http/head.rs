//! The heads of requests and responses, and how the body behind each is delimited.

use super::{HttpConnection, HttpError};

/// The largest head that is read.
pub const HEAD_LIMIT: usize = 16 * 1024;
const MAX_HEADERS: usize = 64;

/// The headers of a request or response.
#[derive(Debug, Default)]
pub struct Headers(Vec<Header>);

#[derive(Debug)]
struct Header {
    name: String,
    value: String,
}

impl From<&[httparse::Header<'_>]> for Headers {
    fn from(headers: &[httparse::Header<'_>]) -> Self {
        let owned = |header: &httparse::Header<'_>| Header {
            name: header.name.to_owned(),
            value: String::from_utf8_lossy(header.value).trim().to_owned(),
        };
        Headers(headers.iter().map(owned).collect())
    }
}

impl Headers {
    /// The value of the first header of that name.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.values(name).next()
    }

    /// How many headers have that name.
    pub fn count(&self, name: &str) -> usize {
        self.values(name).count()
    }

    fn values<'h, 'n>(&'h self, name: &'n str) -> impl Iterator<Item = &'h str> + use<'h, 'n> {
        let named = self.0.iter().filter(move |header| header.name.eq_ignore_ascii_case(name));
        named.map(|header| header.value.as_str())
    }

    fn has_token(&self, name: &str, token: &str) -> bool {
        self.values(name).flat_map(|value| value.split(',')).any(|t| t.trim().eq_ignore_ascii_case(token))
    }

    /// The other side will close the connection after this exchange.
    pub fn says_close(&self) -> bool {
        self.has_token("connection", "close")
    }

    /// The sender waits for an interim response before it sends the body.
    pub fn expects_continue(&self) -> bool {
        self.has_token("expect", "100-continue")
    }

    /// How the body is delimited, if a header says so. Two such headers, or one that can be read in two ways, are how
    /// requests are smuggled in.
    fn framing(&self, version: Option<u8>) -> Result<Option<Framing>, HttpError> {
        match (self.count("content-length"), self.count("transfer-encoding")) {
            (0, 0) => Ok(None),
            (1, 0) => {
                let digits = self.get("content-length").filter(|l| l.bytes().all(|b| b.is_ascii_digit()));
                let length = digits.and_then(|digits| digits.parse().ok());
                let length = length.ok_or(HttpError::Malformed("the body's length is no number"))?;
                Ok(Some(Framing::Length(length)))
            }
            (0, 1) if version == Some(1) => {
                match self
                    .get("transfer-encoding")
                    .is_some_and(|coding| coding.eq_ignore_ascii_case("chunked"))
                {
                    true => Ok(Some(Framing::Chunked)),
                    false => Err(HttpError::Malformed("unknown transfer coding")),
                }
            }
            _ => Err(HttpError::Malformed("two marks of the body's length")),
        }
    }
}

/// How a body is delimited.
#[derive(Clone, Copy, Debug)]
pub(super) enum Framing {
    /// It has so many bytes.
    Length(usize),
    /// It comes in chunks.
    Chunked,
    /// It ends with the connection.
    UntilEnd,
}

/// The head of a request, its body still to be read.
#[derive(Debug)]
pub struct RequestHead {
    /// Its method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Its headers.
    pub headers: Headers,
    /// The connection may be used again after it.
    pub keep_alive: bool,
    pub(super) framing: Framing,
}

impl RequestHead {
    /// Whether the head announces a body longer than that.
    pub fn is_longer_than(&self, limit: usize) -> bool {
        matches!(self.framing, Framing::Length(length) if length > limit)
    }
}

/// The head of a response, its body still to be read.
#[derive(Debug)]
pub struct ResponseHead {
    /// Its status.
    pub status: u16,
    /// Its headers.
    pub headers: Headers,
    /// The connection may be used again after it.
    pub keep_alive: bool,
    pub(super) framing: Framing,
}

/// A head that has been received completely.
struct Parsed<T> {
    head: T,
    /// How many bytes it takes.
    length: usize,
}

/// Parses a head of a request, if it is complete.
fn parse_request(bytes: &[u8]) -> Result<Option<Parsed<RequestHead>>, HttpError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let length = match request.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => return Err(HttpError::TooLarge),
        Err(_) => return Err(HttpError::Malformed("the head is malformed")),
    };
    let headers = Headers::from(&*request.headers);
    let head = RequestHead {
        method: request.method.unwrap_or_default().to_owned(),
        target: request.path.unwrap_or_default().to_owned(),
        framing: headers.framing(request.version)?.unwrap_or(Framing::Length(0)),
        keep_alive: request.version == Some(1) && !headers.says_close(),
        headers,
    };
    Ok(Some(Parsed { head, length }))
}

/// Parses a head of a response, if it is complete.
fn parse_response(bytes: &[u8]) -> Result<Option<Parsed<ResponseHead>>, HttpError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let length = match response.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err(HttpError::Malformed("the head is malformed")),
    };
    let status = response.code.unwrap_or_default();
    let headers = Headers::from(&*response.headers);
    let framing = match status {
        100..=199 | 204 | 304 => Some(Framing::Length(0)),
        _ => headers.framing(response.version)?,
    };
    let head = ResponseHead {
        status,
        keep_alive: response.version == Some(1) && !headers.says_close() && framing.is_some(),
        headers,
        framing: framing.unwrap_or(Framing::UntilEnd),
    };
    Ok(Some(Parsed { head, length }))
}

impl HttpConnection {
    /// Reads the head of a request.
    ///
    /// # Errors
    ///
    /// If the connection ends or stalls before the head is complete, or it is malformed or too large.
    pub async fn read_request(&mut self) -> Result<RequestHead, HttpError> {
        loop {
            if let Some(parsed) = parse_request(self.buffer.bytes())? {
                self.buffer.consume(parsed.length);
                return Ok(parsed.head);
            }
            self.receive_more_of_head().await?;
        }
    }

    /// Reads the head of a response; interim ones are skipped.
    ///
    /// # Errors
    ///
    /// If the connection ends or stalls before the head is complete, or it is malformed or too large.
    pub async fn read_response(&mut self) -> Result<ResponseHead, HttpError> {
        let mut skipped_bytes = 0;
        loop {
            let Some(parsed) = parse_response(self.buffer.bytes())? else {
                self.receive_more_of_head().await?;
                continue;
            };
            self.buffer.consume(parsed.length);
            if !(100..200).contains(&parsed.head.status) {
                return Ok(parsed.head);
            }
            skipped_bytes += parsed.length;
            if skipped_bytes >= HEAD_LIMIT {
                return Err(HttpError::TooLarge);
            }
        }
    }

    async fn receive_more_of_head(&mut self) -> Result<(), HttpError> {
        if self.buffer.bytes().len() >= HEAD_LIMIT {
            return Err(HttpError::TooLarge);
        }
        self.receive_head().await
    }
}
