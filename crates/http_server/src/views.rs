//! A node's view of the declared kinds, and a live watch of it. Registries and routers serve the same routes;
//! each reader sees what the scope of its token allows.

use crate::resource_index::{Filter, ResourceIndex, in_scope};
use crate::tokens::Tokens;
use axum::Router;
use axum::body::{Body, Bytes};
use axum::extract::{Path, Query, State};
use axum::http::{HeaderMap, StatusCode, header};
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use bindings::Kind;
use http_body::Frame;
use http_body_util::StreamBody;
use serde_json::json;
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::sleep;

/// Minimum interval between two batches of a watch; changes made within it are sent together.
const BATCH_INTERVAL: Duration = Duration::from_millis(50);

/// The data that the routes serve.
#[derive(Clone)]
pub struct Views {
    /// The newest snapshot of the node's resources.
    pub index: watch::Receiver<ResourceIndex>,
    /// The tokens that give access, each with the tenant whose resources it can read.
    pub tokens: Tokens,
}

/// Creates the routes `/v1/view/...` and `/v1/watch/...`.
pub fn view_routes(views: Views) -> Router {
    Router::new()
        .route("/v1/view/{kind}", get(list_resources))
        .route("/v1/view/{kind}/{tenant}/{name}", get(get_resource))
        .route("/v1/watch/{kind}", get(watch_kind))
        .route("/v1/watch/{kind}/{tenant}/{name}", get(watch_resource))
        .with_state(views)
}

fn refusal_response(status: StatusCode, message: &str) -> Response {
    let body = json!({"outcome": "refused", "fault": message}).to_string();
    (status, [(header::CONTENT_TYPE, "application/json")], body).into_response()
}

fn json_response(value: &serde_json::Value) -> Response {
    ([(header::CONTENT_TYPE, "application/json")], value.to_string()).into_response()
}

impl Views {
    /// Checks the token, the kind and the resource of a request; returns the filter for what it may read.
    fn authorize(&self, headers: &HeaderMap, kind: &str, name: Option<&str>) -> Result<Filter, Box<Response>> {
        let bearer = headers.get(header::AUTHORIZATION).and_then(|value| value.to_str().ok());
        let Some(scope) = self.tokens.scope(bearer) else {
            return Err(Box::new(refusal_response(StatusCode::UNAUTHORIZED, "a bearer token is needed")));
        };
        if Kind::from_name(kind).is_none() {
            return Err(Box::new(refusal_response(StatusCode::NOT_FOUND, "no such kind")));
        }
        if name.is_some_and(|name| !in_scope(name, &scope)) {
            return Err(Box::new(refusal_response(StatusCode::FORBIDDEN, "another tenant's resource")));
        }
        Ok(Filter { kind: kind.to_owned(), scope, name: name.map(str::to_owned) })
    }

    /// Streams the changes since a mark, one line each.
    fn watch(&self, filter: Filter, mark: Option<String>) -> Response {
        let mut index = self.index.clone();
        index.mark_changed();
        let lines = futures_lite::stream::unfold((index, filter, mark), |(mut index, filter, mark)| async move {
            loop {
                index.changed().await.ok()?;
                let (lines, next) = index.borrow_and_update().changes(&filter, mark.as_deref());
                if !lines.is_empty() {
                    let frame = Frame::data(Bytes::from(lines));
                    sleep(BATCH_INTERVAL).await;
                    return Some((Ok::<_, Infallible>(frame), (index, filter, Some(next))));
                }
            }
        });
        let body = Body::new(StreamBody::new(lines));
        ([(header::CONTENT_TYPE, "application/x-ndjson")], body).into_response()
    }
}

async fn list_resources(State(views): State<Views>, Path(kind): Path<String>, headers: HeaderMap) -> Response {
    match views.authorize(&headers, &kind, None) {
        Ok(filter) => json_response(&views.index.borrow().list(&kind, &filter.scope)),
        Err(refusal) => *refusal,
    }
}

type ResourcePath = Path<(String, String, String)>;

async fn get_resource(
    State(views): State<Views>,
    Path((kind, tenant, name)): ResourcePath,
    headers: HeaderMap,
) -> Response {
    let name = format!("{tenant}/{name}");
    if let Err(refusal) = views.authorize(&headers, &kind, Some(&name)) {
        return *refusal;
    }
    match views.index.borrow().get(&format!("{kind}/{name}")) {
        Some(value) => json_response(&value),
        None => refusal_response(StatusCode::NOT_FOUND, "no such resource"),
    }
}

type WatchQuery = Query<BTreeMap<String, String>>;

async fn watch_kind(
    State(views): State<Views>,
    Path(kind): Path<String>,
    Query(mut query): WatchQuery,
    headers: HeaderMap,
) -> Response {
    match views.authorize(&headers, &kind, None) {
        Ok(filter) => views.watch(filter, query.remove("from")),
        Err(refusal) => *refusal,
    }
}

async fn watch_resource(
    State(views): State<Views>,
    Path((kind, tenant, name)): ResourcePath,
    Query(mut query): WatchQuery,
    headers: HeaderMap,
) -> Response {
    match views.authorize(&headers, &kind, Some(&format!("{tenant}/{name}"))) {
        Ok(filter) => views.watch(filter, query.remove("from")),
        Err(refusal) => *refusal,
    }
}
