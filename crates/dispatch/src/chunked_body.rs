//! Incremental decoder of a response body in chunks.

use crate::response::{MAX_BODY_BYTES, MAX_HEAD_BYTES, MAX_HEADERS};

/// Position of the decoder in a chunked body.
#[derive(Clone, Copy, Default)]
enum ChunkPosition {
    #[default]
    Size,
    /// So many bytes of the chunk's data are missing.
    Data(usize),
    DataEnd,
    Trailer,
    End,
}

/// Decoder of a chunked body. It keeps the data that it has decoded, and nothing else.
#[derive(Default)]
pub(crate) struct ChunkedBody {
    pub body: Vec<u8>,
    position: ChunkPosition,
}

impl ChunkedBody {
    /// Decodes the beginning of `bytes` as far as possible and removes it. Returns whether the body and its trailer are
    /// complete.
    pub fn decode(&mut self, bytes: &mut Vec<u8>) -> Result<bool, &'static str> {
        let mut decoded_bytes = 0;
        while !matches!(self.position, ChunkPosition::End) {
            match self.decode_part(&bytes[decoded_bytes..])? {
                Some(part_bytes) => decoded_bytes += part_bytes,
                None => break,
            }
        }
        drop(bytes.drain(..decoded_bytes));
        Ok(matches!(self.position, ChunkPosition::End))
    }

    /// Decodes the next part of the body. Returns its length, or `None` if it has not arrived.
    fn decode_part(&mut self, bytes: &[u8]) -> Result<Option<usize>, &'static str> {
        let (part_bytes, next) = match self.position {
            ChunkPosition::Size => match httparse::parse_chunk_size(bytes) {
                Ok(httparse::Status::Complete((line_bytes, 0))) => (line_bytes, ChunkPosition::Trailer),
                Ok(httparse::Status::Complete((line_bytes, size))) => (line_bytes, self.data_of(size)?),
                Ok(httparse::Status::Partial) => return partial(bytes, "chunk header too large"),
                Err(_) => return Err("invalid chunk size"),
            },
            ChunkPosition::Data(_) if bytes.is_empty() => return Ok(None),
            ChunkPosition::Data(missing) => {
                let data = &bytes[..missing.min(bytes.len())];
                self.append(data);
                let missing = missing - data.len();
                (data.len(), if missing == 0 { ChunkPosition::DataEnd } else { ChunkPosition::Data(missing) })
            }
            ChunkPosition::DataEnd if bytes.len() < 2 => return Ok(None),
            ChunkPosition::DataEnd if !bytes.starts_with(b"\r\n") => return Err("chunk without a terminating CRLF"),
            ChunkPosition::DataEnd => (2, ChunkPosition::Size),
            ChunkPosition::Trailer => {
                let mut trailer = [httparse::EMPTY_HEADER; MAX_HEADERS];
                match httparse::parse_headers(bytes, &mut trailer) {
                    Ok(httparse::Status::Complete((end, _))) => (end, ChunkPosition::End),
                    Ok(httparse::Status::Partial) => return partial(bytes, "trailer too large"),
                    Err(_) => return Err("malformed trailer"),
                }
            }
            ChunkPosition::End => (0, ChunkPosition::End),
        };
        self.position = next;
        Ok(Some(part_bytes))
    }

    fn data_of(&self, chunk_bytes: u64) -> Result<ChunkPosition, &'static str> {
        let chunk_bytes = usize::try_from(chunk_bytes).unwrap_or(usize::MAX);
        match self.body.len().saturating_add(chunk_bytes) <= MAX_BODY_BYTES {
            true => Ok(ChunkPosition::Data(chunk_bytes)),
            false => Err("response body too large"),
        }
    }

    /// Appends data. The buffer doubles as it grows, but never exceeds the largest body.
    fn append(&mut self, data: &[u8]) {
        let needed_bytes = self.body.len() + data.len();
        if needed_bytes > self.body.capacity() {
            let capacity = needed_bytes.max(2 * self.body.capacity()).min(MAX_BODY_BYTES);
            self.body.reserve_exact(capacity - self.body.len());
        }
        self.body.extend_from_slice(data);
    }
}

/// Returns that a part has not arrived completely, or the error if it is too long.
fn partial(bytes: &[u8], error: &'static str) -> Result<Option<usize>, &'static str> {
    if bytes.len() > MAX_HEAD_BYTES { Err(error) } else { Ok(None) }
}
