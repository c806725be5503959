//! Parser of the head of an HTTP response. A response whose body ends only when the connection closes is rejected, since
//! it cannot be known to be complete.

use crate::keep_alive::KeepAlive;
use crate::{HttpDialect, forwarded_headers};
use hyper::header::HeaderName;
use wire::AnswerHead;

/// Maximum size of a response body.
pub const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
pub(crate) const MAX_HEAD_BYTES: usize = 64 * 1024;
pub(crate) const MAX_HEADERS: usize = 64;

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
