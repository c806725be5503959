//! Which of a caller's headers go on to the instance, and which of an instance's come back: the
//! hop's own stay behind, as does anything that speaks in the system's name.

use axum::http::{HeaderMap, HeaderName, HeaderValue};
use wire::{AnswerHead, HeaderLine, List};

pub const OUTCOME: &str = "heronlink-outcome";
const HOP: [&str; 12] = [
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
    "host",
];

fn stays(name: &HeaderName, map: &HeaderMap) -> bool {
    let named = |word: &str| {
        let mut listed = map.get_all("connection").iter().filter_map(|value| value.to_str().ok());
        listed.any(|list| list.split(',').any(|part| part.trim().eq_ignore_ascii_case(word)))
    };
    HOP.contains(&name.as_str()) || name.as_str() == OUTCOME || named(name.as_str())
}

pub fn lines(map: &HeaderMap) -> List<HeaderLine> {
    let kept = map.iter().filter(|(name, _)| !stays(name, map));
    kept.map(|(name, value)| HeaderLine { name: name.as_str().into(), value: value.as_bytes().to_vec().into() })
        .collect::<Vec<_>>()
        .into()
}

pub fn fill(map: &mut HeaderMap, list: &List<HeaderLine>) {
    for line in list.iter() {
        let name = HeaderName::from_bytes(line.name.as_str().as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_bytes(line.value.as_slice())) {
            map.append(name, value);
        }
    }
}

pub fn answer_head(map: &HeaderMap) -> Vec<u8> {
    wire::to_bytes(&AnswerHead { headers: lines(map) })
}
