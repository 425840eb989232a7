//! Parses the heads of requests and responses, and finds out how the body behind each is delimited.

use super::{HttpConnection, HttpError};

/// The size limit of a head, in bytes.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
const MAX_HEADERS: usize = 64;
/// The end of the last line of a head, and the empty line behind it.
const EMPTY_LINE: &[u8] = b"\n\r\n";

/// The headers of a request or response.
#[derive(Debug, Default, Hash)]
pub struct Headers {
    /// The names and values, one behind the other.
    text: String,
    fields: Vec<Field>,
}

/// Where a header stands in the text of its [`Headers`]: the name, directly behind it the value.
#[derive(Clone, Copy, Debug, Hash)]
struct Field {
    start: u32,
    name_end: u32,
    end: u32,
}

impl From<&[httparse::Header<'_>]> for Headers {
    fn from(headers: &[httparse::Header<'_>]) -> Self {
        let length = headers.iter().map(|header| header.name.len() + header.value.len()).sum();
        let mut text = String::with_capacity(length);
        let mut fields = Vec::with_capacity(headers.len());
        for header in headers {
            let start = text.len() as u32;
            text.push_str(header.name);
            let name_end = text.len() as u32;
            text.push_str(String::from_utf8_lossy(header.value).trim());
            fields.push(Field { start, name_end, end: text.len() as u32 });
        }
        Headers { text, fields }
    }
}

impl Headers {
    /// The value of the first header with the name, in any case; `None` if there is none.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.values(name).next()
    }

    /// The number of headers with the name, in any case.
    pub fn count(&self, name: &str) -> usize {
        self.values(name).count()
    }

    fn values<'h, 'n>(&'h self, name: &'n str) -> impl Iterator<Item = &'h str> + use<'h, 'n> {
        let named = self.fields.iter().filter(move |field| self.name(field).eq_ignore_ascii_case(name));
        named.map(|field| &self.text[field.name_end as usize..field.end as usize])
    }

    fn name(&self, field: &Field) -> &str {
        &self.text[field.start as usize..field.name_end as usize]
    }

    /// Whether the comma-separated values of a header contain the token, in any case.
    fn has_token(&self, name: &str, token: &str) -> bool {
        self.values(name).flat_map(|value| value.split(',')).any(|t| t.trim().eq_ignore_ascii_case(token))
    }

    /// Whether the other side announces that it will close the connection after this exchange.
    pub fn announces_close(&self) -> bool {
        self.has_token("connection", "close")
    }

    /// Whether the sender waits for the response `100 Continue` before it sends the body.
    pub fn expects_continue(&self) -> bool {
        self.has_token("expect", "100-continue")
    }

    /// How the body is delimited; `None` if no header says so. Two such headers, or one that can be read in two ways, are an
    /// error, because they can be used to smuggle in requests.
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
    /// By its length in bytes.
    Length(usize),
    /// By its chunked transfer coding.
    Chunked,
    /// By the end of the connection.
    UntilEnd,
}

/// The head of a request, whose body is still to be read.
#[derive(Debug)]
pub struct RequestHead {
    /// The method, such as `POST`.
    pub method: String,
    /// The path and the query.
    pub target: String,
    /// The headers, in the order received.
    pub headers: Headers,
    /// Whether the connection may be used for another request.
    pub keep_alive: bool,
    pub(super) framing: Framing,
}

impl RequestHead {
    /// Whether the head announces a body of more than `limit` bytes.
    pub fn is_longer_than(&self, limit: usize) -> bool {
        matches!(self.framing, Framing::Length(length) if length > limit)
    }
}

/// The head of a response, whose body is still to be read.
#[derive(Debug)]
pub struct ResponseHead {
    /// The HTTP status code.
    pub status: u16,
    /// The headers, in the order received.
    pub headers: Headers,
    /// Whether the connection may be used for another request.
    pub keep_alive: bool,
    pub(super) framing: Framing,
}

/// A parsed head that was received completely.
struct Parsed<T> {
    head: T,
    /// The length of the head in bytes.
    length: usize,
}

