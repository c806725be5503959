//! Incremental parser of an HTTP response: its head, then a body of declared length or in chunks. A
//! body that ends only when the connection closes is rejected, since it cannot be known to be complete.

use crate::keep_alive::KeepAlive;
use crate::{HttpDialect, forwarded_headers};
use hyper::header::HeaderName;
use wire::AnswerHead;

/// Maximum size of a response body.
pub const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
pub(crate) const MAX_HEAD_BYTES: usize = 64 * 1024;
const MAX_HEADERS: usize = 64;

/// Length of a response body, as declared by the head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyLength {
    /// An interim (1xx) response without a body; the head of another response follows.
    InterimResponse,
    Exactly(usize),
    Chunked,
}

/// Parsed head of a response.
#[derive(Debug)]
pub(crate) struct ResponseHead {
    pub status: u16,
    pub body_length: BodyLength,
    /// Size of the head in the buffer; the body starts after it.
    pub head_bytes: usize,
    /// Forwarded headers, as an encoded `wire::AnswerHead`.
    pub encoded_headers: Vec<u8>,
    pub request_id: Option<Vec<u8>>,
    /// Whether the instance states that it did not run the request.
    pub not_run: bool,
    pub closes_connection: bool,
    /// How long the instance keeps an idle connection open.
    pub keep_alive: KeepAlive,
    pub content_encoding: Option<String>,
}

struct Fields<'a, 'b>(&'a [httparse::Header<'b>]);

impl<'b> Fields<'_, 'b> {
    fn all(&self, name: &str) -> impl Iterator<Item = &'b [u8]> {
        self.0.iter().filter(move |header| header.name.eq_ignore_ascii_case(name)).map(|header| header.value)
    }

    fn text(&self, name: &str) -> Option<&'b str> {
        self.all(name).next().map(|value| std::str::from_utf8(value).unwrap_or_default())
    }

    fn named(&self, name: &Option<HeaderName>) -> Option<&'b [u8]> {
        name.as_ref().and_then(|name| self.all(name.as_str()).next())
    }
}

/// Parses the head of a response. Returns `None` until the buffer has all of it.
pub(crate) fn parse_response_head(
    bytes: &[u8],
    dialect: &HttpDialect,
    has_no_body: bool,
) -> Result<Option<ResponseHead>, &'static str> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut headers);
    let size = match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(size)) => size,
        Ok(httparse::Status::Partial) if bytes.len() > MAX_HEAD_BYTES => return Err("response head too large"),
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err("malformed response head"),
    };
    let status = parsed.code.unwrap_or_default();
    let fields = Fields(parsed.headers);
    let closes_connection = parsed.version != Some(1)
        || fields.all("connection").any(|list| {
            let options = std::str::from_utf8(list).unwrap_or("close");
            options.split(',').any(|option| option.trim().eq_ignore_ascii_case("close"))
        });
    Ok(Some(ResponseHead {
        status,
        body_length: body_length(status, &fields, has_no_body)?,
        head_bytes: size,
        encoded_headers: wire::to_bytes(&AnswerHead {
            headers: forwarded_headers::forwarded_response_headers(fields.0, dialect),
        }),
        request_id: fields.named(&dialect.request_id).map(<[u8]>::to_vec),
        not_run: fields.named(&dialect.not_run).is_some(),
        closes_connection,
        keep_alive: fields.text("keep-alive").and_then(KeepAlive::parse).unwrap_or(KeepAlive::DEFAULT),
        content_encoding: fields.text("content-encoding").map(str::to_owned),
    }))
}

fn body_length(status: u16, fields: &Fields, has_no_body: bool) -> Result<BodyLength, &'static str> {
    let mut lengths = fields.all("content-length");
    let mut codings = fields.all("transfer-encoding");
    match (status, lengths.next(), codings.next()) {
        (101, ..) => Err("unrequested protocol switch"),
        (100..200, ..) => Ok(BodyLength::InterimResponse),
        (204 | 304, ..) => Ok(BodyLength::Exactly(0)),
        _ if has_no_body => Ok(BodyLength::Exactly(0)),
        (_, None, Some(coding)) if coding.eq_ignore_ascii_case(b"chunked") && codings.next().is_none() => {
            Ok(BodyLength::Chunked)
        }
        (_, Some(value), None) if lengths.next().is_none() => {
            let digits = std::str::from_utf8(value).ok().filter(|value| value.bytes().all(|b| b.is_ascii_digit()));
            match digits.and_then(|digits| digits.parse().ok()) {
                Some(length) if length <= MAX_BODY_BYTES => Ok(BodyLength::Exactly(length)),
                _ => Err("invalid or too large Content-Length"),
            }
        }
        _ => Err("response without a usable body length"),
    }
}

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
