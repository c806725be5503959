//! Which of a caller's headers go on to the instance, and which of an instance's come back: the
//! hop's own stay behind, as does anything that speaks in the system's name.

use crate::Words;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use wire::{HeaderField, List};

const HOP: [&str; 11] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "expect",
];

fn kept(headers: &[(&str, &[u8])], own: &[&Option<HeaderName>]) -> List<HeaderField> {
    let lists = headers.iter().filter(|(name, _)| name.eq_ignore_ascii_case("connection"));
    let lists = lists.filter_map(|(_, value)| std::str::from_utf8(value).ok());
    let listed: Vec<&str> = lists.flat_map(|list| list.split(',').map(str::trim)).collect();
    let stays = |name: &str| {
        let is = |word: &str| name.eq_ignore_ascii_case(word);
        HOP.iter().copied().any(is)
            || own.iter().any(|word| word.as_ref().is_some_and(|word| is(word.as_str())))
            || listed.iter().copied().any(is)
    };
    let kept = headers.iter().filter(|(name, _)| !stays(name));
    let line = |(name, value): &(&str, &[u8])| HeaderField { name: (*name).into(), value: value.to_vec().into() };
    kept.map(line).collect::<Vec<_>>().into()
}

/// A caller's headers that go on to an instance.
pub fn lines(map: &HeaderMap, words: &Words) -> List<HeaderField> {
    let headers: Vec<(&str, &[u8])> = map.iter().map(|(name, value)| (name.as_str(), value.as_bytes())).collect();
    kept(&headers, &[&words.outcome, &words.deadline, &words.pinned, &words.api_key, &words.consumer])
}

/// An instance's headers that go back to the caller.
pub fn answer_lines(headers: &[httparse::Header<'_>], words: &Words) -> List<HeaderField> {
    let headers: Vec<(&str, &[u8])> = headers.iter().map(|header| (header.name, header.value)).collect();
    kept(&headers, &[&words.outcome])
}

/// Appends header lines to a map; what is no valid header is left out.
pub fn fill(map: &mut HeaderMap, list: &List<HeaderField>) {
    for line in list.iter() {
        let name = HeaderName::from_bytes(line.name.as_str().as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_bytes(line.value.as_slice())) {
            map.append(name, value);
        }
    }
}
