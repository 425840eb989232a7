//! HTTP client for one registry address, with limits for the time and the size of a response.

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

/// Why a request has no usable response.
#[derive(Debug, thiserror::Error)]
pub enum RegistryError {
    /// The host name cannot be resolved.
    #[error("cannot resolve host `{0}`")]
    UnknownHost(String),
    /// The connection failed, or the response is not valid HTTP within the limits.
    #[error("{0}")]
    Http(#[from] HttpError),
    /// The response has an unexpected status.
    #[error("status {0}")]
    Status(u16),
    /// The body cannot be decompressed.
    #[error("decompression failed: {0}")]
    Decompression(io::Error),
    /// The decompressed body is larger than this limit in bytes.
    #[error("decompression failed: more than {0} bytes")]
    TooLarge(usize),
    /// The body cannot be decoded.
    #[error("{0}")]
    Malformed(#[from] DecodeError),
}

/// The client of one registry address. Each request has a connection of its own: on a reused one, a copy of an earlier
/// response could be taken for its response, and a delta for the complete registry.
pub struct RegistryClient {
    address: RegistryAddress,
    timeout: Duration,
    max_body_bytes: usize,
}

/// A response of the registry.
pub struct RegistryResponse {
    /// The HTTP status.
    pub status: u16,
    /// The body after decompression.
    pub body: Vec<u8>,
}

impl RegistryClient {
    /// Creates a client for an address, with a time limit for each request and a size limit for each response body.
    pub fn new(address: RegistryAddress, timeout_us: Micros, max_body_bytes: usize) -> Self {
        RegistryClient { address, timeout: Duration::from_micros(timeout_us), max_body_bytes }
    }

    /// Sends a request for a path below the address's prefix and receives the response.
    ///
    /// # Errors
    ///
    /// If no response was received within the limits.
    pub async fn send(
        &self,
        method: &str,
        path: &str,
        body: Option<&str>,
    ) -> Result<RegistryResponse, RegistryError> {
        within_or_error(self.exchange(method, path, body), self.timeout).await
    }

    async fn exchange(
        &self,
        method: &str,
        path: &str,
        body: Option<&str>,
    ) -> Result<RegistryResponse, RegistryError> {
        let address = resolve(&self.address).await?;
        let mut connection = HttpConnection::new(connect(address).await.map_err(HttpError::Socket)?);
        let request = self.request(method, path, body);
        connection.write(request.as_bytes()).await.map_err(HttpError::Socket)?;
        let head = connection.read_response().await?;
        let body = connection.response_body(&head, self.max_body_bytes).await?;
        let encoding = head.headers.get("content-encoding");
        let is_compressed = encoding.is_some_and(|encoding| encoding.eq_ignore_ascii_case("gzip"));
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

    /// Decompresses a body. Stops at the size limit, as a small body may decompress to a huge one.
    fn decompress(&self, body: &[u8]) -> Result<Vec<u8>, RegistryError> {
        let mut decompressed = Vec::new();
        let mut reader = flate2::read::GzDecoder::new(body).take(self.max_body_bytes as u64 + 1);
        reader.read_to_end(&mut decompressed).map_err(RegistryError::Decompression)?;
        if decompressed.len() > self.max_body_bytes {
            return Err(RegistryError::TooLarge(self.max_body_bytes));
        }
        Ok(decompressed)
    }

    /// Requests applications and decodes them.
    ///
    /// # Errors
    ///
    /// If no response with status 200 was received within the limits, or it cannot be decoded.
    pub async fn applications(&self, path: &str) -> Result<Applications, RegistryError> {
        match self.send("GET", path, None).await? {
            RegistryResponse { status: 200, body } => Ok(decode(&body)?),
            RegistryResponse { status, .. } => Err(RegistryError::Status(status)),
        }
    }
}

async fn resolve(address: &RegistryAddress) -> Result<SocketAddr, RegistryError> {
    if let Ok(ip) = address.host.parse::<IpAddr>() {
        return Ok(SocketAddr::new(ip, address.port));
    }
    let (host, port) = (address.host.clone(), address.port);
    let lookup =
        move || (host.as_str(), port).to_socket_addrs().ok().and_then(|mut addresses| addresses.next());
    let resolved = run_blocking(lookup).await.flatten();
    resolved.ok_or_else(|| RegistryError::UnknownHost(address.host.clone()))
}

/// Encodes a name as one segment of a path. All bytes but the unreserved characters of RFC 3986, section 2.3, and `:` are
/// percent-encoded.
pub fn percent_encode(name: &str) -> String {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-._~:".contains(&byte);
    let encode =
        |byte: u8| if is_allowed(byte) { char::from(byte).to_string() } else { format!("%{byte:02X}") };
    name.bytes().map(encode).collect()
}

/// Decodes a body as XML or JSON. The first character decides, as servers do not set `Content-Type` reliably.
///
/// # Errors
///
/// If the body is not an answer of a registry.
pub fn decode(body: &[u8]) -> Result<Applications, DecodeError> {
    match body.iter().find(|byte| !byte.is_ascii_whitespace()) {
        Some(b'<') => xml::decode(body),
        _ => json::decode(body),
    }
}
