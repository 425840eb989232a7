//! One registry address over HTTP: a question, its answer within time and size limits. It decides nothing.

use super::model::Applications;
use super::{json, xml};
use crate::membership::RegistryAddress;
use crate::net::dial::connect;
use crate::net::http::{HttpConnection, HttpError};
use crate::net::{run_blocking, within_or_error};
use crate::Micros;
use std::io::Read;
use std::net::{IpAddr, SocketAddr, ToSocketAddrs};
use std::time::Duration;

/// Why a question has no answer that can be used.
#[derive(Debug, thiserror::Error)]
pub enum Failed {
    /// The host's name leads nowhere.
    #[error("the name `{0}` leads nowhere")]
    Name(String),
    /// The connection failed, or what came is no HTTP within the limits.
    #[error("{0}")]
    Broken(HttpError),
    /// Another status than wanted.
    #[error("status {0}")]
    Status(u16),
    /// It cannot be unpacked within the limits.
    #[error("it cannot be unpacked: {0}")]
    Packed(String),
    /// It cannot be read.
    #[error("{0}")]
    Unread(String),
}

impl From<HttpError> for Failed {
    fn from(e: HttpError) -> Self {
        Failed::Broken(e)
    }
}

/// A registry address, with its connection while that can be used again.
pub struct Client {
    address: RegistryAddress,
    timeout: Duration,
    largest: usize,
    wire: Option<HttpConnection>,
}

async fn resolve(address: &RegistryAddress) -> Result<SocketAddr, Failed> {
    if let Ok(ip) = address.host.parse::<IpAddr>() {
        return Ok(SocketAddr::new(ip, address.port));
    }
    let (host, port) = (address.host.clone(), address.port);
    let found =
        run_blocking(move || (host.as_str(), port).to_socket_addrs().ok().and_then(|mut all| all.next()))
            .await;
    found.flatten().ok_or_else(|| Failed::Name(address.host.clone()))
}

impl Client {
    /// Asks that address, each time for so long at most, reading so many bytes at most.
    pub fn new(address: RegistryAddress, timeout: Micros, largest: usize) -> Self {
        Client { address, timeout: Duration::from_micros(timeout), largest, wire: None }
    }

    /// Sends a request below the address's prefix and reads the answer: its status and body, unpacked. A
    /// connection that was kept and has died meanwhile is not a failure: the request is sent once more.
    pub async fn ask(
        &mut self,
        method: &str,
        path: &str,
        body: Option<&str>,
    ) -> Result<(u16, Vec<u8>), Failed> {
        let kept = self.wire.take();
        let reused = kept.is_some();
        let timeout = self.timeout;
        match within_or_error(self.exchange(kept, method, path, body), timeout).await {
            Err(Failed::Broken(HttpError::Ended | HttpError::Socket(_))) if reused => {
                within_or_error(self.exchange(None, method, path, body), timeout).await
            }
            other => other,
        }
    }

    async fn exchange(
        &mut self,
        kept: Option<HttpConnection>,
        method: &str,
        path: &str,
        body: Option<&str>,
    ) -> Result<(u16, Vec<u8>), Failed> {
        let mut wire = match kept {
            Some(wire) => wire,
            None => {
                let to = resolve(&self.address).await?;
                HttpConnection::new(connect(to).await.map_err(HttpError::Socket)?)
            }
        };
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
        wire.write(request.as_bytes()).await.map_err(HttpError::Socket)?;
        let head = wire.read_answer().await?;
        let body = wire.answer_body(&head, self.largest).await?;
        let packed = head.fields.get("content-encoding").is_some_and(|c| c.eq_ignore_ascii_case("gzip"));
        if head.keeps && wire.buffer.bytes().is_empty() {
            self.wire = Some(wire);
        }
        Ok((head.status, if packed { self.unpack(&body)? } else { body }))
    }

    /// A small answer may unpack to a huge one: it is read no further than the limit.
    fn unpack(&self, body: &[u8]) -> Result<Vec<u8>, Failed> {
        let mut plain = Vec::new();
        let mut reader = flate2::read::GzDecoder::new(body).take(self.largest as u64 + 1);
        reader.read_to_end(&mut plain).map_err(|e| Failed::Packed(e.to_string()))?;
        if plain.len() > self.largest {
            return Err(Failed::Packed(format!("more than {} bytes", self.largest)));
        }
        Ok(plain)
    }

    /// Asks for applications and reads them, by what they look like: servers name their types loosely.
    pub async fn applications(&mut self, path: &str) -> Result<Applications, Failed> {
        match self.ask("GET", path, None).await? {
            (200, body) => read(&body).map_err(Failed::Unread),
            (status, _) => Err(Failed::Status(status)),
        }
    }
}

/// A name as a part of a path (RFC 3986, section 2.3: what is not unreserved is written as octets).
pub fn path_part(name: &str) -> String {
    let plain = |b: u8| b.is_ascii_alphanumeric() || b"-._~:".contains(&b);
    name.bytes().map(|b| if plain(b) { char::from(b).to_string() } else { format!("%{b:02X}") }).collect()
}

/// Reads an answer, JSON or XML.
pub fn read(body: &[u8]) -> Result<Applications, String> {
    match body.iter().find(|b| !b.is_ascii_whitespace()) {
        Some(b'<') => xml::read(body),
        _ => json::read(body),
    }
}
