//! Reading an answer out of a buffer that grows: its head, then a body of a declared length or of
//! chunks to their end. A body that ends only where the connection does cannot be known whole.

use crate::{Words, head};
use hyper::header::HeaderName;
use std::time::Duration;
use wire::AnswerHead;

pub(crate) const BODY_BYTES: usize = 4 * 1024 * 1024;
pub(crate) const HEAD_BYTES: usize = 64 * 1024;
const HEADERS: usize = 64;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Length {
    /// Not the answer yet: another head follows.
    Interim,
    Exactly(usize),
    Chunked,
}

#[derive(Debug)]
pub(crate) struct Start {
    pub status: u16,
    pub length: Length,
    pub size: usize,
    pub head: Vec<u8>,
    pub id: Option<Vec<u8>>,
    pub not_run: bool,
    pub close: bool,
    pub keep: Option<Duration>,
    pub coding: Option<String>,
}

struct Fields<'a, 'b>(&'a [httparse::Header<'b>]);

impl<'b> Fields<'_, 'b> {
    fn all(&self, name: &str) -> impl Iterator<Item = &'b [u8]> {
        self.0.iter().filter(move |header| header.name.eq_ignore_ascii_case(name)).map(|header| header.value)
    }

    fn text(&self, name: &str) -> Option<&'b str> {
        self.all(name).next().map(|value| std::str::from_utf8(value).unwrap_or_default())
    }

    fn word(&self, word: &Option<HeaderName>) -> Option<&'b [u8]> {
        word.as_ref().and_then(|word| self.all(word.as_str()).next())
    }
}

/// The head, if it is there to its end.
pub(crate) fn read_start(bytes: &[u8], words: &Words, bare: bool) -> Result<Option<Start>, &'static str> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS];
    let mut parsed = httparse::Response::new(&mut headers);
    let size = match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(size)) => size,
        Ok(httparse::Status::Partial) if bytes.len() > HEAD_BYTES => return Err("a head beyond bounds"),
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err("bytes that are no answer"),
    };
    let status = parsed.code.unwrap_or_default();
    let fields = Fields(parsed.headers);
    let close = parsed.version != Some(1)
        || fields.all("connection").any(|list| {
            let words = std::str::from_utf8(list).unwrap_or("close");
            words.split(',').any(|word| word.trim().eq_ignore_ascii_case("close"))
        });
    let keep = fields.text("keep-alive").and_then(|words| {
        let mut parts = words.split(',').filter_map(|part| part.trim().split_once('='));
        let seconds = parts.find(|(name, _)| name.trim().eq_ignore_ascii_case("timeout"))?.1;
        seconds.trim().parse().ok().map(Duration::from_secs)
    });
    Ok(Some(Start {
        status,
        length: length(status, &fields, bare)?,
        size,
        head: wire::to_bytes(&AnswerHead { headers: head::answer_lines(fields.0, words) }),
        id: fields.word(&words.request_id).map(<[u8]>::to_vec),
        not_run: fields.word(&words.not_run).is_some(),
        close,
        keep,
        coding: fields.text("content-encoding").map(str::to_owned),
    }))
}

fn length(status: u16, fields: &Fields, bare: bool) -> Result<Length, &'static str> {
    let mut lengths = fields.all("content-length");
    let mut codings = fields.all("transfer-encoding");
    match (status, lengths.next(), codings.next()) {
        (101, ..) => Err("a change of protocol nobody asked for"),
        (100..200, ..) => Ok(Length::Interim),
        (204 | 304, ..) => Ok(Length::Exactly(0)),
        _ if bare => Ok(Length::Exactly(0)),
        (_, None, Some(coding)) if coding.eq_ignore_ascii_case(b"chunked") && codings.next().is_none() => {
            Ok(Length::Chunked)
        }
        (_, Some(detail), None) if lengths.next().is_none() => {
            let digits = std::str::from_utf8(detail).ok().filter(|detail| detail.bytes().all(|b| b.is_ascii_digit()));
            match digits.and_then(|digits| digits.parse().ok()) {
                Some(length) if length <= BODY_BYTES => Ok(Length::Exactly(length)),
                _ => Err("a length beyond bounds"),
            }
        }
        _ => Err("an answer without a length cannot be known whole"),
    }
}

/// Chunks taken in so far, and where the next one begins.
#[derive(Default)]
pub(crate) struct Chunks {
    pub body: Vec<u8>,
    at: usize,
}

impl Chunks {
    pub fn new(at: usize) -> Chunks {
        Chunks { body: Vec::new(), at }
    }

    /// Takes in what has come; the place after the last chunk and its trailer, once that is there.
    pub fn take(&mut self, bytes: &[u8]) -> Result<Option<usize>, &'static str> {
        loop {
            let rest = &bytes[self.at.min(bytes.len())..];
            let (line, size) = match httparse::parse_chunk_size(rest) {
                Ok(httparse::Status::Complete((line, size))) => (line, size as usize),
                Ok(httparse::Status::Partial) if rest.len() > HEAD_BYTES => return Err("a chunk beyond bounds"),
                Ok(httparse::Status::Partial) => return Ok(None),
                Err(_) => return Err("a chunk of no size"),
            };
            if size == 0 {
                let mut trailer = [httparse::EMPTY_HEADER; HEADERS];
                return match httparse::parse_headers(&rest[line..], &mut trailer) {
                    Ok(httparse::Status::Complete((end, _))) => Ok(Some(self.at + line + end)),
                    Ok(httparse::Status::Partial) => Ok(None),
                    Err(_) => Err("a trailer that cannot be read"),
                };
            }
            if size > BODY_BYTES || self.body.len() + size > BODY_BYTES {
                return Err("a body beyond bounds");
            }
            let Some(chunk) = rest.get(line..line + size + 2) else { return Ok(None) };
            if !chunk.ends_with(b"\r\n") {
                return Err("a chunk without its end");
            }
            self.body.extend_from_slice(&chunk[..size]);
            self.at += line + size + 2;
        }
    }
}
