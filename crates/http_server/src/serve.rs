//! Accepts HTTP/1.1 connections with limits on their number, the size and arrival time of a request head,
//! and the lifetime of a connection. On a planned stop every connection finishes the request in progress,
//! with `Connection: close`, and is then closed.

use axum::Router;
use hyper::server::conn::http1;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, watch};
use tokio::task::JoinSet;

/// Smallest buffer size that hyper accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8192;

/// Limits on served connections and their requests.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// Maximum number of open connections; further ones wait to be accepted.
    pub connections: usize,
    /// Maximum size of a request head in bytes; at least 8 KiB.
    pub head_bytes: usize,
    /// Maximum number of headers in a request.
    pub headers: usize,
    /// Maximum time for a request head to arrive.
    pub head_time: Duration,
    /// Time after which a connection is shut down gracefully.
    pub life: Duration,
    /// Maximum time for a closing connection to finish its request.
    pub grace: Duration,
}

/// Serves connections until `stop` is true, then lets open ones finish.
pub async fn serve(listener: TcpListener, router: Router, limits: ServerLimits, stop: watch::Receiver<bool>) {
    serve_with_dynamic_limits(listener, router, move || limits, stop).await;
}

/// Same as [`serve`], with limits that may change: a connection keeps those in force when it was accepted.
pub async fn serve_with_dynamic_limits(
    listener: TcpListener,
    router: Router,
    limits_now: impl Fn() -> ServerLimits,
    mut stop: watch::Receiver<bool>,
) {
    let permits = Rc::new(Semaphore::new(limits_now().connections));
    let mut open = JoinSet::new();
    loop {
        let permit = tokio::select! {
            permit = permits.clone().acquire_owned_permit() => permit,
            _ = stop.wait_for(|stopping| *stopping) => break,
        };
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|stopping| *stopping) => break,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let limits = limits_now();
        let service = TowerToHyperService::new(router.clone());
        let mut stopping = stop.clone();
        while open.try_join_next().is_some() {}
        open.spawn_local(async move {
            let _permit = permit;
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(limits.head_time)
                .max_buf_size(limits.head_bytes.max(MIN_BUFFER_BYTES))
                .max_headers(limits.headers)
                .serve_connection(TokioIo::new(stream), service);
            tokio::pin!(connection);
            tokio::select! {
                _ = connection.as_mut() => return,
                _ = stopping.wait_for(|stopping| *stopping) => {}
                _ = tokio::time::sleep(limits.life) => {}
            }
            connection.as_mut().graceful_shutdown();
            let _ = tokio::time::timeout(limits.grace, connection).await;
        });
    }
    drop(listener);
    while open.join_next().await.is_some() {}
}

/// Permit for one connection, given back when dropped.
struct ConnectionPermit {
    permits: Rc<Semaphore>,
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.permits.add_permits(1);
    }
}

trait AcquireOwned {
    async fn acquire_owned_permit(self) -> ConnectionPermit;
}

impl AcquireOwned for Rc<Semaphore> {
    async fn acquire_owned_permit(self) -> ConnectionPermit {
        if let Ok(permit) = self.acquire().await {
            permit.forget();
        }
        ConnectionPermit { permits: self }
    }
}
