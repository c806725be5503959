//! Beginning an instance: a place on a worker, an address, and an endpoint that listens once the
//! instance has started. The same nonce is told of the same instance again.

use crate::api::{Answer, Order};
use crate::instance::{Endpoint, serve};
use crate::record::Record;
use crate::state::{Emulator, RunningInstance, Started, worker_name, worker_number};
use axum::http::StatusCode;
use rand::RngExt;
use serde_json::{Value, json};
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::{Duration, Instant};
use tokio::net::TcpSocket;
use tokio::sync::mpsc;

const NONCE_BYTES: usize = 64;

fn told(started: &Started) -> Answer {
    let worker = worker_name(started.worker);
    (StatusCode::ACCEPTED, json!({"id": started.id, "address": started.address, "worker": worker}))
}

pub fn start_instance(emulator: &mut Emulator, record: &Record, orders: &mpsc::Sender<Order>, body: &Value) -> Answer {
    let service = body["service"].as_str().unwrap_or_default().to_owned();
    let memory_mb = body["memory_mb"].as_u64().unwrap_or(0) as u32;
    let Some(shape) = emulator.services.get(&service).cloned() else {
        return (StatusCode::BAD_REQUEST, json!({"fault": "no such service"}));
    };
    let nonce = body["nonce"].as_str().unwrap_or_default().to_owned();
    if nonce.is_empty() || nonce.len() > NONCE_BYTES {
        return (StatusCode::BAD_REQUEST, json!({"fault": "a nonce of 1 to 64 bytes is needed"}));
    }
    if let Some(started) = emulator.nonces.get(&(service.clone(), nonce.clone())) {
        return told(started);
    }
    let named = body["worker"].as_str().map(|name| worker_number(name).unwrap_or(usize::MAX));
    let Some(worker) = emulator.place(named, memory_mb) else {
        return (StatusCode::INSUFFICIENT_STORAGE, json!({"fault": "no worker has the memory"}));
    };
    // The port is taken now and listened on only when the instance has started.
    let bound = TcpSocket::new_v4().and_then(|socket| socket.bind(([127, 0, 0, 1], 0).into()).map(|()| socket));
    let Ok((socket, address)) = bound.and_then(|socket| socket.local_addr().map(|address| (socket, address))) else {
        return (StatusCode::SERVICE_UNAVAILABLE, json!({"fault": "no port"}));
    };
    emulator.begun += 1;
    let id = format!("i-{:x}-{:x}", emulator.settings.seed & 0xffff, emulator.begun);
    let wait = Duration::from_millis(shape.start_ms * emulator.dice.random_range(90..=115) / 100);
    let (disturbances, mut disturbance_inbox) = mpsc::channel(64);
    let alive = Arc::new(AtomicBool::new(true));
    let endpoint = Endpoint {
        id: id.clone(),
        service: service.clone(),
        shape,
        busy: Arc::default(),
        alive: alive.clone(),
        record: record.clone(),
        disturbances,
    };
    let (forward, ready, name) = (orders.clone(), orders.clone(), id.clone());
    let task = tokio::task::spawn_local(async move {
        tokio::time::sleep(wait).await;
        let Ok(listener) = socket.listen(1024) else { return };
        let _ = ready.send(Order::Ready { id: name }).await;
        tokio::join!(serve(endpoint, listener), async {
            while let Some(disturbance) = disturbance_inbox.recv().await {
                let _ = forward.send(Order::Disturbance(disturbance)).await;
            }
        });
    });
    let started = Started { id: id.clone(), address: address.to_string(), worker };
    let answer = told(&started);
    let held = RunningInstance {
        service: service.clone(),
        address: address.to_string(),
        worker,
        memory_mb,
        state: "starting",
        task: Some(task.abort_handle()),
        alive,
        asked: Instant::now(),
    };
    emulator.instances.insert(id, held);
    emulator.nonces.insert((service, nonce), started);
    answer
}
