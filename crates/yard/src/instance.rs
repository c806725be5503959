//! An instance's own endpoint: it takes connections once it has started, runs up to its limit of
//! tasks at once, turns the rest away, echoes what it was sent, and records each run before it
//! answers.

#![expect(clippy::disallowed_types, reason = "two records are held against each other by it")]

use crate::record::Record;
use crate::services::Service;
use crate::state::Yard;
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

pub enum Ask {
    Lot(oneshot::Sender<Lot>),
}

#[derive(Clone, Copy, PartialEq)]
pub enum Lot {
    Plain,
    Lose,
    Garbage,
    Cut,
    TurnAway,
}

#[derive(Clone)]
pub struct Endpoint {
    pub id: String,
    pub service: String,
    pub shape: Service,
    pub busy: Arc<AtomicU32>,
    pub alive: Arc<AtomicBool>,
    pub record: Record,
    pub lots: mpsc::Sender<Ask>,
}

pub fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

pub async fn serve(endpoint: Endpoint, listener: TcpListener) {
    let router = Router::new().fallback(any(run)).with_state(endpoint);
    let _ = axum::serve(listener, router).await;
}

pub fn draw(yard: &mut Yard) -> Lot {
    let mischief = yard.mischief.clone();
    for (share, lot) in [
        (mischief.turn_away, Lot::TurnAway),
        (mischief.lose, Lot::Lose),
        (mischief.garbage, Lot::Garbage),
        (mischief.cut, Lot::Cut),
    ] {
        if yard.chance(share) {
            return lot;
        }
    }
    Lot::Plain
}

async fn run(State(endpoint): State<Endpoint>, method: Method, uri: Uri, headers: HeaderMap, body: Bytes) -> Response {
    let task = headers.get("x-task").and_then(|value| value.to_str().ok()).unwrap_or("-").to_owned();
    let (reply, told) = oneshot::channel();
    let asked = endpoint.lots.send(Ask::Lot(reply)).await.is_ok();
    if !endpoint.alive.load(Ordering::SeqCst) {
        return lost(64);
    }
    let lot = if asked { told.await.unwrap_or(Lot::Plain) } else { Lot::Plain };
    let busy = endpoint.busy.fetch_add(1, Ordering::SeqCst);
    let note = |what: &str| {
        endpoint.record.write(
            json!({"at": wall_ms(), "what": what, "task": task, "service": endpoint.service, "instance": endpoint.id}),
        )
    };
    if busy >= endpoint.shape.limit || lot == Lot::TurnAway {
        endpoint.busy.fetch_sub(1, Ordering::SeqCst);
        note("turned-away");
        return (StatusCode::SERVICE_UNAVAILABLE, "at its limit").into_response();
    }
    note("run");
    let (busy, work) = (endpoint.busy.clone(), Duration::from_millis(endpoint.shape.work_ms));
    let work = tokio::spawn(async move {
        tokio::time::sleep(work).await;
        busy.fetch_sub(1, Ordering::SeqCst);
    });
    let _ = work.await;
    if !endpoint.alive.load(Ordering::SeqCst) {
        return lost(64);
    }
    let text = format!("{method} {} task={task} body={}", uri.path(), String::from_utf8_lossy(&body));
    match lot {
        Lot::Lose => lost(text.len()),
        Lot::Cut => {
            let half = Bytes::copy_from_slice(&text.as_bytes()[..text.len() / 2]);
            let parts = [Ok(half), Err(std::io::Error::other("cut"))];
            let body = Body::from_stream(futures_lite::stream::iter(parts));
            Response::builder().header("content-length", text.len()).body(body).unwrap_or_default()
        }
        Lot::Garbage => {
            let mut response = Response::new(Body::from_stream(futures_lite::stream::iter([
                Ok::<_, std::io::Error>(Bytes::from_static(b"garbage")),
                Err(std::io::Error::other("more garbage")),
            ])));
            response.headers_mut().insert("x-garbage", HeaderValue::from_static("1"));
            response
        }
        Lot::Plain | Lot::TurnAway => text.into_response(),
    }
}

/// The work may be done, the answer is lost: a declared length that is never met.
fn lost(length: usize) -> Response {
    let body = Body::from_stream(futures_lite::stream::once(Err::<Bytes, _>(std::io::Error::other("lost"))));
    Response::builder().header("content-length", length).body(body).unwrap_or_default()
}
