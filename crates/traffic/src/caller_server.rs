//! HTTP server for callers: reads a complete request within the limits, passes it to the traffic thread and writes the
//! answer, with the outcome in a separate header if the dialect has one.

use crate::caller_body::{BodyError, BodyReader, UNRESERVED_BODY_BYTES};
use crate::caller_limits::CallerLimits;
use crate::front_types::{Call, Reply};
use crate::memory_plan::RequestMemory;
use crate::traffic_message::TrafficMessage;
use axum::Router;
use axum::body::Body;
use axum::extract::{Request, State};
use axum::http::request::Parts;
use axum::http::{HeaderMap, HeaderValue, StatusCode, header};
use axum::response::Response;
use axum::routing::any;
use bytes::Bytes;
use dispatch::HttpDialect;
use http_server::{ConnectionHandle, ShortageReporter};
use kernel::InboxSender;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::{oneshot, watch};
use tokio::time::timeout;
use wire::{AnswerHead, Outcome, RequestHead};

/// State shared by the handlers of callers' requests.
#[derive(Clone)]
pub struct CallerServer {
    pub traffic: InboxSender<TrafficMessage>,
    pub dialect: Arc<HttpDialect>,
    pub limits: watch::Receiver<CallerLimits>,
    /// Memory for the requests of callers.
    pub memory: RequestMemory,
    /// Tells the HTTP server that connections should give way.
    pub shortages: ShortageReporter,
}

/// Returns the HTTP routes for callers.
pub fn router(server: CallerServer) -> Router {
    Router::new().fallback(any(handle_request)).with_state(server)
}

async fn handle_request(State(server): State<CallerServer>, request: Request) -> Response {
    let started_at = Instant::now();
    let (parts, body) = request.into_parts();
    let connection = parts.extensions.get::<ConnectionHandle>().cloned().unwrap_or_default();
    let limits = server.limits.borrow().clone();
    let reader = BodyReader { memory: &server.memory, shortages: &server.shortages, connection: &connection };
    let body = match reader.read(body, &limits).await {
        Ok(body) => body,
        Err(error) => return server.body_error_response(error),
    };
    let path = parts.uri.path().to_owned();
    let request_id = server.dialect.request_id.as_ref().and_then(|name| parts.headers.get(name)).cloned();
    if let Some(id) = server.dialect.task_path.and_then(|prefix| path.strip_prefix(prefix)) {
        return server.task_status(id).await;
    }
    let Ok(call) = server.parse_call(parts, path, body, started_at) else {
        return server.error_response(400, "Idempotency-Key is 1 to 128 plain characters", false);
    };
    let need = RequestMemory::need(head_bytes(&call), body_bytes_beside_reservation(&call));
    let reservation = match reader.reserve_request(need, &limits).await {
        Ok(reservation) => reservation,
        Err(error) => return server.body_error_response(error),
    };
    let (reply, answer) = oneshot::channel();
    if server.traffic.send(TrafficMessage::Task { call, reply, reservation }).is_err() {
        let busy = Reply::from_router(503, Some(Outcome::NotRun), "this router is busy");
        return server.answer(busy.with_retry_after(Duration::from_millis(500)));
    }
    let unknown = || Reply::from_router(504, Some(Outcome::Unknown), "the outcome is not known");
    let mut reply = answer.await.unwrap_or_else(|_| unknown());
    if reply.body.len() > dispatch::UNRESERVED_ANSWER_BYTES {
        reply.body = connection.track_answer(reply.body);
    }
    let mut response = server.answer(reply);
    // With an idempotency key, the answer may be that of an earlier request, which had another id.
    if let (Some(name), Some(id)) = (&server.dialect.request_id, request_id)
        && response.headers().contains_key(name)
    {
        response.headers_mut().insert(name, id);
    }
    response
}

impl CallerServer {
    /// Returns the response to a request whose body was not read. It has not run, and its connection ends.
    fn body_error_response(&self, error: BodyError) -> Response {
        match error {
            BodyError::TooSlow => self.error_response(408, "the request's body came too slowly", true),
            BodyError::TooLong => self.error_response(413, "the request's body is too long", true),
            BodyError::Cut => self.error_response(400, "the request's body was cut", true),
            BodyError::NoMemory => {
                let reply = Reply::from_router(503, Some(Outcome::NotRun), "this router has no memory for the request");
                close_connection(self.answer(reply.with_retry_after(NO_MEMORY_RETRY_AFTER)))
            }
        }
    }

