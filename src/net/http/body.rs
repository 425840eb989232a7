//! Reads bodies: of a given length, in chunks, or up to the end of the connection.

use super::head::Framing;
use super::{HttpConnection, HttpError, RequestHead, ResponseHead, MAX_HEAD_BYTES};

const CRLF: &[u8] = b"\r\n";

/// The size line of a chunk.
struct ChunkHead {
    /// The length of the line in bytes, including its line end.
    line_bytes: usize,
    /// The size of the chunk's data in bytes; 0 for the last chunk.
    data_bytes: u64,
}

impl HttpConnection {
    /// Reads the body of a request, of `limit` bytes at most.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection ends or stalls before the body is complete, or the body is malformed or over the
    /// limit.
    pub async fn request_body(&mut self, head: &RequestHead, limit: usize) -> Result<Vec<u8>, HttpError> {
        self.read_body(head.framing, limit).await
    }

    /// Reads the body of a response, of `limit` bytes at most.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection ends or stalls before the body is complete, or the body is malformed or over the
    /// limit.
    pub async fn response_body(&mut self, head: &ResponseHead, limit: usize) -> Result<Vec<u8>, HttpError> {
        self.read_body(head.framing, limit).await
    }

    async fn read_body(&mut self, framing: Framing, limit: usize) -> Result<Vec<u8>, HttpError> {
        match framing {
            Framing::Length(length) if length > limit => Err(HttpError::TooLarge),
            Framing::Length(length) => self.read_exactly(length).await,
            Framing::Chunked => self.read_chunks(limit).await,
            Framing::UntilEnd => self.read_until_end(limit).await,
        }
    }

    async fn read_exactly(&mut self, length: usize) -> Result<Vec<u8>, HttpError> {
        self.receive_up_to(length).await?;
        let body = self.buffer.bytes()[..length].to_vec();
        self.buffer.consume(length);
        Ok(body)
    }

    async fn read_chunks(&mut self, limit: usize) -> Result<Vec<u8>, HttpError> {
        let mut body = Vec::new();
        while let Some(chunk) = self.read_chunk(limit - body.len()).await? {
            body.extend_from_slice(&chunk);
        }
        Ok(body)
    }

    async fn read_until_end(&mut self, limit: usize) -> Result<Vec<u8>, HttpError> {
        loop {
            if self.buffer.bytes().len() > limit {
                return Err(HttpError::TooLarge);
            }
            match self.receive_body().await {
                Err(HttpError::UnexpectedEnd) => return Ok(self.buffer.bytes().to_vec()),
                received => received?,
            }
        }
    }

    /// Reads the next chunk of a chunked body, of `limit` bytes at most; returns `None` after the last chunk.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection ends or stalls before the chunk is complete, or the chunk is malformed or over the
    /// limit.
    pub async fn read_chunk(&mut self, limit: usize) -> Result<Option<Vec<u8>>, HttpError> {
        let ChunkHead { line_bytes: start, data_bytes } = self.receive_chunk_head().await?;
        if data_bytes > limit as u64 {
            return Err(HttpError::TooLarge);
        }
        if data_bytes == 0 {
            self.buffer.consume(start);
            self.skip_trailer().await?;
            return Ok(None);
        }
        let end = start + data_bytes as usize;
        self.receive_up_to(end + CRLF.len()).await?;
        if !self.buffer.bytes()[end..].starts_with(CRLF) {
            return Err(HttpError::Malformed("a chunk does not end where it should"));
        }
        let chunk = self.buffer.bytes()[start..end].to_vec();
        self.buffer.consume(end + CRLF.len());
        Ok(Some(chunk))
    }

    /// Receives the size line of a chunk and leaves it in the buffer.
    async fn receive_chunk_head(&mut self) -> Result<ChunkHead, HttpError> {
        const MALFORMED: HttpError = HttpError::Malformed("a chunk's size is malformed");
        let (line_bytes, data_bytes) = loop {
            match httparse::parse_chunk_size(self.buffer.bytes()) {
                Ok(httparse::Status::Complete(parsed)) => break parsed,
                Ok(httparse::Status::Partial) if self.buffer.bytes().len() < MAX_HEAD_BYTES => {
                    self.receive_body().await?;
                }
                Ok(httparse::Status::Partial) => return Err(HttpError::TooLarge),
                Err(_) => return Err(MALFORMED),
            }
        };
        // Checked here because the parser reads a line without a digit as 0 and ignores everything after a semicolon.
        let line = &self.buffer.bytes()[..line_bytes - CRLF.len()];
        if !line.first().is_some_and(u8::is_ascii_hexdigit) || line.iter().any(|b| b.is_ascii_control()) {
            return Err(MALFORMED);
        }
        Ok(ChunkHead { line_bytes, data_bytes })
    }

    /// Skips the trailer after the last chunk, up to and including its empty line.
    async fn skip_trailer(&mut self) -> Result<(), HttpError> {
        let mut skipped_bytes = 0;
        loop {
            match self.buffer.bytes().windows(CRLF.len()).position(|window| window == CRLF) {
                Some(0) => {
                    self.buffer.consume(CRLF.len());
                    return Ok(());
                }
                Some(end) if skipped_bytes + end < MAX_HEAD_BYTES => {
                    skipped_bytes += end + CRLF.len();
                    self.buffer.consume(end + CRLF.len());
                }
                Some(_) => return Err(HttpError::TooLarge),
                None if self.buffer.bytes().len() >= MAX_HEAD_BYTES => return Err(HttpError::TooLarge),
                None => self.receive_body().await?,
            }
        }
    }

    /// Receives until the buffer has at least `length` bytes.
    async fn receive_up_to(&mut self, length: usize) -> Result<(), HttpError> {
        while self.buffer.bytes().len() < length {
            self.receive_body().await?;
        }
        Ok(())
    }
}
