//! The API's pages that only look: readiness, metrics, this node's view and a live watch of it.

use crate::api::{Api, answer, refuse};
use crate::api_calls::ApiCall;
use axum::body::{Body, Bytes};
use axum::extract::State;
use axum::http::{HeaderMap, StatusCode, header};
use axum::response::{IntoResponse, Response};
use serde_json::Value;
use std::convert::Infallible;
use tokio::sync::watch;

pub async fn ready(State(api): State<Api>) -> Response {
    if api.operators.is_ready() {
        "ready\n".into_response()
    } else {
        (StatusCode::SERVICE_UNAVAILABLE, "not in the chain\n").into_response()
    }
}

pub async fn metrics(State(api): State<Api>) -> String {
    let view: Value = serde_json::from_str(&api.operators.view.borrow()).unwrap_or_default();
    let mut page = String::new();
    for (name, at) in [
        ("view_number", "/view/number"),
        ("entries_synced", "/positions/synced"),
        ("entries_committed", "/positions/committed"),
        ("revision_active", "/revision/active"),
        ("revision_latest", "/revision/latest"),
        ("step_active", "/revision/active_step"),
        ("roster_number", "/roster"),
        ("claims", "/claims"),
        ("deferred", "/deferred"),
        ("waits", "/waits"),
        ("jobs", "/jobs"),
    ] {
        let value = view.pointer(at).and_then(Value::as_u64).unwrap_or_default();
        page.push_str(&format!("heronlink_registry_{name} {value}\n"));
    }
    let members = view["members"].as_array().map_or(0, Vec::len);
    page.push_str(&format!("heronlink_registry_members {members}\n"));
    page.push_str(&format!("heronlink_registry_inbox_depth {}\n", api.operators.control.depth()));
    page.push_str(&format!("heronlink_registry_inbox_refused_total {}\n", api.operators.control.refused()));
    page
}

pub async fn status(State(api): State<Api>, headers: HeaderMap) -> Response {
    if api.scope(&headers).is_none() {
        return refuse(401, "a bearer token is needed");
    }
    answer(api.operators.call(ApiCall::Status).await, None)
}

pub async fn watch_view(State(api): State<Api>, headers: HeaderMap) -> Response {
    if api.scope(&headers).as_deref() != Some("") {
        return refuse(401, "a bearer token for all tenants is needed");
    }
    let mut view = api.operators.view.clone();
    view.mark_changed();
    let lines = Lines { view };
    ([(header::CONTENT_TYPE, "application/x-ndjson")], Body::new(lines.into_body())).into_response()
}

struct Lines {
    view: watch::Receiver<String>,
}

impl Lines {
    fn into_body(
        self,
    ) -> http_body_util::StreamBody<impl futures_lite::Stream<Item = Result<http_body::Frame<Bytes>, Infallible>>> {
        http_body_util::StreamBody::new(futures_lite::stream::unfold(self.view, |mut view| async move {
            view.changed().await.ok()?;
            let line = format!("{}\n", *view.borrow_and_update());
            Some((Ok(http_body::Frame::data(Bytes::from(line))), view))
        }))
    }
}
