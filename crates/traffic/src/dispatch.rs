//! Sending a task to an instance over a connection of its own, and reading the answer whole
//! before a byte of it is believed: a declared length, met exactly, with nothing after it. Whatever
//! falls short once the first byte may have left is in doubt; a connection never made is not sent.

use crate::head;
use axum::http::{Request, Response, StatusCode, header};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use kernel::Inbox;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::timeout;
use wire::RequestHead;

const ANSWER_BYTES: usize = 4 * 1024 * 1024;
const CONNECT: Duration = Duration::from_millis(800);
const AFTER: Duration = Duration::from_millis(40);

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DispatchOrder {
    pub number: u64,
    pub address: String,
    pub head: Vec<u8>,
    pub body: Vec<u8>,
    pub limit: Duration,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    Whole { status: u16, head: Vec<u8>, body: Vec<u8>, turned_away: bool },
    NotSent,
    InDoubt { told: String, late: bool },
}

pub type Report = Rc<dyn Fn(u64, Verdict)>;

pub async fn run(mut orders: Inbox<DispatchOrder>, report: Report) {
    while let Some(order) = orders.next().await {
        let report = report.clone();
        spawn_local(async move {
            let number = order.number;
            report(number, send_to_instance(order).await);
        });
    }
}

pub async fn send_to_instance(order: DispatchOrder) -> Verdict {
    let Some(parsed) = wire::from_bytes::<RequestHead>(&order.head) else { return Verdict::NotSent };
    let connected = timeout(CONNECT.min(order.limit), TcpStream::connect(&order.address)).await;
    let Ok(Ok(stream)) = connected else { return Verdict::NotSent };
    let _ = stream.set_nodelay(true);
    let built = Request::builder().method(parsed.method.as_str()).uri(parsed.target.as_str());
    let Ok(mut request) = built.body(Full::new(Bytes::from(order.body))) else { return Verdict::NotSent };
    head::fill(request.headers_mut(), &parsed.headers);
    if let Ok(host) = order.address.parse() {
        request.headers_mut().insert(header::HOST, host);
    }
    request.headers_mut().insert(header::CONNECTION, header::HeaderValue::from_static("close"));
    match timeout(order.limit, exchange(stream, request)).await {
        Ok(verdict) => verdict,
        Err(_) => Verdict::InDoubt { told: "no whole answer in time".into(), late: true },
    }
}

async fn exchange(stream: TcpStream, request: Request<Full<Bytes>>) -> Verdict {
    let doubt = |told: String| Verdict::InDoubt { told, late: false };
    let handshake =
        http1::Builder::new().max_buf_size(64 * 1024).handshake::<_, Full<Bytes>>(TokioIo::new(stream)).await;
    let Ok((mut sender, connection)) = handshake else { return Verdict::NotSent };
    let driver = spawn_local(connection.without_shutdown());
    let answer = match sender.send_request(request).await {
        Ok(answer) => answer,
        Err(fault) => return doubt(format!("no answer: {fault}")),
    };
    if !declares_length(&answer) {
        return doubt("an answer without a length cannot be known whole".into());
    }
    let (parts, body) = answer.into_parts();
    let body = match Limited::new(body, ANSWER_BYTES).collect().await {
        Ok(body) => body.to_bytes(),
        Err(fault) => return doubt(format!("cut or too long: {fault}")),
    };
    drop(sender);
    if let Ok(Ok(Ok(mut rest))) = timeout(AFTER, driver).await {
        let mut more = [0u8; 1];
        let trailing = timeout(AFTER, rest.io.inner_mut().read(&mut more)).await;
        if !rest.read_buf.is_empty() || matches!(trailing, Ok(Ok(1))) {
            return doubt("bytes after the answer's declared end".into());
        }
    }
    Verdict::Whole {
        status: parts.status.as_u16(),
        turned_away: matches!(parts.status, StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE),
        head: head::answer_head(&parts.headers),
        body: body.to_vec(),
    }
}

fn declares_length(answer: &Response<Incoming>) -> bool {
    let headers = answer.headers();
    let bare = matches!(answer.status(), StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    let chunked = headers.get(header::TRANSFER_ENCODING).is_some_and(|value| value.as_bytes().ends_with(b"chunked"));
    bare || chunked || headers.get_all(header::CONTENT_LENGTH).iter().count() == 1
}
