//! The API's read-only pages: readiness, metrics, this registry's status and a live stream of it.

use crate::api::{Api, answer, refuse};
use crate::api_calls::ApiCall;
use crate::registry_metrics::{InboxLoad, metrics_text};
use axum::body::{Body, Bytes};
use axum::extract::State;
use axum::http::{HeaderMap, StatusCode, header};
use axum::response::{IntoResponse, Response};
use serde_json::Value;
use std::convert::Infallible;
use tokio::sync::watch;

/// Answers 200 if this registry is in the chain, otherwise 503.
pub async fn ready(State(api): State<Api>) -> Response {
    if api.handle.is_ready() {
        "ready\n".into_response()
    } else {
        (StatusCode::SERVICE_UNAVAILABLE, "not in the chain\n").into_response()
    }
}

/// Returns the metrics.
pub async fn metrics(State(api): State<Api>) -> String {
    let status: Value = serde_json::from_str(&api.handle.status.borrow()).unwrap_or_default();
    let control = &api.handle.control;
    metrics_text(&status, InboxLoad { depth: control.depth(), refused: control.refused() })
}

/// Returns this registry's status.
pub async fn status(State(api): State<Api>, headers: HeaderMap) -> Response {
    if api.scope(&headers).is_none() {
        return refuse(401, "a bearer token is needed");
    }
    answer(api.handle.call(ApiCall::Status).await, None)
}

/// Streams this registry's status, one line of JSON per change.
pub async fn watch_status(State(api): State<Api>, headers: HeaderMap) -> Response {
    if api.scope(&headers).as_deref() != Some("") {
        return refuse(401, "a bearer token for all tenants is needed");
    }
    let mut status = api.handle.status.clone();
    status.mark_changed();
    let lines = StatusLines { status };
    ([(header::CONTENT_TYPE, "application/x-ndjson")], Body::new(lines.into_body())).into_response()
}

struct StatusLines {
    status: watch::Receiver<String>,
}

impl StatusLines {
    fn into_body(
        self,
    ) -> http_body_util::StreamBody<impl futures_lite::Stream<Item = Result<http_body::Frame<Bytes>, Infallible>>> {
        http_body_util::StreamBody::new(futures_lite::stream::unfold(self.status, |mut status| async move {
            status.changed().await.ok()?;
            let line = format!("{}\n", *status.borrow_and_update());
            Some((Ok(http_body::Frame::data(Bytes::from(line))), status))
        }))
    }
}
