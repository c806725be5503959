//! The operators' HTTP/1.1 API: read, replace and patch the configuration, look up an operation, and read or watch
//! one registry's status. All pages but /health, /ready and /metrics need a bearer token.

use crate::api_calls::{ApiCall, ApiReply};
use crate::api_views::{metrics, ready, status, watch_status};
use crate::operator_pages::RegistryHandle;
use axum::Router;
use axum::body::Bytes;
use axum::extract::{DefaultBodyLimit, Path, State};
use axum::http::{HeaderMap, StatusCode, Uri, header};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, put};
use bindings::Kind;
use http_server::Tokens;
use serde_json::{Map, Value, json};
use wire::ConfigurationItem;

/// State shared by the API's handlers.
#[derive(Clone)]
pub struct Api {
    /// Handle of the registry.
    pub handle: RegistryHandle,
    /// Bearer tokens and their tenants.
    pub tokens: Tokens,
}

/// Returns the API's routes, for request bodies of at most `body` bytes.
pub fn router(api: Api, body: usize) -> Router {
    Router::new()
        .route("/health", get(|| async { "ok\n" }))
        .route("/ready", get(ready))
        .route("/metrics", get(metrics))
        .route("/v1/status", get(status))
        .route("/v1/watch", get(watch_status))
        .route("/v1/operations/{op}", get(operation))
        .route("/v1/configuration", get(read).put(replace).patch(patch))
        .route("/v1/{kind}", get(read_kind))
        .route("/v1/{kind}/{tenant}/{name}", put(put_one).get(read_one).delete(delete_one))
        .layer(DefaultBodyLimit::max(body))
        .with_state(api)
}

pub(crate) fn refuse(status: u16, detail: &str) -> Response {
    answer(ApiReply::new(status, json!({"outcome": "refused", "fault": detail})), None)
}

pub(crate) fn answer(reply: ApiReply, op: Option<&str>) -> Response {
    let status = StatusCode::from_u16(reply.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = (status, [(header::CONTENT_TYPE, "application/json")], reply.body).into_response();
    let mut put = |name: &'static str, value: String| {
        if let Ok(value) = value.parse() {
            response.headers_mut().insert(name, value);
        }
    };
    if let Some(revision) = reply.revision {
        put("etag", format!("\"{revision}\""));
    }
    if let Some(seconds) = reply.retry_after {
        put("retry-after", seconds.to_string());
    }
    if let Some(op) = op {
        put("operation-id", op.to_owned());
    }
    response
}

impl Api {
    /// Refuses a change that can't be parsed, and records it as invalid if the caller is authenticated.
    async fn refuse_change(&self, headers: &HeaderMap, status: u16, detail: &str) -> Response {
        if self.scope(headers).is_none() {
            return refuse(401, "a bearer token is needed");
        }
        self.handle.note_invalid(detail).await;
        refuse(status, detail)
    }

    /// Returns the tenant of the caller's bearer token (empty for all tenants), or none without a valid token.
    pub(crate) fn scope(&self, headers: &HeaderMap) -> Option<String> {
        self.tokens.scope(headers.get(header::AUTHORIZATION).and_then(|value| value.to_str().ok()))
    }

    async fn change(&self, headers: &HeaderMap, uri: &Uri, full: bool, items: Vec<ConfigurationItem>) -> Response {
        let dry = uri.query().is_some_and(|query| query.split('&').any(|part| part == "dry-run=true"));
        let Some(scope) = self.scope(headers) else { return refuse(401, "a bearer token is needed") };
        let header_text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok()).map(str::to_owned);
        let base = match header_text("if-match").as_deref().map(|tag| tag.trim().trim_matches('"').to_owned()) {
            None => return refuse(428, "If-Match with the revision the change is based on, or *, is needed"),
            Some(tag) if tag == "*" => None,
            Some(tag) => match tag.parse() {
                Ok(revision) => Some(revision),
                Err(_) => return refuse(400, "If-Match is a revision number in quotes, or *"),
            },
        };
        let op = header_text("operation-id").unwrap_or_else(|| format!("{:032x}", rand::random::<u128>()));
        if config::identifier(&op).is_err() {
            return refuse(400, "Operation-Id is 1 to 64 letters, digits, '-', '_' or '.'");
        }
        let revision = match header_text("revision").map(|number| number.trim().parse::<u64>()) {
            None => None,
            Some(Ok(revision)) if revision > 0 => Some(revision),
            Some(_) => return refuse(400, "Revision is the number the change declares, 1 or more"),
        };
        let call = ApiCall::Change { op: op.clone(), base, revision, full, scope, items, dry };
        let reply = if dry { self.handle.call(call).await } else { self.handle.change(call).await };
        if reply.status != 200 {
            events::event!(change_rejected, "operation {op}: {}", reply.status);
        }
        answer(reply, Some(&op))
    }
}

