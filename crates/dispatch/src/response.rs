//! Reading an answer out of a buffer that grows: its head, then a body of a declared length or of
//! chunks to their end. A body that ends only where the connection does cannot be known whole.

use crate::{HttpDialect, forwarded_headers};
use hyper::header::HeaderName;
use std::time::Duration;
use wire::AnswerHead;

pub(crate) const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
pub(crate) const MAX_HEAD_BYTES: usize = 64 * 1024;
const MAX_HEADERS: usize = 64;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyLength {
    /// Not the answer yet: another head follows.
    InterimResponse,
    Exactly(usize),
    Chunked,
}

#[derive(Debug)]
pub(crate) struct ResponseHead {
    pub status: u16,
    pub body_length: BodyLength,
    pub head_bytes: usize,
    pub encoded_headers: Vec<u8>,
    pub request_id: Option<Vec<u8>>,
    pub not_run: bool,
    pub closes_connection: bool,
    pub keep_alive: Option<Duration>,
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

/// The head, if it is there to its end.
pub(crate) fn parse_response_head(
    bytes: &[u8],
    dialect: &HttpDialect,
    has_no_body: bool,
) -> Result<Option<ResponseHead>, &'static str> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut headers);
    let size = match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(size)) => size,
        Ok(httparse::Status::Partial) if bytes.len() > MAX_HEAD_BYTES => return Err("a head beyond bounds"),
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err("bytes that are no answer"),
    };
    let status = parsed.code.unwrap_or_default();
    let fields = Fields(parsed.headers);
    let closes_connection = parsed.version != Some(1)
        || fields.all("connection").any(|list| {
            let options = std::str::from_utf8(list).unwrap_or("close");
            options.split(',').any(|option| option.trim().eq_ignore_ascii_case("close"))
        });
    let keep_alive = fields.text("keep-alive").and_then(|parameters| {
        let mut parts = parameters.split(',').filter_map(|part| part.trim().split_once('='));
        let seconds = parts.find(|(name, _)| name.trim().eq_ignore_ascii_case("timeout"))?.1;
        seconds.trim().parse().ok().map(Duration::from_secs)
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
        keep_alive,
        content_encoding: fields.text("content-encoding").map(str::to_owned),
    }))
}

fn body_length(status: u16, fields: &Fields, has_no_body: bool) -> Result<BodyLength, &'static str> {
    let mut lengths = fields.all("content-length");
    let mut codings = fields.all("transfer-encoding");
    match (status, lengths.next(), codings.next()) {
        (101, ..) => Err("a change of protocol nobody asked for"),
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
                _ => Err("a length beyond bounds"),
            }
        }
        _ => Err("an answer without a length cannot be known whole"),
    }
}

/// ChunkedBody taken in so far, and where the next one begins.
#[derive(Default)]
pub(crate) struct ChunkedBody {
    pub body: Vec<u8>,
    position: usize,
}

impl ChunkedBody {
    pub fn new(position: usize) -> ChunkedBody {
        ChunkedBody { body: Vec::new(), position }
    }

    /// Takes in what has come; the place after the last chunk and its trailer, once that is there.
    pub fn decode(&mut self, bytes: &[u8]) -> Result<Option<usize>, &'static str> {
        loop {
            let rest = &bytes[self.position.min(bytes.len())..];
            let (line_bytes, size) = match httparse::parse_chunk_size(rest) {
                Ok(httparse::Status::Complete((line_bytes, size))) => (line_bytes, size as usize),
                Ok(httparse::Status::Partial) if rest.len() > MAX_HEAD_BYTES => return Err("a chunk beyond bounds"),
                Ok(httparse::Status::Partial) => return Ok(None),
                Err(_) => return Err("a chunk of no size"),
            };
            if size == 0 {
                let mut trailer = [httparse::EMPTY_HEADER; MAX_HEADERS];
                return match httparse::parse_headers(&rest[line_bytes..], &mut trailer) {
                    Ok(httparse::Status::Complete((end, _))) => Ok(Some(self.position + line_bytes + end)),
                    Ok(httparse::Status::Partial) => Ok(None),
                    Err(_) => Err("a trailer that cannot be read"),
                };
            }
            if size > MAX_BODY_BYTES || self.body.len() + size > MAX_BODY_BYTES {
                return Err("a body beyond bounds");
            }
            let Some(chunk) = rest.get(line_bytes..line_bytes + size + 2) else { return Ok(None) };
            if !chunk.ends_with(b"\r\n") {
                return Err("a chunk without its end");
            }
            self.body.extend_from_slice(&chunk[..size]);
            self.position += line_bytes + size + 2;
        }
    }
}
