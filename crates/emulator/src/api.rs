//! The platform's API, and the task that owns the emulator's state: the handlers send it messages.

use crate::instance::{DisturbanceRequest, draw_disturbance, unix_time_ms};
use crate::record::Record;
use crate::services::load;
use crate::starting::start_instance;
use crate::state::{Emulator, EmulatorSettings, Misbehaviour};
use axum::extract::{Path, State};
use axum::http::StatusCode;
use axum::routing::{get, post};
use axum::{Json, Router};
use rand::SeedableRng;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};

/// Status and body of an API answer.
pub type Answer = (StatusCode, Value);

/// Message to the task that owns the state.
pub enum EmulatorMessage {
    /// An API call.
    Call { operation: &'static str, id: String, body: Value, reply: oneshot::Sender<Answer> },
    /// An instance asks whether it shall misbehave on the next task.
    DrawDisturbance(DisturbanceRequest),
    /// An instance has started.
    Ready { id: String },
}

/// Serves the API until the process ends.
pub fn run(settings: EmulatorSettings) -> Result<(), String> {
    let services = load(&settings.services)?;
    let record = Record::open(&settings.record)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(|f| f.to_string())?;
    tokio::task::LocalSet::new().block_on(&runtime, async move {
        let listener = TcpListener::bind(&settings.address)
            .await
            .map_err(|error| format!("cannot listen on {}: {error}", settings.address))?;
        let (messages, inbox) = mpsc::channel(4096);
        let router = Router::new()
            .route("/v1/instances", get(list).post(start))
            .route("/v1/instances/{id}", axum::routing::delete(stop))
            .route("/v1/mischief", post(mischief))
            .route("/v1/workers", get(workers))
            .route("/v1/workers/{id}/{what}", post(worker))
            .route("/v1/counts", get(counts))
            .with_state(messages.clone());
        let emulator = Emulator {
            drained: vec![false; settings.workers as usize],
            rng: rand_chacha::ChaCha8Rng::seed_from_u64(settings.seed),
            settings,
            services,
            instances: BTreeMap::new(),
            nonces: BTreeMap::new(),
            started_count: 0,
            snapshots: VecDeque::new(),
            recent_calls: VecDeque::new(),
            mischief: Misbehaviour::default(),
            refused_calls: 0,
            announced_leaving: BTreeSet::new(),
            instance_seconds: 0.0,
        };
        tokio::task::spawn_local(run_emulator(emulator, record, messages, inbox));
        axum::serve(listener, router).await.map_err(|error| error.to_string())
    })
}

async fn forward_call(
    messages: &mpsc::Sender<EmulatorMessage>,
    operation: &'static str,
    id: String,
    body: Value,
) -> (StatusCode, Json<Value>) {
    let (reply, answer) = oneshot::channel();
    let _ = messages.send(EmulatorMessage::Call { operation, id, body, reply }).await;
    match answer.await {
        Ok((status, value)) => (status, Json(value)),
        Err(_) => {
            // A hung call, ended by the timeout of the caller.
            tokio::time::sleep(Duration::from_secs(20)).await;
            (StatusCode::GATEWAY_TIMEOUT, Json(json!({})))
        }
    }
}

/// Channel to the task that owns the state, as an extractor.
type MessageSender = State<mpsc::Sender<EmulatorMessage>>;

async fn list(State(messages): MessageSender) -> (StatusCode, Json<Value>) {
    forward_call(&messages, "list", String::new(), Value::Null).await
}
async fn workers(State(messages): MessageSender) -> (StatusCode, Json<Value>) {
    forward_call(&messages, "workers", String::new(), Value::Null).await
}
async fn start(State(messages): MessageSender, Json(body): Json<Value>) -> (StatusCode, Json<Value>) {
    forward_call(&messages, "start", String::new(), body).await
}
async fn stop(State(messages): MessageSender, Path(id): Path<String>) -> (StatusCode, Json<Value>) {
    forward_call(&messages, "stop", id, Value::Null).await
}
async fn mischief(State(messages): MessageSender, Json(body): Json<Value>) -> (StatusCode, Json<Value>) {
    forward_call(&messages, "mischief", String::new(), body).await
}
async fn worker(
    State(messages): MessageSender,
    Path((id, operation)): Path<(String, String)>,
) -> (StatusCode, Json<Value>) {
    forward_call(&messages, "worker", id, json!(operation)).await
}
async fn counts(State(messages): MessageSender) -> (StatusCode, Json<Value>) {
    forward_call(&messages, "counts", String::new(), Value::Null).await
}

async fn run_emulator(
    mut emulator: Emulator,
    record: Record,
    messages: mpsc::Sender<EmulatorMessage>,
    mut inbox: mpsc::Receiver<EmulatorMessage>,
) {
    let mut ticks = tokio::time::interval(Duration::from_millis(200));
    loop {
        tokio::select! {
            _ = ticks.tick() => {
                let (list, workers) = (emulator.instance_list(), emulator.workers());
                emulator.snapshots.push_back((Instant::now(), list, workers));
            }
            message = inbox.recv() => match message {
                Some(EmulatorMessage::DrawDisturbance(DisturbanceRequest::Disturbance(reply))) => drop(reply.send(draw_disturbance(&mut emulator))),
                Some(EmulatorMessage::Ready { id }) => {
                    if let Some(instance) = emulator.instances.get_mut(&id)
                        && instance.state == "starting" {
                        instance.state = "running";
                    }
                }
                Some(EmulatorMessage::Call { operation, id, body, reply }) => {
                    let (hang_share, drop_share) = (emulator.mischief.hang_calls, emulator.mischief.drop_receipts);
                    let is_start_or_stop = operation == "start" || operation == "stop";
                    if is_start_or_stop && emulator.draw_chance(hang_share) {
                        continue;
                    }
                    let answer = execute_call(&mut emulator, &record, &messages, operation, &id, &body);
                    if !(is_start_or_stop && emulator.draw_chance(drop_share)) {
                        let _ = reply.send(answer);
                    }
                }
                None => return,
            },
        }
    }
}

fn execute_call(
    emulator: &mut Emulator,
    record: &Record,
    messages: &mpsc::Sender<EmulatorMessage>,
    operation: &str,
    id: &str,
    body: &Value,
) -> Answer {
    match operation {
        "list" => {
            let record_leaving = |id: &str| record.write(json!({"at": unix_time_ms(), "what": "told", "instance": id}));
            (StatusCode::OK, emulator.lagged_instances(record_leaving))
        }
        "start" | "stop" if !emulator.admit_call() => {
            (StatusCode::TOO_MANY_REQUESTS, json!({"fault": "too many calls"}))
        }
        "workers" => (StatusCode::OK, emulator.lagged_workers()),
        "start" => start_instance(emulator, record, messages, body),
        "stop" => match emulator.remove(id) {
            true => (StatusCode::ACCEPTED, json!({"id": id})),
            false => (StatusCode::NOT_FOUND, json!({"fault": "no such instance"})),
        },
        "mischief" => {
            let share = |name: &str| body[name].as_f64().unwrap_or(0.0);
            emulator.mischief = Misbehaviour {
                lose: share("lose"),
                garbage: share("garbage"),
                cut: share("cut"),
                turn_away: share("turn_away"),
                hang_calls: share("hang_calls"),
                drop_receipts: share("drop_receipts"),
            };
            (StatusCode::OK, json!({}))
        }
        "worker" => {
            let number: usize = id.parse().unwrap_or(usize::MAX);
            if number >= emulator.drained.len() {
                return (StatusCode::NOT_FOUND, json!({}));
            }
            let affected_instances: Vec<String> = emulator
                .instances
                .iter()
                .filter(|(_, instance)| instance.worker == number)
                .map(|(id, _)| id.clone())
                .collect();
            match body.as_str() {
                Some("crash") => affected_instances.iter().for_each(|id| _ = emulator.remove(id)),
                Some("drain") => {
                    emulator.drained[number] = true;
                    for id in &affected_instances {
                        if let Some(instance) = emulator.instances.get_mut(id) {
                            instance.state = "leaving";
                        }
                        record.write(json!({"at": unix_time_ms(), "what": "leaving", "instance": id}));
                    }
                }
                _ => emulator.drained[number] = false,
            }
            record.write(json!({"at": unix_time_ms(), "what": "worker", "worker": number, "order": body}));
            (StatusCode::OK, json!({"instances": affected_instances.len()}))
        }
        _ => {
            let running: f64 =
                emulator.instances.values().map(|instance| instance.requested_at.elapsed().as_secs_f64()).sum();
            let counts = json!({
                "instances": emulator.instances.len(), "refused_calls": emulator.refused_calls,
                "instance_seconds": emulator.instance_seconds + running,
            });
            (StatusCode::OK, counts)
        }
    }
}
