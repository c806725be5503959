//! Serialization of a request to an instance, into one buffer so that one call can send it; a large body is not copied.
//! A request with bytes that could be read as the end of a header is rejected.

use crate::{DispatchOrder, HttpDialect};
use bytes::Bytes;
use hyper::header::HeaderName;
use wire::RequestHead;

/// Size up to which a body is copied behind its head.
const MAX_COPIED_BODY_BYTES: usize = 16 * 1024;

/// Serialized request to an instance.
pub(crate) struct InstanceRequest {
    /// The head, and the body if it is small.
    pub bytes: Vec<u8>,
    /// The body if it is large.
    pub large_body: Bytes,
    pub request_id: Option<Vec<u8>>,
    /// Whether the response has no body regardless of its declared length.
    pub response_has_no_body: bool,
    /// Values of the `Accept-Encoding` headers in lower case, separated by commas.
    accepted_encodings: String,
}

fn is_token(text: &str) -> bool {
    let is_token_byte = |b: u8| b.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&b);
    !text.is_empty() && text.bytes().all(is_token_byte)
}

fn is_header(header: &Option<HeaderName>, name: &str) -> bool {
    header.as_ref().is_some_and(|header| name.eq_ignore_ascii_case(header.as_str()))
}

impl InstanceRequest {
    /// Serializes an order. Returns `None` if its head is malformed or unsafe to write.
    pub fn new(order: &DispatchOrder, dialect: &HttpDialect) -> Option<InstanceRequest> {
        let head = wire::from_bytes::<RequestHead>(&order.head)?;
        let (method, target) = (head.method.as_str(), head.target.as_str());
        if !is_token(method) || target.is_empty() || target.bytes().any(|b| b <= b' ' || b == 0x7f) {
            return None;
        }
        let (copied_body, large_body) = match order.body.len() <= MAX_COPIED_BODY_BYTES {
            true => (order.body.clone(), Bytes::new()),
            false => (Bytes::new(), order.body.clone()),
        };
        let mut bytes = Vec::with_capacity(order.head.len() + copied_body.len() + 256);
        let mut append = |parts: &[&[u8]]| parts.iter().for_each(|part| bytes.extend_from_slice(part));
        let line = |name: &str, value: &str| format!("{name}: {value}\r\n");
        append(&[method.as_bytes(), b" ", target.as_bytes(), b" HTTP/1.1\r\n"]);
        let (mut request_id, mut has_host, mut accepted_encodings) = (None, false, String::new());
        for header in head.headers.iter() {
            let (name, value) = (header.name.as_str(), header.value.as_slice());
            if is_header(&dialect.deadline, name) || is_header(&dialect.pinned_instance, name) {
                continue;
            }
            if !is_token(name) || value.iter().any(|b| matches!(b, b'\r' | b'\n' | 0)) {
                return None;
            }
            if is_header(&dialect.request_id, name) && !value.is_empty() {
                request_id = Some(value.to_vec());
            }
            has_host |= name.eq_ignore_ascii_case("host");
            if name.eq_ignore_ascii_case("accept-encoding") {
                accepted_encodings.push_str(&String::from_utf8_lossy(value).to_ascii_lowercase());
                accepted_encodings.push(',');
            }
            append(&[name.as_bytes(), b": ", value, b"\r\n"]);
        }
        if !has_host {
            append(&[line("host", &order.address).as_bytes()]);
        }
        if let Some(deadline) = &dialect.deadline {
            append(&[line(deadline.as_str(), &order.time_left.as_millis().to_string()).as_bytes()]);
        }
        if let Some(pinned_instance) = &dialect.pinned_instance {
            if order.instance_id.bytes().any(|b| b <= b' ' || b == 0x7f) {
                return None;
            }
            append(&[line(pinned_instance.as_str(), &order.instance_id).as_bytes()]);
        }
        if request_id.is_none() {
            append(&[b"connection: close\r\n"]);
        }
        if !order.body.is_empty() || matches!(method, "POST" | "PUT" | "PATCH") {
            append(&[line("content-length", &order.body.len().to_string()).as_bytes()]);
        }
        append(&[b"\r\n", &copied_body]);
        let response_has_no_body = method == "HEAD";
        Some(InstanceRequest { bytes, large_body, request_id, response_has_no_body, accepted_encodings })
    }

    /// Whether the caller accepts a response with this content encoding.
    pub fn accepts_encoding(&self, encoding: &str) -> bool {
        let encoding = encoding.trim().to_ascii_lowercase();
        encoding == "identity" || self.accepted_encodings.split([',', ';']).any(|accepted| accepted.trim() == encoding)
    }
}
