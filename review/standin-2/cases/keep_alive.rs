//! Instances in trouble spoil a few of their answers: the keep-alive time that one announces is a huge number.

use super::Clients;
use crate::Record;
use crate::deployment::{self, Deployment};
use crate::instances::{Instance, Next};
use crate::platform::{Function, Platform};
use crate::settings::{self, BOUNDS, Ports, Route};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

const FUNCTIONS: usize = 60;
/// Trouble as in the small site: share of the instances, share of their answers, and length; it comes several times.
const INSTANCES_IN_20: u64 = 7;
const ANSWERS_PER_SPOILT: u64 = 50;
const TROUBLE_MS: u64 = 5500;
const TIMES: usize = 3;
const CALM_MS: u64 = 6000;
/// Bounds of the rule.
const ENDS: usize = 3;
const MACHINES: usize = 2;

fn functions() -> Vec<Function> {
    let function = |number| Function { name: format!("fn-{number}"), slots: 1, boot_ms: 300, memory_mb: 128 };
    (0..FUNCTIONS).map(function).collect()
}

pub fn play(record: &Arc<Record>, trouble: bool) -> i32 {
    let ports = Ports::find();
    let begin = Arc::new(AtomicU64::new(u64::MAX));
    let begun = begin.clone();
    let timeout = if trouble { "timeout=9223372036854775807" } else { "timeout=5" };
    let spoilt = Arc::new(AtomicU64::new(0));
    let counted = spoilt.clone();
    let in_trouble_answers = AtomicU64::new(0);
    let round = Arc::new(AtomicU64::new(0));
    let rounds = round.clone();
    let behaviour = move |platform: &Platform, instance: &Instance, exchange: &mut crate::instances::Exchange| {
        let now = platform.record.now_ms();
        let began = begun.load(Ordering::SeqCst);
        let in_trouble = now >= began && now < began.saturating_add(TROUBLE_MS);
        let is_one_of_them =
            (instance.number * 3 + rounds.load(Ordering::SeqCst) * INSTANCES_IN_20) % 20 < INSTANCES_IN_20;
        let spoils = in_trouble
            && is_one_of_them
            && in_trouble_answers.fetch_add(1, Ordering::SeqCst) % ANSWERS_PER_SPOILT == ANSWERS_PER_SPOILT - 1;
        if spoils {
            counted.fetch_add(1, Ordering::SeqCst);
            let id = exchange.request.header("Request-Id");
            platform.record.line(&format!("instance {} answers {id} with Keep-Alive: {timeout}", instance.id));
        }
        let keep_alive = if spoils { timeout } else { "timeout=5" };
        platform.run_or_turn_away(instance, exchange, 0, &[("Keep-Alive", keep_alive)]).map(Next::Done)
    };
    let workers = (0..3).map(|number| (format!("w-{number}"), 16_000)).collect();
    let platform = Platform::start(record, ports.network, ports.platform(), functions(), workers, Box::new(behaviour));
    let deployment = Deployment::start(record, ports, deployment::CORE, &platform.address, BOUNDS);
    let names: Vec<String> = functions().iter().map(|function| function.name.clone()).collect();
    let routes: Vec<Route> =
        names.iter().map(|name| Route { service: name, kind: "idempotent", attempts: 2 }).collect();
    if !deployment.configure(&settings::configuration(&routes, &functions())) {
        deployment.end();
        return 2;
    }
    let clients = Clients::new(&deployment, record);
    let send = |for_ms: u64| {
        let end = record.now_ms() + for_ms;
        let mut turn = 0;
        while record.now_ms() < end {
            clients.send(turn / 7 % deployment::CORE, "GET", &names[turn % FUNCTIONS], 20);
            turn += 1;
            thread::sleep(Duration::from_millis(4));
        }
    };
    send(5000);
    let warm = clients.answers.lock().unwrap().values().any(|status| *status == 200);
    for time in 0..TIMES {
        round.store(time as u64, Ordering::SeqCst);
        begin.store(record.now_ms(), Ordering::SeqCst);
        record.say("the trouble of the instances begins");
        send(TROUBLE_MS);
        record.say("the trouble of the instances is over");
        send(CALM_MS);
    }
    clients.finish();
    deployment.end();
    record.say(&format!("answers: {}", clients.counts()));
    record.say(&format!("answers with the other keep-alive time: {}", spoilt.load(Ordering::SeqCst)));
    let ends = deployment.own_ends.lock().unwrap();
    let machines: BTreeSet<usize> = ends.iter().map(|(_, machine, ..)| *machine).collect();
    record.say(&format!("processes that ended by themselves: {} on {} machines", ends.len(), machines.len()));
    match () {
        _ if !warm || spoilt.load(Ordering::SeqCst) == 0 => 2,
        _ if ends.len() >= ENDS && machines.len() >= MACHINES => 1,
        _ => 0,
    }
}
