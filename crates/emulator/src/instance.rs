//! HTTP endpoint of an instance. It accepts connections once it has started, runs tasks up to its concurrency
//! limit, turns the rest away, echoes each request, and records each run before it answers.

#![expect(clippy::disallowed_types, reason = "the records of two processes are compared by wall-clock time")]

use crate::record::Record;
use crate::services::Service;
use crate::state::Emulator;
use axum::Router;
use axum::body::{Body, Bytes};
use axum::extract::State;
use axum::http::{HeaderMap, HeaderValue, Method, StatusCode, Uri};
use axum::response::{IntoResponse, Response};
use axum::routing::any;
use serde_json::json;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};

/// Request of an instance to the task that owns the state.
pub enum DisturbanceRequest {
    /// Draws the disturbance of one task.
    Disturbance(oneshot::Sender<Disturbance>),
}

/// Way in which an instance misbehaves on a task.
#[derive(Clone, Copy, PartialEq)]
pub enum Disturbance {
    /// Not at all.
    Plain,
    /// Runs the task and breaks the connection before the body of the answer.
    Lose,
    /// Sends an invalid body and breaks the connection.
    Garbage,
    /// Sends half of the answer.
    Cut,
    /// Refuses the task as if at its limit.
    TurnAway,
}

/// State of the endpoint of one instance.
#[derive(Clone)]
pub struct Endpoint {
    pub id: String,
    pub service: String,
    pub profile: Service,
    /// Number of tasks that run.
    pub busy: Arc<AtomicU32>,
    /// Whether the instance still exists.
    pub alive: Arc<AtomicBool>,
    pub record: Record,
    pub disturbances: mpsc::Sender<DisturbanceRequest>,
}

/// Returns the wall-clock time in milliseconds since the Unix epoch.
pub fn unix_time_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

/// Serves the endpoint on its listener.
pub async fn serve(endpoint: Endpoint, listener: TcpListener) {
    let router = Router::new().fallback(any(run)).with_state(endpoint);
    let _ = axum::serve(listener, router).await;
}

/// Draws the disturbance of the next task from the configured shares.
pub fn draw_disturbance(emulator: &mut Emulator) -> Disturbance {
    let mischief = emulator.mischief.clone();
    for (share, disturbance) in [
        (mischief.turn_away, Disturbance::TurnAway),
        (mischief.lose, Disturbance::Lose),
        (mischief.garbage, Disturbance::Garbage),
        (mischief.cut, Disturbance::Cut),
    ] {
        if emulator.draw_chance(share) {
            return disturbance;
        }
    }
    Disturbance::Plain
}

async fn run(State(endpoint): State<Endpoint>, method: Method, uri: Uri, headers: HeaderMap, body: Bytes) -> Response {
    let task = headers.get("x-task").and_then(|value| value.to_str().ok()).unwrap_or("-").to_owned();
    let (reply, drawn) = oneshot::channel();
    let was_requested = endpoint.disturbances.send(DisturbanceRequest::Disturbance(reply)).await.is_ok();
    if !endpoint.alive.load(Ordering::SeqCst) {
        return lost_response(64);
    }
    let disturbance = if was_requested { drawn.await.unwrap_or(Disturbance::Plain) } else { Disturbance::Plain };
    let busy = endpoint.busy.fetch_add(1, Ordering::SeqCst);
    let record_task = |event: &str| {
        endpoint.record.write(
            json!({"at": unix_time_ms(), "what": event, "task": task, "service": endpoint.service, "instance": endpoint.id}),
        )
    };
    if busy >= endpoint.profile.limit || disturbance == Disturbance::TurnAway {
        endpoint.busy.fetch_sub(1, Ordering::SeqCst);
        record_task("turned-away");
        return (StatusCode::SERVICE_UNAVAILABLE, "at its limit").into_response();
    }
    record_task("run");
    let (busy, work) = (endpoint.busy.clone(), Duration::from_millis(endpoint.profile.work_ms));
    let work = tokio::spawn(async move {
        tokio::time::sleep(work).await;
        busy.fetch_sub(1, Ordering::SeqCst);
    });
    let _ = work.await;
    if !endpoint.alive.load(Ordering::SeqCst) {
        return lost_response(64);
    }
    let text = format!("{method} {} task={task} body={}", uri.path(), String::from_utf8_lossy(&body));
    match disturbance {
        Disturbance::Lose => lost_response(text.len()),
        Disturbance::Cut => {
            let half = Bytes::copy_from_slice(&text.as_bytes()[..text.len() / 2]);
            let parts = [Ok(half), Err(std::io::Error::other("cut"))];
            let body = Body::from_stream(futures_lite::stream::iter(parts));
            Response::builder().header("content-length", text.len()).body(body).unwrap_or_default()
        }
        Disturbance::Garbage => {
            let mut response = Response::new(Body::from_stream(futures_lite::stream::iter([
                Ok::<_, std::io::Error>(Bytes::from_static(b"garbage")),
                Err(std::io::Error::other("more garbage")),
            ])));
            response.headers_mut().insert("x-garbage", HeaderValue::from_static("1"));
            response
        }
        Disturbance::Plain | Disturbance::TurnAway => text.into_response(),
    }
}

/// Returns a response whose declared length is never sent: the task may have run, but its answer is lost.
fn lost_response(length: usize) -> Response {
    let body = Body::from_stream(futures_lite::stream::once(Err::<Bytes, _>(std::io::Error::other("lost"))));
    Response::builder().header("content-length", length).body(body).unwrap_or_default()
}
