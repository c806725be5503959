//! HTTP server for operations: health, readiness, metrics, the status page and a live watch of it.

use crate::router_metrics::RouterMetrics;
use axum::Router;
use axum::body::Body;
use axum::extract::State;
use axum::http::header::CONTENT_TYPE;
use axum::http::{HeaderValue, StatusCode};
use axum::response::Response;
use axum::routing::get;
use bytes::Bytes;
use http_body::Frame;
use http_body_util::StreamBody;
use serde_json::Value;
use std::convert::Infallible;
use tokio::sync::watch;

const OPEN_METRICS: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Latest status of the traffic thread and of the control thread, as JSON.
#[derive(Clone)]
pub struct Views {
    /// Status of the traffic thread.
    pub traffic: watch::Receiver<String>,
    /// Status of the control thread.
    pub control: watch::Receiver<String>,
}

/// Returns the HTTP routes for operations.
pub fn ops_router(views: Views) -> Router {
    Router::new()
        .route("/health", get(|| async { "ok\n" }))
        .route("/ready", get(ready))
        .route("/metrics", get(metrics))
        .route("/v1/status", get(|State(views): State<Views>| async move { views.status_page().to_string() }))
        .route("/v1/watch", get(watch_view))
        .with_state(views)
}

impl Views {
    /// Returns whether this router may serve, that is, has a valid serving lease.
    pub fn is_ready(&self) -> bool {
        let view: Value = serde_json::from_str(&self.control.borrow()).unwrap_or_default();
        matches!(view["standing"].as_str(), Some("ByCore" | "ByPeers"))
    }

    fn status_page(&self) -> Value {
        let mut page: Value = serde_json::from_str(&self.control.borrow()).unwrap_or_default();
        page["traffic"] = serde_json::from_str(&self.traffic.borrow()).unwrap_or_default();
        page
    }
}

async fn ready(State(views): State<Views>) -> (StatusCode, &'static str) {
    match views.is_ready() {
        true => (StatusCode::OK, "ready\n"),
        false => (StatusCode::SERVICE_UNAVAILABLE, "no proof of revision\n"),
    }
}

async fn metrics(State(views): State<Views>) -> Response {
    let mut response = Response::new(Body::from(RouterMetrics::from_status(&views.status_page()).encode()));
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(OPEN_METRICS));
    response
}

async fn watch_view(State(views): State<Views>) -> Response {
    let mut control = views.control.clone();
    control.mark_changed();
    let lines = futures_lite::stream::unfold((views, control), |(views, mut control)| async move {
        control.changed().await.ok()?;
        control.borrow_and_update();
        let line = Bytes::from(format!("{}\n", views.status_page()));
        Some((Ok::<_, Infallible>(Frame::data(line)), (views, control)))
    });
    Response::new(Body::new(StreamBody::new(lines)))
}
