//! Accepts HTTP/1.1 connections with limits on their number, the size and arrival time of a request head,
//! and the lifetime of a connection. When connections run short, the one whose client has been idle for longest gives way
//! to a new one. On a planned stop every connection finishes the request in progress, with `Connection: close`, and is
//! then closed.

use crate::connection::{ConnectionHandle, Phase};
use crate::shedding::{ConnectionTable, Shortages, shortages};
use axum::Router;
use axum::extract::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::{Service, service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio::task::JoinSet;

/// Smallest buffer size that hyper accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8192;
/// Pause after a failed accept.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(20);
/// Interval at which another connection is asked to give way while none has ended.
const SHED_INTERVAL: Duration = Duration::from_millis(50);

/// Limits on served connections and their requests.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// Maximum number of open connections; for a further one, an idle one is closed.
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

/// Limits that may change while a server runs, and shortages that its connections relieve.
pub struct DynamicLimits<F> {
    /// Returns the limits in force; a connection keeps those with which it was accepted.
    pub limits_now: F,
    /// Shortages reported by the handlers.
    pub shortages: Shortages,
}

/// Serves connections until `stop` is true, then lets open ones finish.
pub async fn serve(listener: TcpListener, router: Router, limits: ServerLimits, stop: watch::Receiver<bool>) {
    let (_reporter, shortages) = shortages();
    serve_with_dynamic_limits(listener, router, DynamicLimits { limits_now: move || limits, shortages }, stop).await;
}

/// Same as [`serve`], with limits that may change, and shortages of memory. The number of connections is fixed.
pub async fn serve_with_dynamic_limits(
    listener: TcpListener,
    router: Router,
    limits: DynamicLimits<impl Fn() -> ServerLimits>,
    stop: watch::Receiver<bool>,
) {
    let DynamicLimits { limits_now, mut shortages } = limits;
    let permits = Rc::new(Semaphore::new(limits_now().connections));
    let table = Rc::new(RefCell::new(ConnectionTable::new(shortages.shed_connections.clone())));
    let mut open = JoinSet::new();
    let accept = async |open: &mut JoinSet<()>| {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
                continue;
            };
            let permit = acquire_permit(&permits, &table).await;
            while open.try_join_next().is_some() {}
            let connection = OpenConnection::new(permit, &table);
            open.spawn_local(serve_connection(stream, router.clone(), limits_now(), connection, stop.clone()));
        }
    };
    let shed = async {
        loop {
            let shortage = shortages.next().await;
            table.borrow().shed(shortage);
        }
    };
    let mut stopping = stop.clone();
    tokio::select! {
        () = accept(&mut open) => {}
        () = shed => {}
        _ = stopping.wait_for(|stopping| *stopping) => {}
    }
    drop(listener);
    while open.join_next().await.is_some() {}
}

/// Serves one connection until it ends, is asked to give way, or the server stops.
async fn serve_connection(
    stream: TcpStream,
    router: Router,
    limits: ServerLimits,
    open: OpenConnection,
    mut stop: watch::Receiver<bool>,
) {
    let _ = stream.set_nodelay(true);
    let service = TowerToHyperService::new(router);
    let handle = open.handle.clone();
    let service = service_fn(move |mut request: Request<Incoming>| {
        let handle = handle.clone();
        handle.enter(Phase::Application);
        request.extensions_mut().insert(handle.clone());
        let response = service.call(request);
        async move {
            let response = response.await;
            handle.enter(Phase::Client);
            response
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_time)
        .max_buf_size(limits.head_bytes.max(MIN_BUFFER_BYTES))
        .max_headers(limits.headers)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    tokio::select! {
        _ = connection.as_mut() => return,
        () = open.handle.asked_to_close() => return,
        _ = stop.wait_for(|stopping| *stopping) => {}
        _ = tokio::time::sleep(limits.life) => {}
    }
    connection.as_mut().graceful_shutdown();
    let _ = tokio::time::timeout(limits.grace, connection).await;
}

/// Takes a permit for one connection. While there is none, connections of idle clients are asked to give way.
async fn acquire_permit(permits: &Rc<Semaphore>, table: &RefCell<ConnectionTable>) -> ConnectionPermit {
    if let Ok(permit) = permits.try_acquire() {
        permit.forget();
        return ConnectionPermit { permits: permits.clone() };
    }
    loop {
        table.borrow().shed_connection();
        if let Ok(Ok(permit)) = tokio::time::timeout(SHED_INTERVAL, permits.acquire()).await {
            permit.forget();
            return ConnectionPermit { permits: permits.clone() };
        }
    }
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

/// A connection in the table, taken out when dropped.
struct OpenConnection {
    handle: ConnectionHandle,
    table: Rc<RefCell<ConnectionTable>>,
    _permit: ConnectionPermit,
}

impl OpenConnection {
    fn new(permit: ConnectionPermit, table: &Rc<RefCell<ConnectionTable>>) -> OpenConnection {
        let handle = ConnectionHandle::default();
        table.borrow_mut().add(handle.clone());
        OpenConnection { handle, table: table.clone(), _permit: permit }
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.table.borrow_mut().remove(&self.handle);
    }
}
