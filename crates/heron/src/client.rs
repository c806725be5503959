//! One call, with a time limit; and the watch, which prints lines as they come.

use bytes::Bytes;
use derive_more::{Display, Error};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Method, Request};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use std::io::Write;
use std::time::Duration;

const ANSWER_BYTES: usize = 64 * 1024 * 1024;

#[derive(Debug, Display, Error)]
pub enum CallFault {
    #[display("a call that cannot be made: {_0}")]
    Malformed(hyper::http::Error),
    #[display("{address}: {told}")]
    Unreached { address: String, told: String },
    #[display("{address}: no answer in time")]
    Late { address: String },
    #[display("cannot print: {_0}")]
    Print(std::io::Error),
}

#[derive(Clone, Debug, Default)]
pub struct Call {
    pub method: Method,
    pub address: String,
    pub path: String,
    pub token: String,
    pub if_match: Option<String>,
    pub operation: Option<String>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    pub limit: Duration,
}

#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub revision: Option<u64>,
    pub body: Vec<u8>,
}

fn request(call: &Call) -> Result<Request<Full<Bytes>>, CallFault> {
    let mut request = Request::builder()
        .method(call.method.clone())
        .uri(format!("http://{}{}", call.address, call.path))
        .header("content-type", "application/json");
    if !call.token.is_empty() {
        request = request.header("authorization", format!("Bearer {}", call.token));
    }
    if let Some(tag) = &call.if_match {
        request = request.header("if-match", tag);
    }
    if let Some(operation) = &call.operation {
        request = request.header("operation-id", operation);
    }
    for (name, value) in &call.headers {
        request = request.header(name, value);
    }
    request.body(Full::new(Bytes::from(call.body.clone()))).map_err(CallFault::Malformed)
}

fn unreached(call: &Call, fault: impl std::fmt::Display) -> CallFault {
    CallFault::Unreached { address: call.address.clone(), told: fault.to_string() }
}

fn http() -> Client<HttpConnector, Full<Bytes>> {
    Client::builder(TokioExecutor::new()).build_http()
}

pub async fn ask(call: &Call) -> Result<Answer, CallFault> {
    let work = async {
        let answer = http().request(request(call)?).await.map_err(|fault| unreached(call, fault))?;
        let status = answer.status().as_u16();
        let tag =
            answer.headers().get("etag").and_then(|value| value.to_str().ok()).map(|t| t.trim_matches('"').to_owned());
        let body =
            Limited::new(answer.into_body(), ANSWER_BYTES).collect().await.map_err(|fault| unreached(call, fault))?;
        Ok(Answer { status, revision: tag.and_then(|tag| tag.parse().ok()), body: body.to_bytes().to_vec() })
    };
    tokio::time::timeout(call.limit, work).await.map_err(|_| CallFault::Late { address: call.address.clone() })?
}

/// Prints each line of a live watch until the other side ends it; false if it was refused.
pub async fn watch(call: &Call) -> Result<bool, CallFault> {
    let answer = http().request(request(call)?).await.map_err(|fault| unreached(call, fault))?;
    let good = answer.status().is_success();
    let mut body = answer.into_body();
    let mut out = std::io::stdout();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|fault| unreached(call, fault))?;
        if let Some(data) = frame.data_ref() {
            out.write_all(data).and_then(|()| out.flush()).map_err(CallFault::Print)?;
        }
    }
    Ok(good)
}
