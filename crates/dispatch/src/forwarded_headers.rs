//! Selects the headers that are forwarded from a caller to an instance and back. Hop-by-hop headers
//! and headers that only the system itself may set are dropped.

use crate::HttpDialect;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use wire::{HeaderField, List};

/// Headers that apply to a single connection, or that this client sets itself.
const HOP_BY_HOP_HEADERS: [&str; 11] = [
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

/// Drops hop-by-hop headers, those listed in `Connection` headers, and those in `dropped`.
fn end_to_end_headers(headers: &[(&str, &[u8])], dropped: &[&Option<HeaderName>]) -> List<HeaderField> {
    let connection_headers = headers.iter().filter(|(name, _)| name.eq_ignore_ascii_case("connection"));
    let lists = connection_headers.filter_map(|(_, value)| std::str::from_utf8(value).ok());
    let connection_options: Vec<&str> = lists.flat_map(|list| list.split(',').map(str::trim)).collect();
    let is_dropped = |name: &str| {
        let is = |other: &str| name.eq_ignore_ascii_case(other);
        HOP_BY_HOP_HEADERS.iter().copied().any(is)
            || dropped.iter().any(|header| header.as_ref().is_some_and(|header| is(header.as_str())))
            || connection_options.iter().copied().any(is)
    };
    let kept = headers.iter().filter(|(name, _)| !is_dropped(name));
    let field = |(name, value): &(&str, &[u8])| HeaderField { name: (*name).into(), value: value.to_vec().into() };
    kept.map(field).collect::<Vec<_>>().into()
}

/// Returns the headers of a caller's request that are forwarded to an instance.
pub fn forwarded_request_headers(map: &HeaderMap, dialect: &HttpDialect) -> List<HeaderField> {
    let headers: Vec<(&str, &[u8])> = map.iter().map(|(name, value)| (name.as_str(), value.as_bytes())).collect();
    end_to_end_headers(
        &headers,
        &[&dialect.outcome, &dialect.deadline, &dialect.pinned_instance, &dialect.api_key, &dialect.consumer],
    )
}

/// Returns the headers of an instance's response that are forwarded to the caller.
pub fn forwarded_response_headers(headers: &[httparse::Header<'_>], dialect: &HttpDialect) -> List<HeaderField> {
    let headers: Vec<(&str, &[u8])> = headers.iter().map(|header| (header.name, header.value)).collect();
    end_to_end_headers(&headers, &[&dialect.outcome])
}

/// Appends header fields to a map and skips those that are not valid headers.
pub fn append_headers(map: &mut HeaderMap, fields: &List<HeaderField>) {
    for field in fields.iter() {
        let name = HeaderName::from_bytes(field.name.as_str().as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_bytes(field.value.as_slice())) {
            map.append(name, value);
        }
    }
}