/// Parses the head of a request; `None` if it is not complete.
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
        keep_alive: request.version == Some(1) && !headers.announces_close(),
        headers,
    };
    Ok(Some(Parsed { head, length }))
}

/// Parses the head of a response; `None` if it is not complete.
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
        keep_alive: response.version == Some(1) && !headers.announces_close() && framing.is_some(),
        headers,
        framing: framing.unwrap_or(Framing::UntilEnd),
    };
    Ok(Some(Parsed { head, length }))
}

/// The code in the status line at the beginning of these bytes; `None` if there is no complete and valid one.
pub fn status_line_code(bytes: &[u8]) -> Option<u16> {
    let end = bytes.iter().position(|byte| *byte == b'\n')?;
    let mut words = bytes[..end].trim_ascii_end().split(|byte| *byte == b' ');
    let version = words.next()?;
    let code = std::str::from_utf8(words.next()?).ok()?;
    let is_code = code.len() == 3 && matches!(version, b"HTTP/1.1" | b"HTTP/1.0");
    is_code.then(|| code.parse().ok()).flatten()
}

impl HttpConnection {
    /// Reads the head of a request.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection ends or stalls before the head is complete, or the head is malformed or too large.
    pub async fn read_request(&mut self) -> Result<RequestHead, HttpError> {
        self.read_head(parse_request).await.map(|parsed| parsed.head)
    }

    /// Reads the head of a response; interim responses (1xx) are skipped.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection ends or stalls before the head is complete, or the head is malformed or too large.
    pub async fn read_response(&mut self) -> Result<ResponseHead, HttpError> {
        let mut skipped_bytes = 0;
        loop {
            let parsed = self.read_head(parse_response).await?;
            if !(100..200).contains(&parsed.head.status) {
                return Ok(parsed.head);
            }
            skipped_bytes += parsed.length;
            if skipped_bytes >= MAX_HEAD_BYTES {
                return Err(HttpError::TooLarge);
            }
        }
    }

    /// Reads a head and removes it from the buffer.
    async fn read_head<T>(
        &mut self,
        parse: impl Fn(&[u8]) -> Result<Option<Parsed<T>>, HttpError>,
    ) -> Result<Parsed<T>, HttpError> {
        let mut progress = HeadProgress::default();
        loop {
            if progress.is_worth_parsing(self.buffer.bytes()) {
                if let Some(parsed) = parse(self.buffer.bytes())? {
                    self.buffer.consume(parsed.length);
                    return Ok(parsed);
                }
            }
            self.receive_more_of_head().await?;
        }
    }

    /// Receives more of a head that is not yet complete, unless it is already too large.
    async fn receive_more_of_head(&mut self) -> Result<(), HttpError> {
        if self.buffer.bytes().len() >= MAX_HEAD_BYTES {
            return Err(HttpError::TooLarge);
        }
        self.receive_head().await
    }
}

/// How far a head has been examined that arrives in parts. It is parsed from its start, but not for each part, as the parts of
/// many heads may be small.
#[derive(Default)]
struct HeadProgress {
    /// How much was there when it was last parsed, in bytes.
    parsed_bytes: usize,
    /// How much was searched for the empty line at its end, in bytes.
    searched_bytes: usize,
}

impl HeadProgress {
    /// Whether the head may be complete, or is twice as long as when it was last parsed, so that an error in it is found soon.
    fn is_worth_parsing(&mut self, bytes: &[u8]) -> bool {
        let searched_from = self.searched_bytes.saturating_sub(EMPTY_LINE.len() - 1);
        self.searched_bytes = bytes.len();
        let is_worth_parsing =
            has_empty_line(&bytes[searched_from..]) || bytes.len() >= 2 * self.parsed_bytes;
        if is_worth_parsing {
            self.parsed_bytes = bytes.len();
        }
        is_worth_parsing
    }
}

/// Whether an empty line ends within these bytes. A line may also end without a carriage return.
fn has_empty_line(bytes: &[u8]) -> bool {
    let mut line_ends = bytes.iter().enumerate().filter(|(_, byte)| **byte == b'\n').map(|(index, _)| index);
    line_ends.any(|end| matches!(&bytes[..end], [.., b'\n'] | [.., b'\n', b'\r']))
}
