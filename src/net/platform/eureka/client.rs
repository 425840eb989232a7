//! One registry address over HTTP: a request, its response within time and size limits. It decides nothing.

use super::model::{Applications, DecodeError};
use super::{json, xml};
use crate::membership::RegistryAddress;
use crate::net::dial::connect;
use crate::net::http::{HttpConnection, HttpError};
use crate::net::{run_blocking, within_or_error};
use crate::Micros;
use std::io::{self, Read};
use std::net::{IpAddr, SocketAddr, ToSocketAddrs};
use std::time::Duration;

/// Why a request has no response that can be used.
#[derive(Debug, thiserror::Error)]
pub enum RegistryError {
    /// The host's name leads nowhere.
    #[error("the name `{0}` leads nowhere")]
    UnknownHost(String),
    /// The connection failed, or what was received is no HTTP within the limits.
    #[error("{0}")]
    Http(#[from] HttpError),
    /// Another status than wanted.
    #[error("status {0}")]
    Status(u16),
    /// It cannot be decompressed.
    #[error("it cannot be unpacked: {0}")]
    Decompression(io::Error),
    /// It decompresses to more than this.
    #[error("it cannot be unpacked: more than {0} bytes")]
    TooLarge(usize),
    /// It cannot be read.
    #[error("{0}")]
    Malformed(#[from] DecodeError),
}

/// A registry address, with its connection while that can be used again.
pub struct RegistryClient {
    address: RegistryAddress,
    timeout: Duration,
    max_body_bytes: usize,
    connection: Option<HttpConnection>,
}

/// A response, its body decompressed.
pub struct RegistryResponse {
    /// Its status.
    pub status: u16,
    /// Its body.
    pub body: Vec<u8>,
}

impl RegistryClient {
    /// A client of that address. Each request may take so many microseconds, and each body so many bytes.
    pub fn new(address: RegistryAddress, timeout_us: Micros, max_body_bytes: usize) -> Self {
        RegistryClient {
            address,
            timeout: Duration::from_micros(timeout_us),
            max_body_bytes,
            connection: None,
        }
    }

    /// Sends a request below the address's prefix and receives the response. A connection that was kept and has died
    /// meanwhile is not a failure: the request is sent once more.
    ///
    /// # Errors
    ///
    /// If there is no response within the limits.
    pub async fn send(
        &mut self,
        method: &str,
        path: &str,
        body: Option<&str>,
    ) -> Result<RegistryResponse, RegistryError> {
        let kept = self.connection.take();
        let is_reused = kept.is_some();
        let timeout = self.timeout;
        match within_or_error(self.exchange(kept, method, path, body), timeout).await {
            Err(RegistryError::Http(HttpError::Closed | HttpError::Socket(_))) if is_reused => {
                within_or_error(self.exchange(None, method, path, body), timeout).await
            }
            result => result,
        }
    }

    async fn exchange(
        &mut self,
        kept: Option<HttpConnection>,
        method: &str,
        path: &str,
        body: Option<&str>,
    ) -> Result<RegistryResponse, RegistryError> {
        let mut connection = match kept {
            Some(connection) => connection,
            None => {
                let address = resolve(&self.address).await?;
                HttpConnection::new(connect(address).await.map_err(HttpError::Socket)?)
            }
        };
        let request = self.request(method, path, body);
        connection.write(request.as_bytes()).await.map_err(HttpError::Socket)?;
        let head = connection.read_response().await?;
        let body = connection.response_body(&head, self.max_body_bytes).await?;
        let encoding = head.headers.get("content-encoding");
        let is_compressed = encoding.is_some_and(|encoding| encoding.eq_ignore_ascii_case("gzip"));
        if head.keep_alive && connection.buffer.bytes().is_empty() {
            self.connection = Some(connection);
        }
        let body = if is_compressed { self.decompress(&body)? } else { body };
        Ok(RegistryResponse { status: head.status, body })
    }

    fn request(&self, method: &str, path: &str, body: Option<&str>) -> String {
        let RegistryAddress { host, port, path_prefix: prefix } = &self.address;
        let mut request = format!(
            "{method} {prefix}{path} HTTP/1.1\r\nHost: {host}:{port}\r\nAccept: application/json, application/xml;q=0.5\r\n\
             Accept-Encoding: gzip\r\n"
        );
        if let Some(body) = body {
            request += &format!("Content-Type: application/json\r\nContent-Length: {}\r\n", body.len());
        }
        request += "\r\n";
        request += body.unwrap_or_default();
        request
    }

    /// A small body may decompress to a huge one: it is read no further than the limit.
    fn decompress(&self, body: &[u8]) -> Result<Vec<u8>, RegistryError> {
        let mut plain = Vec::new();
        let mut reader = flate2::read::GzDecoder::new(body).take(self.max_body_bytes as u64 + 1);
        reader.read_to_end(&mut plain).map_err(RegistryError::Decompression)?;
        if plain.len() > self.max_body_bytes {
            return Err(RegistryError::TooLarge(self.max_body_bytes));
        }
        Ok(plain)
    }

    /// Asks for applications and reads them, by what they look like: servers name their types loosely.
    ///
    /// # Errors
    ///
    /// If there is no response with status 200 within the limits, or it cannot be read.
    pub async fn applications(&mut self, path: &str) -> Result<Applications, RegistryError> {
        match self.send("GET", path, None).await? {
            RegistryResponse { status: 200, body } => Ok(read(&body)?),
            RegistryResponse { status, .. } => Err(RegistryError::Status(status)),
        }
    }
}

async fn resolve(address: &RegistryAddress) -> Result<SocketAddr, RegistryError> {
    if let Ok(ip) = address.host.parse::<IpAddr>() {
        return Ok(SocketAddr::new(ip, address.port));
    }
    let (host, port) = (address.host.clone(), address.port);
    let lookup = move || (host.as_str(), port).to_socket_addrs().ok().and_then(|mut found| found.next());
    let found = run_blocking(lookup).await.flatten();
    found.ok_or_else(|| RegistryError::UnknownHost(address.host.clone()))
}

/// A name as a segment of a path (RFC 3986, section 2.3: what is not unreserved is written as octets).
pub fn percent_encode(name: &str) -> String {
    let is_plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-._~:".contains(&byte);
    let encode =
        |byte: u8| if is_plain(byte) { char::from(byte).to_string() } else { format!("%{byte:02X}") };
    name.bytes().map(encode).collect()
}

/// Reads a response, JSON or XML.
///
/// # Errors
///
/// If it is no response of a registry.
pub fn read(body: &[u8]) -> Result<Applications, DecodeError> {
    match body.iter().find(|byte| !byte.is_ascii_whitespace()) {
        Some(b'<') => xml::read(body),
        _ => json::read(body),
    }
}
