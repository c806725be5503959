//! A request as it is written to an instance: one run of bytes, so that it leaves in one call. Nothing
//! that could be read as the end of a header goes into it.

use crate::{DispatchOrder, Words};
use hyper::header::HeaderName;
use wire::RequestHead;

pub(crate) struct InstanceRequest {
    pub bytes: Vec<u8>,
    pub id: Option<Vec<u8>>,
    /// Whether the answer to it has no body, whatever its length says.
    pub bare: bool,
    codings: String,
}

fn is_token(word: &str) -> bool {
    let plain = |b: u8| b.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&b);
    !word.is_empty() && word.bytes().all(plain)
}

fn is(word: &Option<HeaderName>, name: &str) -> bool {
    word.as_ref().is_some_and(|word| name.eq_ignore_ascii_case(word.as_str()))
}

impl InstanceRequest {
    pub fn new(order: &DispatchOrder, words: &Words) -> Option<InstanceRequest> {
        let head = wire::from_bytes::<RequestHead>(&order.head)?;
        let (method, target) = (head.method.as_str(), head.target.as_str());
        if !is_token(method) || target.is_empty() || target.bytes().any(|b| b <= b' ' || b == 0x7f) {
            return None;
        }
        let mut bytes = Vec::with_capacity(order.head.len() + order.body.len() + 256);
        let mut put = |parts: &[&[u8]]| parts.iter().for_each(|part| bytes.extend_from_slice(part));
        let line = |name: &str, value: &str| format!("{name}: {value}\r\n");
        put(&[method.as_bytes(), b" ", target.as_bytes(), b" HTTP/1.1\r\n"]);
        let (mut id, mut host, mut codings) = (None, false, String::new());
        for header in head.headers.iter() {
            let (name, value) = (header.name.as_str(), header.value.as_slice());
            if is(&words.deadline, name) || is(&words.pinned, name) {
                continue;
            }
            if !is_token(name) || value.iter().any(|b| matches!(b, b'\r' | b'\n' | 0)) {
                return None;
            }
            if is(&words.request_id, name) && !value.is_empty() {
                id = Some(value.to_vec());
            }
            host |= name.eq_ignore_ascii_case("host");
            if name.eq_ignore_ascii_case("accept-encoding") {
                codings.push_str(&String::from_utf8_lossy(value).to_ascii_lowercase());
                codings.push(',');
            }
            put(&[name.as_bytes(), b": ", value, b"\r\n"]);
        }
        if !host {
            put(&[line("host", &order.address).as_bytes()]);
        }
        if let Some(deadline) = &words.deadline {
            put(&[line(deadline.as_str(), &order.limit.as_millis().to_string()).as_bytes()]);
        }
        if let Some(pinned) = &words.pinned {
            if order.instance.bytes().any(|b| b <= b' ' || b == 0x7f) {
                return None;
            }
            put(&[line(pinned.as_str(), &order.instance).as_bytes()]);
        }
        if id.is_none() {
            put(&[b"connection: close\r\n"]);
        }
        if !order.body.is_empty() || matches!(method, "POST" | "PUT" | "PATCH") {
            put(&[line("content-length", &order.body.len().to_string()).as_bytes()]);
        }
        put(&[b"\r\n", &order.body]);
        Some(InstanceRequest { bytes, id, bare: method == "HEAD", codings })
    }

    /// Whether the caller asked for an answer so encoded.
    pub fn takes(&self, coding: &str) -> bool {
        let coding = coding.trim().to_ascii_lowercase();
        coding == "identity" || self.codings.split([',', ';']).any(|asked| asked.trim() == coding)
    }
}
