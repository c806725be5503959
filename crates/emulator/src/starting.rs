//! Start of an instance: choice of a worker, an address, and an endpoint that listens once the instance has
//! started. A repeated call with the same nonce returns the same instance.

use crate::api::{Answer, EmulatorMessage};
use crate::instance::{Endpoint, serve};
use crate::record::Record;
use crate::state::{Emulator, Instance, Started, worker_name, worker_number};
use axum::http::StatusCode;
use rand::RngExt;
use serde_json::{Value, json};
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::{Duration, Instant};
use tokio::net::TcpSocket;
use tokio::sync::mpsc;

const MAX_NONCE_BYTES: usize = 64;

fn start_answer(started: &Started) -> Answer {
    let worker = worker_name(started.worker);
    (StatusCode::ACCEPTED, json!({"id": started.id, "address": started.address, "worker": worker}))
}

/// Starts an instance and returns its id, address and worker at once.
pub fn start_instance(
    emulator: &mut Emulator,
    record: &Record,
    messages: &mpsc::Sender<EmulatorMessage>,
    body: &Value,
) -> Answer {
    let service = body["service"].as_str().unwrap_or_default().to_owned();
    let memory_mb = body["memory_mb"].as_u64().unwrap_or(0) as u32;
    let Some(profile) = emulator.services.get(&service).cloned() else {
        return (StatusCode::BAD_REQUEST, json!({"fault": "no such service"}));
    };
    let nonce = body["nonce"].as_str().unwrap_or_default().to_owned();
    if nonce.is_empty() || nonce.len() > MAX_NONCE_BYTES {
        return (StatusCode::BAD_REQUEST, json!({"fault": "a nonce of 1 to 64 bytes is needed"}));
    }
    if let Some(started) = emulator.nonces.get(&(service.clone(), nonce.clone())) {
        return start_answer(started);
    }
    let requested_worker = body["worker"].as_str().map(|name| worker_number(name).unwrap_or(usize::MAX));
    let Some(worker) = emulator.choose_worker(requested_worker, memory_mb) else {
        return (StatusCode::INSUFFICIENT_STORAGE, json!({"fault": "no worker has the memory"}));
    };
    // The port is bound now, but listened on only when the instance has started.
    let bound_socket = TcpSocket::new_v4().and_then(|socket| socket.bind(([127, 0, 0, 1], 0).into()).map(|()| socket));
    let Ok((socket, address)) = bound_socket.and_then(|socket| socket.local_addr().map(|address| (socket, address)))
    else {
        return (StatusCode::SERVICE_UNAVAILABLE, json!({"fault": "no port"}));
    };
    emulator.started_count += 1;
    let id = format!("i-{:x}-{:x}", emulator.settings.seed & 0xffff, emulator.started_count);
    let wait = Duration::from_millis(profile.start_ms * emulator.rng.random_range(90..=115) / 100);
    let (disturbances, mut disturbance_inbox) = mpsc::channel(64);
    let alive = Arc::new(AtomicBool::new(true));
    let endpoint = Endpoint {
        id: id.clone(),
        service: service.clone(),
        profile,
        busy: Arc::default(),
        alive: alive.clone(),
        record: record.clone(),
        disturbances,
    };
    let (forward, ready, name) = (messages.clone(), messages.clone(), id.clone());
    let task = tokio::task::spawn_local(async move {
        tokio::time::sleep(wait).await;
        let Ok(listener) = socket.listen(1024) else { return };
        let _ = ready.send(EmulatorMessage::Ready { id: name }).await;
        tokio::join!(serve(endpoint, listener), async {
            while let Some(disturbance) = disturbance_inbox.recv().await {
                let _ = forward.send(EmulatorMessage::DrawDisturbance(disturbance)).await;
            }
        });
    });
    let started = Started { id: id.clone(), address: address.to_string(), worker };
    let answer = start_answer(&started);
    let instance = Instance {
        service: service.clone(),
        address: address.to_string(),
        worker,
        memory_mb,
        state: "starting",
        task: Some(task.abort_handle()),
        alive,
        requested_at: Instant::now(),
    };
    emulator.instances.insert(id, instance);
    emulator.nonces.insert((service, nonce), started);
    answer
}
