//! The callers' door: reads a request whole within its bounds, hands it to the traffic thread and
//! writes the answer, with the outcome in a header of its own where the dialect has one.

use crate::caller_limits::CallerLimits;
use crate::data_plane::TrafficMessage;
use crate::front_types::{Call, Reply};
use axum::Router;
use axum::body::{Body, HttpBody};
use axum::extract::{Request, State};
use axum::http::request::Parts;
use axum::http::{HeaderMap, HeaderValue, StatusCode, header};
use axum::response::Response;
use axum::routing::any;
use dispatch::HttpDialect;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use kernel::InboxSender;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::{oneshot, watch};
use tokio::time::timeout;
use wire::{AnswerHead, Outcome, RequestHead};

#[derive(Clone)]
pub struct CallerServer {
    pub traffic: InboxSender<TrafficMessage>,
    pub words: Arc<HttpDialect>,
    pub limits: watch::Receiver<CallerLimits>,
}

pub fn router(server: CallerServer) -> Router {
    Router::new().fallback(any(meet)).with_state(server)
}

async fn meet(State(server): State<CallerServer>, request: Request) -> Response {
    let started_at = Instant::now();
    let (parts, body) = request.into_parts();
    let body = match server.read(body).await {
        Ok(body) => body,
        Err(refused) => return refused,
    };
    let path = parts.uri.path().to_owned();
    let request_id = server.words.request_id.as_ref().and_then(|name| parts.headers.get(name)).cloned();
    if let Some(id) = server.words.task_path.and_then(|below| path.strip_prefix(below)) {
        return server.status(id).await;
    }
    let Ok(call) = server.call(parts, path, body, started_at) else {
        return server.own(400, "Idempotency-Key is 1 to 128 plain characters", false);
    };
    let (reply, detail) = oneshot::channel();
    if server.traffic.send(TrafficMessage::Task { call, reply }).is_err() {
        let busy = Reply::own(503, Some(Outcome::NotRun), "this router is busy");
        return server.answer(busy.again(Duration::from_millis(500)));
    }
    let unknown = || Reply::own(504, Some(Outcome::Unknown), "the outcome is not known");
    let mut response = server.answer(detail.await.unwrap_or_else(|_| unknown()));
    // The answer of an operation under a key may be that to an earlier request, with another id.
    if let (Some(name), Some(id)) = (&server.words.request_id, request_id)
        && response.headers().contains_key(name)
    {
        response.headers_mut().insert(name, id);
    }
    response
}

impl CallerServer {
    async fn read(&self, body: Body) -> Result<Vec<u8>, Response> {
        if body.is_end_stream() {
            return Ok(Vec::new());
        }
        let (bytes, time) = {
            let limits = self.limits.borrow();
            (limits.body_bytes, limits.body_time)
        };
        match timeout(time, Limited::new(body, bytes).collect()).await {
            Err(_) => Err(self.own(408, "the request's body came too slowly", true)),
            Ok(Err(error)) if error.downcast_ref::<LengthLimitError>().is_some() => {
                Err(self.own(413, "the request's body is too long", true))
            }
            Ok(Err(_)) => Err(self.own(400, "the request's body was cut", true)),
            Ok(Ok(body)) => Ok(body.to_bytes().into()),
        }
    }