fn item(key: &str, value: Option<&Value>) -> ConfigurationItem {
    let raw = value.map(|value| value.to_string().into_bytes()).unwrap_or_default();
    ConfigurationItem { key: key.into(), is_removed: value.is_none() as u8, value: raw.into() }
}

async fn operation(State(api): State<Api>, Path(op): Path<String>, headers: HeaderMap) -> Response {
    if api.scope(&headers).is_none() {
        return refuse(401, "a bearer token is needed");
    }
    answer(api.handle.call(ApiCall::Operation { op }).await, None)
}

async fn read(State(api): State<Api>, headers: HeaderMap) -> Response {
    let Some(scope) = api.scope(&headers) else { return refuse(401, "a bearer token is needed") };
    answer(api.handle.call(ApiCall::Configuration { scope }).await, None)
}

async fn read_part(api: &Api, headers: &HeaderMap, pointer: &str) -> Response {
    let Some(scope) = api.scope(headers) else { return refuse(401, "a bearer token is needed") };
    let mut reply = api.handle.call(ApiCall::Configuration { scope }).await;
    if reply.status == 200 {
        let full: Value = serde_json::from_str(&reply.body).unwrap_or_default();
        match full.pointer(pointer) {
            Some(part) => reply.body = part.to_string(),
            None => return refuse(404, "no such resource"),
        }
    }
    answer(reply, None)
}

async fn read_kind(State(api): State<Api>, Path(kind): Path<String>, headers: HeaderMap) -> Response {
    read_part(&api, &headers, &format!("/{kind}")).await
}

async fn read_one(
    State(api): State<Api>,
    Path((kind, tenant, name)): Path<(String, String, String)>,
    headers: HeaderMap,
) -> Response {
    read_part(&api, &headers, &format!("/{kind}/{tenant}~1{name}")).await
}

async fn put_one(
    State(api): State<Api>,
    Path((kind, tenant, name)): Path<(String, String, String)>,
    headers: HeaderMap,
    uri: Uri,
    body: Bytes,
) -> Response {
    let Ok(value) = serde_json::from_slice::<Value>(&body) else {
        return api.refuse_change(&headers, 400, "the body is not JSON").await;
    };
    api.change(&headers, &uri, false, vec![item(&format!("{kind}/{tenant}/{name}"), Some(&value))]).await
}

async fn delete_one(
    State(api): State<Api>,
    Path((kind, tenant, name)): Path<(String, String, String)>,
    headers: HeaderMap,
    uri: Uri,
) -> Response {
    api.change(&headers, &uri, false, vec![item(&format!("{kind}/{tenant}/{name}"), None)]).await
}

async fn replace(State(api): State<Api>, headers: HeaderMap, uri: Uri, body: Bytes) -> Response {
    let Ok(Value::Object(full)) = serde_json::from_slice::<Value>(&body) else {
        return api.refuse_change(&headers, 400, "the body is not a JSON object").await;
    };
    let mut items = Vec::new();
    for (kind, list) in &full {
        if kind == "revision" {
            continue;
        }
        let (Some(_), Value::Object(list)) = (Kind::from_name(kind), list) else {
            return api
                .refuse_change(&headers, 422, &format!("{kind}: kinds are {}, each an object", Kind::names()))
                .await;
        };
        items.extend(list.iter().map(|(name, value)| item(&format!("{kind}/{name}"), Some(value))));
    }
    api.change(&headers, &uri, true, items).await
}

async fn patch(State(api): State<Api>, headers: HeaderMap, uri: Uri, body: Bytes) -> Response {
    let Ok(patch) = serde_json::from_slice::<Map<String, Value>>(&body) else {
        return api.refuse_change(&headers, 400, "the body is not a JSON object").await;
    };
    if let Some(unknown) = patch.keys().find(|key| !["name", "set", "remove"].contains(&key.as_str())) {
        return api.refuse_change(&headers, 422, &format!("{unknown}: a patch has name, set and remove")).await;
    }
    let mut items = Vec::new();
    match patch.get("set") {
        None => {}
        Some(Value::Object(list)) => items.extend(list.iter().map(|(key, value)| item(key, Some(value)))),
        Some(_) => return api.refuse_change(&headers, 422, "set: an object of kind/tenant/name to resource").await,
    }
    match patch.get("remove") {
        None => {}
        Some(Value::Array(list)) => items.extend(list.iter().filter_map(Value::as_str).map(|key| item(key, None))),
        Some(_) => return api.refuse_change(&headers, 422, "remove: a list of kind/tenant/name").await,
    }
    api.change(&headers, &uri, false, items).await
}

#[cfg(test)]
#[path = "api_tests.rs"]
mod api_tests;
