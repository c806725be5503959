//! The platform's API and the emulator's owner: one thread holds the state, handlers send it asks.

use crate::instance::{Ask, draw, wall_ms};
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

pub type Answer = (StatusCode, Value);

pub enum Order {
    Call { what: &'static str, id: String, body: Value, reply: oneshot::Sender<Answer> },
    Disturbance(Ask),
    Ready { id: String },
}

pub fn run(settings: EmulatorSettings) -> Result<(), String> {
    let services = load(&settings.services)?;
    let record = Record::open(&settings.record)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(|f| f.to_string())?;
    tokio::task::LocalSet::new().block_on(&runtime, async move {
        let listener = TcpListener::bind(&settings.address)
            .await
            .map_err(|error| format!("cannot listen on {}: {error}", settings.address))?;
        let (orders, inbox) = mpsc::channel(4096);
        let router = Router::new()
            .route("/v1/instances", get(list).post(start))
            .route("/v1/instances/{id}", axum::routing::delete(stop))
            .route("/v1/mischief", post(mischief))
            .route("/v1/workers", get(workers))
            .route("/v1/workers/{id}/{what}", post(worker))
            .route("/v1/counts", get(counts))
            .with_state(orders.clone());
        let emulator = Emulator {
            drained: vec![false; settings.workers as usize],
            dice: rand_chacha::ChaCha8Rng::seed_from_u64(settings.seed),
            settings,
            services,
            instances: BTreeMap::new(),
            nonces: BTreeMap::new(),
            begun: 0,
            shown: VecDeque::new(),
            calls: VecDeque::new(),
            mischief: Misbehaviour::default(),
            refused: 0,
            told: BTreeSet::new(),
            instance_seconds: 0.0,
        };
        tokio::task::spawn_local(own(emulator, record, orders, inbox));
        axum::serve(listener, router).await.map_err(|error| error.to_string())
    })
}

async fn forward_order(
    orders: &mpsc::Sender<Order>,
    what: &'static str,
    id: String,
    body: Value,
) -> (StatusCode, Json<Value>) {
    let (reply, told) = oneshot::channel();
    let _ = orders.send(Order::Call { what, id, body, reply }).await;
    match told.await {
        Ok((status, value)) => (status, Json(value)),
        Err(_) => {
            // A hung call: the caller's own limit ends it.
            tokio::time::sleep(Duration::from_secs(20)).await;
            (StatusCode::GATEWAY_TIMEOUT, Json(json!({})))
        }
    }
}

type Orders = State<mpsc::Sender<Order>>;

async fn list(State(orders): Orders) -> (StatusCode, Json<Value>) {
    forward_order(&orders, "list", String::new(), Value::Null).await
}
async fn workers(State(orders): Orders) -> (StatusCode, Json<Value>) {
    forward_order(&orders, "workers", String::new(), Value::Null).await
}
async fn start(State(orders): Orders, Json(body): Json<Value>) -> (StatusCode, Json<Value>) {
    forward_order(&orders, "start", String::new(), body).await
}
async fn stop(State(orders): Orders, Path(id): Path<String>) -> (StatusCode, Json<Value>) {
    forward_order(&orders, "stop", id, Value::Null).await
}
async fn mischief(State(orders): Orders, Json(body): Json<Value>) -> (StatusCode, Json<Value>) {
    forward_order(&orders, "mischief", String::new(), body).await
}
async fn worker(State(orders): Orders, Path((id, what)): Path<(String, String)>) -> (StatusCode, Json<Value>) {
    forward_order(&orders, "worker", id, json!(what)).await
}
async fn counts(State(orders): Orders) -> (StatusCode, Json<Value>) {
    forward_order(&orders, "counts", String::new(), Value::Null).await
}

async fn own(mut emulator: Emulator, record: Record, orders: mpsc::Sender<Order>, mut inbox: mpsc::Receiver<Order>) {
    let mut ticks = tokio::time::interval(Duration::from_millis(200));
    loop {
        tokio::select! {
            _ = ticks.tick() => {
                let (list, workers) = (emulator.listing(), emulator.workers());
                emulator.shown.push_back((Instant::now(), list, workers));
            }
            order = inbox.recv() => match order {
                Some(Order::Disturbance(Ask::Disturbance(reply))) => drop(reply.send(draw(&mut emulator))),
                Some(Order::Ready { id }) => {
                    if let Some(held) = emulator.instances.get_mut(&id)
                        && held.state == "starting" {
                        held.state = "running";
                    }
                }
                Some(Order::Call { what, id, body, reply }) => {
                    let (hang, lost) = (emulator.mischief.hang_calls, emulator.mischief.drop_receipts);
                    let calls = what == "start" || what == "stop";
                    if calls && emulator.chance(hang) {
                        continue;
                    }
                    let answer = execute_order(&mut emulator, &record, &orders, what, &id, &body);
                    if !(calls && emulator.chance(lost)) {
                        let _ = reply.send(answer);
                    }
                }
                None => return,
            },
        }
    }
}

fn execute_order(
    emulator: &mut Emulator,
    record: &Record,
    orders: &mpsc::Sender<Order>,
    what: &str,
    id: &str,
    body: &Value,
) -> Answer {
    match what {
        "list" => {
            let tell = |id: &str| record.write(json!({"at": wall_ms(), "what": "told", "instance": id}));
            (StatusCode::OK, emulator.late_listing(tell))
        }
        "start" | "stop" if !emulator.admit_call() => {
            (StatusCode::TOO_MANY_REQUESTS, json!({"fault": "too many calls"}))
        }
        "workers" => (StatusCode::OK, emulator.late_workers()),
        "start" => start_instance(emulator, record, orders, body),
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
            let on_it: Vec<String> =
                emulator.instances.iter().filter(|(_, held)| held.worker == number).map(|(id, _)| id.clone()).collect();
            match body.as_str() {
                Some("crash") => on_it.iter().for_each(|id| _ = emulator.remove(id)),
                Some("drain") => {
                    emulator.drained[number] = true;
                    for id in &on_it {
                        if let Some(held) = emulator.instances.get_mut(id) {
                            held.state = "leaving";
                        }
                        record.write(json!({"at": wall_ms(), "what": "leaving", "instance": id}));
                    }
                }
                _ => emulator.drained[number] = false,
            }
            record.write(json!({"at": wall_ms(), "what": "worker", "worker": number, "order": body}));
            (StatusCode::OK, json!({"instances": on_it.len()}))
        }
        _ => {
            let running: f64 = emulator.instances.values().map(|held| held.asked.elapsed().as_secs_f64()).sum();
            let told = json!({
                "instances": emulator.instances.len(), "refused_calls": emulator.refused,
                "instance_seconds": emulator.instance_seconds + running,
            });
            (StatusCode::OK, told)
        }
    }
}