    /// The call a request makes; a key that cannot be one is a fault.
    fn call(&self, parts: Parts, path: String, body: Vec<u8>, started_at: Instant) -> Result<Call, ()> {
        let words = &self.words;
        let text = |name: &header::HeaderName| parts.headers.get(name).and_then(|value| value.to_str().ok());
        let keyed = words.idempotency_key.as_ref().filter(|name| parts.headers.contains_key(*name));
        let key = keyed.and_then(text).map(str::to_owned);
        if keyed.is_some() && key.as_ref().is_none_or(|key| key.is_empty() || key.len() > 128) {
            return Err(());
        }
        let asked = words.task_path.is_some() && text(&PREFER).is_some_and(|value| value.contains("respond-async"));
        let api_key = words.api_key.as_ref().and_then(|name| api_key(&parts.headers, name));
        let host = text(&header::HOST).or(parts.uri.authority().map(|authority| authority.as_str()));
        let deadline = words.deadline.as_ref().and_then(text).and_then(|value| value.trim().parse().ok());
        let target = parts.uri.path_and_query().map_or(path.as_str(), |target| target.as_str());
        Ok(Call {
            host: host.unwrap_or_default().to_owned(),
            deadline: deadline.map(|left| Duration::from_millis(left).saturating_sub(started_at.elapsed())),
            head: RequestHead {
                method: parts.method.as_str().into(),
                target: target.into(),
                headers: dispatch::forwarded_request_headers(&parts.headers, words),
            },
            path,
            body,
            key,
            api_key,
            respond_async: asked,
        })
    }

    async fn status(&self, id: &str) -> Response {
        if id.len() != 32 || !id.bytes().all(|b| b.is_ascii_hexdigit()) {
            return self.own(404, "no such task", false);
        }
        let (reply, detail) = oneshot::channel();
        if self.traffic.send(TrafficMessage::Status { id: id.to_owned(), reply }).is_err() {
            return self.own(503, "this router is busy", false);
        }
        match timeout(Duration::from_secs(4), detail).await {
            Ok(Ok(reply)) => self.answer(reply),
            _ => {
                self.answer(Reply::own(503, None, "the core could not be asked in time").again(Duration::from_secs(1)))
            }
        }
    }

    fn own(&self, status: u16, detail: &'static str, close: bool) -> Response {
        let mut response = self.answer(Reply::own(status, None, detail));
        if close {
            response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    pub fn answer(&self, reply: Reply) -> Response {
        let own = reply.body.is_empty() && !reply.detail.is_empty();
        let body = if own { format!("{{\"fault\":\"{}\"}}", reply.detail).into_bytes() } else { reply.body };
        let mut response = Response::new(Body::from(body));
        *response.status_mut() = StatusCode::from_u16(reply.status).unwrap_or(StatusCode::BAD_GATEWAY);
        let headers = response.headers_mut();
        if let Some(list) = wire::from_bytes::<AnswerHead>(&reply.head) {
            dispatch::append_headers(headers, &list.headers);
        } else {
            headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
        }
        if let (Some(name), Some(outcome)) = (&self.words.outcome, reply.outcome) {
            headers.insert(name, HeaderValue::from_static(outcome.as_str()));
        }
        let refused = reply.outcome == Some(Outcome::NotRun) && reply.status == 503;
        if refused || !reply.retry_after.is_zero() {
            headers.insert(header::RETRY_AFTER, retry_after(reply.retry_after, self.words.fractional_retry_after));
        }
        if let Some(detail) = &self.limits.borrow().keep_alive {
            headers.insert(KEEP_ALIVE, detail.clone());
        }
        response
    }
}

const PREFER: header::HeaderName = header::HeaderName::from_static("prefer");
const KEEP_ALIVE: header::HeaderName = header::HeaderName::from_static("keep-alive");

/// The API key of a request; empty, as no consumer's is, where it stands there twice or is no text.
fn api_key(headers: &HeaderMap, name: &header::HeaderName) -> Option<String> {
    let mut values = headers.get_all(name).iter();
    let first = values.next()?;
    let alone = values.next().is_none();
    Some(first.to_str().ok().filter(|_| alone).unwrap_or_default().to_owned())
}

fn retry_after(after: Duration, fractions: bool) -> HeaderValue {
    if fractions {
        let seconds = format!("{:.3}", after.as_secs_f64().max(0.05));
        return HeaderValue::try_from(seconds).unwrap_or(HeaderValue::from_static("1"));
    }
    HeaderValue::from(after.as_millis().div_ceil(1000).max(1) as u64)
}

#[cfg(test)]
#[path = "caller_server_tests.rs"]
mod tests;
