//! An instance that is full turns a request away, and some time later sends that answer a second time, in the place
//! where the next answer is expected. The system has meanwhile sent the request again on the same connection.

use super::Clients;
use crate::Record;
use crate::deployment::{self, Deployment};
use crate::instances::{self, Instance, Next};
use crate::platform::{Function, Platform};
use crate::settings::{self, BOUNDS, Ports, Route};
use std::collections::BTreeMap;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

const FUNCTIONS: usize = 20;
const SLOTS: usize = 2;
/// How long a new connection holds a slot.
const HELD_BY_NEW_CONNECTION: Duration = Duration::from_millis(60);
/// Trouble as in the small site: share of the instances, share of their answers, and length; it comes several times.
const INSTANCES_IN_20: u64 = 12;
const ANSWERS_PER_SECOND_ANSWER: u64 = 34;
const TROUBLE_MS: u64 = 5000;
const TIMES: usize = 4;
const CALM_MS: u64 = 3000;
/// Every so many answers say that the connection closes.
const ANSWERS_PER_CLOSE: u64 = 5;

fn functions() -> Vec<Function> {
    let function = |number| Function { name: format!("fn-{number}"), slots: SLOTS, boot_ms: 300, memory_mb: 1024 };
    (0..FUNCTIONS).map(function).collect()
}

pub fn play(record: &Arc<Record>, trouble: bool) -> i32 {
    let ports = Ports::find();
    let begin = Arc::new(AtomicU64::new(u64::MAX));
    let begun = begin.clone();
    let copies = Arc::new(AtomicU64::new(0));
    let counted = copies.clone();
    let allowed: Arc<Vec<AtomicU64>> = Arc::new((0..4096).map(|_| AtomicU64::new(0)).collect());
    let behaviour = move |platform: &Platform, instance: &Instance, exchange: &mut instances::Exchange| {
        let now = platform.record.now_ms();
        let began = begun.load(Ordering::SeqCst);
        let in_trouble = trouble && now >= began && now < began.saturating_add(TROUBLE_MS);
        // A second answer that is due comes where the next answer is expected.
        if let Some(copy) = exchange.owed.take() {
            let id = exchange.request.header("Request-Id");
            platform.record.line(&format!("instance {} sends its second answer while it gets {id}", instance.id));
            exchange.connection.stream.write_all(&copy)?;
        }
        let held = Platform::count_new_connections(instance, exchange, HELD_BY_NEW_CONNECTION);
        let is_full = instance.running.load(Ordering::SeqCst) + held >= SLOTS;
        let spent = &allowed[instance.number as usize % 4096];
        let answers = instance.answers.load(Ordering::SeqCst);
        let may_copy = in_trouble
            && instance.number * 3 % 20 < INSTANCES_IN_20
            && answers / ANSWERS_PER_SECOND_ANSWER > spent.load(Ordering::SeqCst);
        if is_full && may_copy {
            platform.note_turned_away(instance, exchange.request);
            let answer = instances::encode_answer(exchange.request, "503 Full", &[("Not-Executed", "1")], b"");
            exchange.connection.stream.write_all(&answer)?;
            spent.store(answers / ANSWERS_PER_SECOND_ANSWER, Ordering::SeqCst);
            counted.fetch_add(1, Ordering::SeqCst);
            *exchange.owed = Some(answer);
            return Ok(Next::Done(true));
        }
        let closes = answers % ANSWERS_PER_CLOSE == 0;
        let headers: &[(&str, &str)] = if closes { &[("Connection", "close")] } else { &[] };
        platform.run_or_turn_away(instance, exchange, held, headers).map(Next::Done)
    };
    // Each worker has room for the instances of a few functions, one of each.
    let workers = (0..3).map(|number| (format!("w-{number}"), 7 * 1024)).collect();
    let platform = Platform::start(record, ports.network, ports.platform(), functions(), workers, Box::new(behaviour));
    let deployment = Deployment::start(record, ports, deployment::CORE, &platform.address, BOUNDS);
    let names: Vec<String> = functions().iter().map(|function| function.name.clone()).collect();
    let routes: Vec<Route> =
        names.iter().map(|name| Route { service: name, kind: "non_idempotent", attempts: 3 }).collect();
    if !deployment.configure(&settings::configuration(&routes, &functions())) {
        deployment.end();
        return 2;
    }
    let clients = Clients::new(&deployment, record);
    let mut turn = 0usize;
    let mut send = |for_ms: u64| {
        let end = record.now_ms() + for_ms;
        while record.now_ms() < end {
            // Two requests for the same function at once.
            for _ in 0..2 {
                clients.send(
                    turn % deployment::CORE,
                    "POST",
                    &names[turn / 2 % FUNCTIONS],
                    60 + turn as u64 * 37 % 200,
                );
                turn += 1;
            }
            thread::sleep(Duration::from_millis(20));
        }
    };
    send(6000);
    for _ in 0..TIMES {
        begin.store(record.now_ms(), Ordering::SeqCst);
        record.say("the trouble of the instances begins");
        send(TROUBLE_MS);
        record.say("the trouble of the instances is over");
        send(CALM_MS);
    }
    clients.finish();
    deployment.end();
    record.say(&format!("answers: {}", clients.counts()));
    record.say(&format!("second answers: {}", copies.load(Ordering::SeqCst)));
    let mut runs: BTreeMap<String, u32> = BTreeMap::new();
    platform.runs.lock().unwrap().iter().for_each(|run| *runs.entry(run.request_id.clone()).or_insert(0) += 1);
    let answers = clients.answers.lock().unwrap();
    let served = answers.values().filter(|status| **status == 200).count();
    let mut broken = 0;
    for (id, count) in &runs {
        if *count > 1 {
            record.say(&format!("TWICE: {id} ran {count} times"));
            broken += 1;
        }
        if let Some(status @ (429 | 503 | 408 | 421)) = answers.get(id) {
            record.say(&format!("REFUSED: {id} was answered {status}, yet it ran"));
            broken += 1;
        }
    }
    match () {
        _ if served * 4 < answers.len() => 2,
        _ if broken > 0 => 1,
        _ => 0,
    }
}
