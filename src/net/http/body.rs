//! Reads bodies: of a given length, in chunks, or up to the end of the connection.

use super::head::Framing;
use super::{HttpConnection, HttpError, RequestHead, ResponseHead, MAX_HEAD_BYTES};

const CRLF: &[u8] = b"\r\n";
/// What the size lines and line ends of a chunked body may add up to, in bytes.
const MAX_FRAMING_BYTES: usize = MAX_HEAD_BYTES;
/// How much of a body is received before memory is allocated for all of it, in bytes.
const FIRST_PART_BYTES: usize = 1024;

/// The size line of a chunk.
struct ChunkHead {
    /// The length of the line in bytes, including its line end.
    line_bytes: usize,
    /// The size of the chunk's data in bytes; 0 for the last chunk.
    data_bytes: u64,
}

impl HttpConnection {
    /// Reads the body of a request, of `limit` bytes at most. A body whose length is known is received straight into the memory
    /// that is returned.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection ends or stalls before the body is complete, or the body is malformed or over the
    /// limit.
    pub async fn request_body(&mut self, head: &RequestHead, limit: usize) -> Result<Vec<u8>, HttpError> {
        match head.framing {
            Framing::Length(length) if length > limit => Err(HttpError::TooLarge),
            Framing::Length(length) => self.receive_exactly(length).await,
            Framing::Chunked => {
                let mut body = Vec::new();
                self.read_chunks(&mut body, limit).await?;
                Ok(body)
            }
            Framing::UntilEnd => self.read_until_end(limit).await,
        }
    }

    /// Reads the body of a response, of `limit` bytes at most. What was received of a body that is not complete stays in the
    /// buffer.
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
            Framing::Length(length) => self.buffer_exactly(length).await,
            Framing::Chunked => self.buffer_chunks(limit).await,
            Framing::UntilEnd => self.read_until_end(limit).await,
        }
    }

    async fn buffer_exactly(&mut self, length: usize) -> Result<Vec<u8>, HttpError> {
        if self.buffer.bytes().len() < length {
            self.until_room_for(length).await?;
            self.buffer.reserve(length);
            self.receive_up_to(length).await?;
        }
        Ok(self.buffer.take(length))
    }

    async fn receive_exactly(&mut self, length: usize) -> Result<Vec<u8>, HttpError> {
        self.receive_up_to(length.min(FIRST_PART_BYTES)).await?;
        self.until_room_for(length).await?;
        let mut body = Vec::with_capacity(length);
        let buffered = length.min(self.buffer.bytes().len());
        body.extend_from_slice(&self.buffer.bytes()[..buffered]);
        self.buffer.consume(buffered);
        while body.len() < length {
            self.receive_into(&mut body, length).await?;
        }
        Ok(body)
    }

    async fn buffer_chunks(&mut self, limit: usize) -> Result<Vec<u8>, HttpError> {
        let mut body = Vec::new();
        let read = self.read_chunks(&mut body, limit).await;
        if let Err(error) = read {
            self.buffer.replace(body);
            return Err(error);
        }
        Ok(body)
    }

    async fn read_chunks(&mut self, body: &mut Vec<u8>, limit: usize) -> Result<(), HttpError> {
        let mut framing_bytes = 0;
        loop {
            let ChunkHead { line_bytes, data_bytes } = self.receive_chunk_head().await?;
            framing_bytes += line_bytes + CRLF.len();
            if framing_bytes > MAX_FRAMING_BYTES || data_bytes > (limit - body.len()) as u64 {
                return Err(HttpError::TooLarge);
            }
            self.buffer.consume(line_bytes);
            if data_bytes == 0 {
                self.skip_trailer().await?;
                body.shrink_to_fit();
                return Ok(());
            }
            let end = body.len() + data_bytes as usize;
            self.reserve_chunked(body, end, limit).await?;
            self.receive_chunk_data(body, end).await?;
        }
    }

    /// Makes room in a chunked body, whose length is not known, for `length` bytes: once for all that it may have, unless it is
    /// small.
    async fn reserve_chunked(
        &mut self,
        body: &mut Vec<u8>,
        length: usize,
        limit: usize,
    ) -> Result<(), HttpError> {
        if length <= body.capacity() {
            return Ok(());
        }
        let capacity = if length <= FIRST_PART_BYTES { FIRST_PART_BYTES.min(limit) } else { limit };
        self.until_room_for(capacity).await?;
        body.reserve_exact(capacity - body.len());
        Ok(())
    }

    /// Receives the data of a chunk, up to the given length of the body, and the line end behind it.
    async fn receive_chunk_data(&mut self, body: &mut Vec<u8>, end: usize) -> Result<(), HttpError> {
        while body.len() < end {
            let available = (end - body.len()).min(self.buffer.bytes().len());
            if available == 0 {
                self.receive_into(body, end).await?;
                continue;
            }
            body.extend_from_slice(&self.buffer.bytes()[..available]);
            self.buffer.consume(available);
        }
        self.receive_up_to(CRLF.len()).await?;
        if !self.buffer.bytes().starts_with(CRLF) {
            return Err(HttpError::Malformed("a chunk does not end where it should"));
        }
        self.buffer.consume(CRLF.len());
        Ok(())
    }

    async fn read_until_end(&mut self, limit: usize) -> Result<Vec<u8>, HttpError> {
        loop {
            if self.buffer.bytes().len() > limit {
                return Err(HttpError::TooLarge);
            }
            match self.receive_body().await {
                Err(HttpError::UnexpectedEnd) => return Ok(self.buffer.take(self.buffer.bytes().len())),
                received => received?,
            }
        }
    }

    /// Appends the next chunk of a chunked body to `body`, which may grow to `limit` bytes. Returns false after the last chunk.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection ends or stalls before the chunk is complete, or the chunk is malformed or over the
    /// limit.
    pub async fn read_chunk(&mut self, body: &mut Vec<u8>, limit: usize) -> Result<bool, HttpError> {
        let ChunkHead { line_bytes, data_bytes } = self.receive_chunk_head().await?;
        if data_bytes > limit.saturating_sub(body.len()) as u64 {
            return Err(HttpError::TooLarge);
        }
        self.buffer.consume(line_bytes);
        if data_bytes == 0 {
            self.skip_trailer().await?;
            return Ok(false);
        }
        let end = body.len() + data_bytes as usize;
        body.reserve(data_bytes as usize);
        self.receive_chunk_data(body, end).await?;
        Ok(true)
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