    /// Converts an HTTP request to a call. Fails if the idempotency key is malformed.
    fn parse_call(&self, parts: Parts, path: String, body: Bytes, started_at: Instant) -> Result<Call, ()> {
        let dialect = &self.dialect;
        let text = |name: &header::HeaderName| parts.headers.get(name).and_then(|value| value.to_str().ok());
        let key_header = dialect.idempotency_key.as_ref().filter(|name| parts.headers.contains_key(*name));
        let key = key_header.and_then(text).map(str::to_owned);
        if key_header.is_some() && key.as_ref().is_none_or(|key| key.is_empty() || key.len() > 128) {
            return Err(());
        }
        let respond_async =
            dialect.task_path.is_some() && text(&PREFER).is_some_and(|value| value.contains("respond-async"));
        let api_key = dialect.api_key.as_ref().and_then(|name| api_key(&parts.headers, name));
        let host = text(&header::HOST).or(parts.uri.authority().map(|authority| authority.as_str()));
        let deadline = dialect.deadline.as_ref().and_then(text).and_then(|value| value.trim().parse().ok());
        let target = parts.uri.path_and_query().map_or(path.as_str(), |target| target.as_str());
        Ok(Call {
            host: host.unwrap_or_default().to_owned(),
            deadline: deadline.map(|left| Duration::from_millis(left).saturating_sub(started_at.elapsed())),
            head: RequestHead {
                method: parts.method.as_str().into(),
                target: target.into(),
                headers: dispatch::forwarded_request_headers(&parts.headers, dialect),
            },
            path,
            body,
            key,
            api_key,
            respond_async,
        })
    }

    async fn task_status(&self, id: &str) -> Response {
        if id.len() != 32 || !id.bytes().all(|b| b.is_ascii_hexdigit()) {
            return self.error_response(404, "no such task", false);
        }
        let (reply, answer) = oneshot::channel();
        if self.traffic.send(TrafficMessage::TaskStatus { id: id.to_owned(), reply }).is_err() {
            return self.error_response(503, "this router is busy", false);
        }
        match timeout(Duration::from_secs(4), answer).await {
            Ok(Ok(reply)) => self.answer(reply),
            _ => self.answer(
                Reply::from_router(503, None, "the core could not be asked in time")
                    .with_retry_after(Duration::from_secs(1)),
            ),
        }
    }

    /// Returns an error response; `close` ends the connection.
    fn error_response(&self, status: u16, detail: &'static str, close: bool) -> Response {
        let response = self.answer(Reply::from_router(status, None, detail));
        if close { close_connection(response) } else { response }
    }

    /// Converts a reply to an HTTP response.
    pub fn answer(&self, reply: Reply) -> Response {
        let is_router_error = reply.body.is_empty() && !reply.detail.is_empty();
        let body = if is_router_error { format!("{{\"fault\":\"{}\"}}", reply.detail).into() } else { reply.body };
        let mut response = Response::new(Body::from(body));
        *response.status_mut() = StatusCode::from_u16(reply.status).unwrap_or(StatusCode::BAD_GATEWAY);
        let headers = response.headers_mut();
        if let Some(list) = wire::from_bytes::<AnswerHead>(&reply.head) {
            dispatch::append_headers(headers, &list.headers);
        } else {
            headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
        }
        if let (Some(name), Some(outcome)) = (&self.dialect.outcome, reply.outcome) {
            headers.insert(name, HeaderValue::from_static(outcome.as_str()));
        }
        let is_refused = reply.outcome == Some(Outcome::NotRun) && reply.status == 503;
        if is_refused || !reply.retry_after.is_zero() {
            headers.insert(header::RETRY_AFTER, retry_after(reply.retry_after, self.dialect.fractional_retry_after));
        }
        if let Some(keep_alive) = &self.limits.borrow().keep_alive {
            headers.insert(KEEP_ALIVE, keep_alive.clone());
        }
        response
    }
}

/// Lets the connection end with this response.
fn close_connection(mut response: Response) -> Response {
    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    response
}

/// Returns the memory that the head of a call takes.
fn head_bytes(call: &Call) -> usize {
    let headers = call.head.headers.iter();
    let fields: usize = headers.map(|field| HEADER_BYTES + field.name.as_str().len() + field.value.len()).sum();
    // The path is kept beside the target.
    fields + 2 * call.head.target.as_str().len()
}

/// Returns the memory of the body, unless the body owns the reservation of it.
fn body_bytes_beside_reservation(call: &Call) -> usize {
    if call.body.len() > UNRESERVED_BODY_BYTES { 0 } else { call.body.len() }
}

/// `Retry-After` of a request for which there is no memory.
const NO_MEMORY_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Memory of a header beside its name and its value.
const HEADER_BYTES: usize = 128;
const PREFER: header::HeaderName = header::HeaderName::from_static("prefer");
const KEEP_ALIVE: header::HeaderName = header::HeaderName::from_static("keep-alive");

/// Returns the API key of a request. It is empty, which matches no consumer, if the header is repeated or not text.
fn api_key(headers: &HeaderMap, name: &header::HeaderName) -> Option<String> {
    let mut values = headers.get_all(name).iter();
    let first = values.next()?;
    let is_single = values.next().is_none();
    Some(first.to_str().ok().filter(|_| is_single).unwrap_or_default().to_owned())
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
