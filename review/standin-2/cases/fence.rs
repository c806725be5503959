//! Machines are stopped and started again in turn while a worker drains. The platform looks at who sends which fence.

use super::Clients;
use crate::Record;
use crate::deployment::{self, BOUNDS, Deployment, Ports, Route, SIGTERM};
use crate::platform::{Function, Instance, Next, Platform};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

const FUNCTIONS: usize = 30;
const MACHINES: usize = 6;
const WORKERS: usize = 10;
/// Time between two machines of the planned restart.
const GAP: Duration = Duration::from_millis(4000);
/// Time that draining instances go on serving.
const DRAIN: Duration = Duration::from_millis(5000);
/// Bounds of the deployments with duties, where they differ from the small ones.
const DUTIES: &str = "bounds.drain_ms=4000\nbounds.fencing=true\nbounds.lease_ms=3000\nbounds.thaw_slack_ms=300\n";

fn functions() -> Vec<Function> {
    let function = |number| Function { name: format!("fn-{number}"), slots: 2, boot_ms: 700, memory_mb: 256 };
    (0..FUNCTIONS).map(function).collect()
}

pub fn play(record: &Arc<Record>, trouble: bool) -> i32 {
    let ports = Ports::find();
    let behaviour = |_: &Platform, _: &Instance, _: &mut crate::platform::Exchange| Ok(Next::Usual);
    let workers = (0..WORKERS).map(|number| (format!("w-{number}"), 16_000)).collect();
    let platform = Platform::start(record, ports.network, ports.platform(), functions(), workers, Box::new(behaviour));
    let bounds = format!("{}{DUTIES}", BOUNDS.replace("bounds.drain_ms=3000\n", ""));
    let deployment = Deployment::start(record, ports, MACHINES, &platform.address, &bounds);
    let names: Vec<String> = functions().iter().map(|function| function.name.clone()).collect();
    let routes: Vec<Route> =
        names.iter().map(|name| Route { service: name, kind: "idempotent", attempts: 2 }).collect();
    if !deployment.configure(&deployment::configuration(&routes, &functions())) {
        deployment.end();
        return 2;
    }
    let clients = Clients::new(&deployment, record);
    let over = Arc::new(AtomicBool::new(false));
    let traffic = {
        let (clients, deployment, names, over) = (clients.clone(), deployment.clone(), names.clone(), over.clone());
        let ready: Vec<Arc<AtomicBool>> = (0..MACHINES).map(|_| Arc::new(AtomicBool::new(true))).collect();
        for number in 0..MACHINES {
            let (deployment, over, ready) = (deployment.clone(), over.clone(), ready[number].clone());
            thread::spawn(move || {
                while !over.load(Ordering::SeqCst) {
                    ready.store(deployment.is_ready(number), Ordering::SeqCst);
                    thread::sleep(Duration::from_millis(300));
                }
            });
        }
        thread::spawn(move || {
            let mut turn = 0usize;
            while !over.load(Ordering::SeqCst) {
                turn += 1;
                let machine = (0..MACHINES).map(|next| (turn + next) % MACHINES);
                let Some(machine) = machine.into_iter().find(|number| ready[*number].load(Ordering::SeqCst)) else {
                    thread::sleep(Duration::from_millis(50));
                    continue;
                };
                clients.send(machine, "GET", &names[turn % FUNCTIONS], 100 + (turn as u64 * 37) % 260);
                thread::sleep(Duration::from_millis(4));
            }
        })
    };
    thread::sleep(Duration::from_secs(6));
    let mut worker = 0;
    for round in 0..2 {
        for number in 0..MACHINES {
            if trouble {
                deployment.signal(number, Some("router"), SIGTERM);
            }
            let wait = Duration::from_millis(200 * (number + round * MACHINES) as u64);
            thread::sleep(wait);
            platform.drain_worker(&format!("w-{}", worker % WORKERS), DRAIN);
            worker += 1;
            thread::sleep(GAP - wait);
        }
        record.line(&format!("round {round} is over"));
    }
    thread::sleep(Duration::from_secs(2));
    over.store(true, Ordering::SeqCst);
    let _ = traffic.join();
    clients.finish();
    deployment.end();
    record.say(&format!("answers: {}", clients.counts()));
    let calls = platform.calls.lock().unwrap();
    let mut holders: BTreeMap<(&str, u64), BTreeSet<&str>> = BTreeMap::new();
    for call in calls.iter() {
        holders.entry((&call.service, call.fence)).or_default().insert(&call.holder);
    }
    let shared: Vec<_> = holders.iter().filter(|(_, holders)| holders.len() > 1).collect();
    for ((service, fence), holders) in &shared {
        record.say(&format!("fence {fence} for {service} came from {holders:?}:"));
        for call in calls.iter().filter(|call| call.service == *service && call.fence == *fence) {
            record.say(&format!("    at {} {} by {}", call.at_ms, call.what, call.holder));
        }
    }
    record.say(&format!("starts and stops: {}, fences shared by two holders: {}", calls.len(), shared.len()));
    match () {
        _ if calls.is_empty() => 2,
        _ if !shared.is_empty() => 1,
        _ => 0,
    }
}
