//! The callers' door: reads a request whole within its bounds, hands it to the traffic thread and
//! writes the answer, with the outcome in a header of its own.

use crate::front_types::{Call, Reply};
use crate::head;
use crate::plane::TrafficMsg;
use axum::Router;
use axum::body::Body;
use axum::extract::{Request, State};
use axum::http::{HeaderValue, StatusCode, header};
use axum::response::Response;
use axum::routing::any;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use kernel::Post;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::timeout;
use wire::{AnswerHead, Outcome, RequestHead};

#[derive(Clone)]
pub struct Door {
    pub traffic: Post<TrafficMsg>,
    pub body: usize,
    pub body_time: Duration,
}

pub fn router(door: Door) -> Router {
    Router::new().fallback(any(meet)).with_state(door)
}

async fn meet(State(door): State<Door>, request: Request) -> Response {
    let (parts, body) = request.into_parts();
    let read = timeout(door.body_time, Limited::new(body, door.body).collect()).await;
    let body = match read {
        Err(_) => return own(408, "the request's body came too slowly", true),
        Ok(Err(fault)) if fault.downcast_ref::<LengthLimitError>().is_some() => {
            return own(413, "the request's body is too long", true);
        }
        Ok(Err(_)) => return own(400, "the request's body was cut", true),
        Ok(Ok(body)) => body.to_bytes().to_vec(),
    };
    let path = parts.uri.path().to_owned();
    if let Some(id) = path.strip_prefix("/.heron/tasks/") {
        return status(&door, id).await;
    }
    let text = |name: &str| parts.headers.get(name).and_then(|value| value.to_str().ok());
    let key = text("idempotency-key").map(str::to_owned);
    if parts.headers.contains_key("idempotency-key") && key.as_ref().is_none_or(|k| k.is_empty() || k.len() > 128) {
        return own(400, "Idempotency-Key is 1 to 128 plain characters", false);
    }
    let target = parts.uri.path_and_query().map_or(path.as_str(), |target| target.as_str());
    let call = Call {
        head: RequestHead {
            method: parts.method.as_str().into(),
            target: target.into(),
            headers: head::lines(&parts.headers),
        },
        path,
        body,
        key,
        respond_async: text("prefer").is_some_and(|value| value.contains("respond-async")),
    };
    let (reply, told) = oneshot::channel();
    if door.traffic.send(TrafficMsg::Task { call, reply }).is_err() {
        return answer(Reply::own(503, Some(Outcome::NotRun), "this router is busy").again(2));
    }
    match told.await {
        Ok(reply) => answer(reply),
        Err(_) => answer(Reply::own(504, Some(Outcome::Unknown), "the outcome is not known")),
    }
}

async fn status(door: &Door, id: &str) -> Response {
    if id.len() != 32 || !id.bytes().all(|b| b.is_ascii_hexdigit()) {
        return own(404, "no such task", false);
    }
    let (reply, told) = oneshot::channel();
    if door.traffic.send(TrafficMsg::Status { id: id.to_owned(), reply }).is_err() {
        return own(503, "this router is busy", false);
    }
    match timeout(Duration::from_secs(4), told).await {
        Ok(Ok(reply)) => answer(reply),
        _ => answer(Reply::own(503, None, "the core could not be asked in time").again(1)),
    }
}

fn own(status: u16, told: &'static str, close: bool) -> Response {
    let mut response = answer(Reply::own(status, None, told));
    if close {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

pub fn answer(reply: Reply) -> Response {
    let own = reply.body.is_empty() && !reply.told.is_empty();
    let body = if own { format!("{{\"fault\":\"{}\"}}", reply.told).into_bytes() } else { reply.body };
    let mut response = Response::new(Body::from(body));
    *response.status_mut() = StatusCode::from_u16(reply.status).unwrap_or(StatusCode::BAD_GATEWAY);
    if let Some(list) = wire::from_bytes::<AnswerHead>(&reply.head) {
        head::fill(response.headers_mut(), &list.headers);
    } else {
        response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    }
    if let Some(outcome) = reply.outcome {
        response.headers_mut().insert(head::OUTCOME, HeaderValue::from_static(outcome.word()));
    }
    if reply.retry_after > 0 || (reply.outcome == Some(Outcome::NotRun) && reply.status == 503) {
        response.headers_mut().insert(header::RETRY_AFTER, HeaderValue::from(reply.retry_after.max(1)));
    }
    response
}
