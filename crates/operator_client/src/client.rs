//! A single call with a timeout, and the watch, which prints lines as they arrive.

use bytes::Bytes;
use derive_more::{Display, Error};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Method, Request};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use std::io::Write;
use std::time::Duration;

/// Maximum size of an answer.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// Reason why a call has no answer.
#[derive(Debug, Display, Error)]
pub enum CallError {
    /// The request could not be built from the call.
    #[display("invalid request: {_0}")]
    Malformed(hyper::http::Error),
    /// The address cannot be reached, or the connection failed during the call.
    #[display("{address}: {reason}")]
    Unreachable {
        /// The address called.
        address: String,
        /// Description of the failure.
        reason: String,
    },
    /// No complete answer arrived in time; the call may have taken effect.
    #[display("{address}: no answer in time")]
    TimedOut {
        /// The address called.
        address: String,
    },
    /// Standard output cannot be written to.
    #[display("cannot print: {_0}")]
    Print(std::io::Error),
}

/// One call to a node's HTTP API.
#[derive(Clone, Debug, Default)]
pub struct Call {
    /// The HTTP method.
    pub method: Method,
    /// Address of the API as `IP:port`.
    pub address: String,
    /// The path, with its query if there is one.
    pub path: String,
    /// The bearer token; empty for none.
    pub token: String,
    /// Revision that a change is based on, or `*`.
    pub if_match: Option<String>,
    /// Id of the operation: a change sent twice under one id takes effect once.
    pub operation: Option<String>,
    /// Additional headers.
    pub headers: Vec<(String, String)>,
    /// The body, as JSON; empty for none.
    pub body: Vec<u8>,
    /// Timeout of the whole call.
    pub timeout: Duration,
}

/// A complete answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// Revision of the configuration, from the `ETag`.
    pub revision: Option<u64>,
    /// The unparsed body.
    pub body: Vec<u8>,
}

fn build_request(call: &Call) -> Result<Request<Full<Bytes>>, CallError> {
    let mut builder = Request::builder()
        .method(call.method.clone())
        .uri(format!("http://{}{}", call.address, call.path))
        .header("content-type", "application/json");
    if !call.token.is_empty() {
        builder = builder.header("authorization", format!("Bearer {}", call.token));
    }
    if let Some(tag) = &call.if_match {
        builder = builder.header("if-match", tag);
    }
    if let Some(operation) = &call.operation {
        builder = builder.header("operation-id", operation);
    }
    for (name, value) in &call.headers {
        builder = builder.header(name, value);
    }
    builder.body(Full::new(Bytes::from(call.body.clone()))).map_err(CallError::Malformed)
}

fn unreachable_error(call: &Call, error: impl std::fmt::Display) -> CallError {
    CallError::Unreachable { address: call.address.clone(), reason: error.to_string() }
}

fn http_client() -> Client<HttpConnector, Full<Bytes>> {
    Client::builder(TokioExecutor::new()).build_http()
}

/// Sends a call and reads the complete answer.
pub async fn send_call(call: &Call) -> Result<Answer, CallError> {
    let work = async {
        let answer =
            http_client().request(build_request(call)?).await.map_err(|error| unreachable_error(call, error))?;
        let status = answer.status().as_u16();
        let tag =
            answer.headers().get("etag").and_then(|value| value.to_str().ok()).map(|t| t.trim_matches('"').to_owned());
        let body = Limited::new(answer.into_body(), MAX_ANSWER_BYTES)
            .collect()
            .await
            .map_err(|error| unreachable_error(call, error))?;
        Ok(Answer { status, revision: tag.and_then(|tag| tag.parse().ok()), body: body.to_bytes().to_vec() })
    };
    tokio::time::timeout(call.timeout, work).await.map_err(|_| CallError::TimedOut { address: call.address.clone() })?
}

/// Prints each line of a live watch until the server ends it; returns false if the watch was refused.
pub async fn watch(call: &Call) -> Result<bool, CallError> {
    let answer = http_client().request(build_request(call)?).await.map_err(|error| unreachable_error(call, error))?;
    let is_success = answer.status().is_success();
    let mut body = answer.into_body();
    let mut out = std::io::stdout();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| unreachable_error(call, error))?;
        if let Some(data) = frame.data_ref() {
            out.write_all(data).and_then(|()| out.flush()).map_err(CallError::Print)?;
        }
    }
    Ok(is_success)
}
