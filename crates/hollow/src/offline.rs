//! Measurements without sockets: route tables, owners, plans, an owner's passes, the platform's list. Each point
//! is taken in a process of its own, so that its memory is its own.

use crate::line::{Order, What};
use crate::offline_owner::{lists, passes};
use crate::offline_tasks::tasks;
use crate::proc::Usage;
use crate::report::tell;
use crate::slopes::Series;
use crate::tally::round;
use crate::workload::Workload;
use bindings::{Function, RouteTable};
use leases::{Member, Membership};
use rand::{RngExt, SeedableRng};
use scaler::{Optimizer, Sample};
use serde_json::{Map, Value, json};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};
use wire::Capacity;

const STEP: Duration = Duration::from_secs(15);
const STEPS: usize = 960;
const SOLVE: Duration = Duration::from_secs(1);

pub fn resident_mb() -> f64 {
    Usage::of(std::process::id()).resident_mb
}

/// The middle one of several timings of the same work, in milliseconds.
pub fn timed(times: usize, mut work: impl FnMut()) -> f64 {
    let mut all: Vec<f64> = (0..times)
        .map(|_| {
            let begun = Instant::now();
            work();
            begun.elapsed().as_secs_f64() * 1000.0
        })
        .collect();
    all.sort_by(f64::total_cmp);
    all[all.len() / 2]
}

fn driver(order: &Order) -> (&'static str, &'static str, &[usize]) {
    match order.what {
        What::Homes => ("members", "nodes", &order.nodes),
        What::Plans => ("awake functions", "awake", &order.awake),
        What::Passes => ("open desks", "functions", &order.functions),
        What::Tasks => ("bytes of a body", "bytes", &order.bytes),
        What::Lists => ("instances", "instances", &order.instances),
        _ => ("functions", "functions", &order.functions),
    }
}

pub fn offline(order: &Order) -> Result<(), String> {
    if order.one {
        let told = match order.what {
            What::Homes => owners(order),
            What::Plans => plans(order),
            What::Passes => passes(order),
            What::Lists => lists(order),
            What::Tasks => tasks(order),
            _ => tables(order),
        };
        println!("{told}");
        return Ok(());
    }
    let (what, flag, sizes) = driver(order);
    let mut points = Vec::new();
    for size in sizes {
        let mut told = again(order, flag, *size)?;
        told["size"] = (*size).into();
        points.push(told);
    }
    let names: Vec<String> = points[0].as_object().map(|o| o.keys().cloned().collect()).unwrap_or_default();
    let read = |name: &String| Series {
        name: name.clone(),
        unit: String::new(),
        points: points.iter().filter_map(|p| Some((p["size"].as_f64()?, p[name].as_f64()?))).collect(),
    };
    let series: Vec<Series> = names.iter().filter(|name| *name != "size").map(read).collect();
    tell(&format!("against {what}, seed {}", order.seed), &points, &series, order.out.as_deref())
}

/// This program once more, for one size alone.
fn again(order: &Order, flag: &str, size: usize) -> Result<Value, String> {
    let itself = std::env::current_exe().map_err(|error| error.to_string())?;
    let word = format!("{:?}", order.what).to_lowercase();
    let mut command = Command::new(itself);
    command.args([&word, "--one", "--seed", &order.seed.to_string()]);
    let own = [("nodes", &order.nodes), ("functions", &order.functions), ("awake", &order.awake)];
    for (name, list) in own.into_iter().filter(|(name, _)| *name != flag) {
        command.args([format!("--{name}"), list[0].to_string()]);
    }
    command.args([format!("--{flag}"), size.to_string()]).stdin(Stdio::null()).stderr(Stdio::inherit());
    let output = command.output().map_err(|error| error.to_string())?;
    serde_json::from_slice(&output.stdout).map_err(|error| format!("{word} of {size}: {error}"))
}

fn tables(order: &Order) -> Value {
    let workload = Workload { functions: order.functions[0], awake: 0, instances: 0 };
    let pairs = workload.pairs();
    let bytes: usize = pairs.iter().map(|(key, value)| key.len() + value.len()).sum();
    let each = || pairs.iter().map(|(key, value)| (key.as_str(), value.as_slice()));
    let before = resident_mb();
    let routes = RouteTable::build(1, 1, each());
    let held = resident_mb() - before;
    let build = timed(5, || drop(RouteTable::build(1, 1, each())));
    let check = timed(5, || drop(bindings::check(each())));
    json!({
        "configuration bytes": bytes, "book build ms": round(build), "whole check ms": round(check),
        "book MB": round(held), "functions read": routes.functions().count(),
    })
}

pub fn membership(members: usize) -> Membership {
    let line = |n: usize| Member {
        id: leases::mix(&[&n.to_le_bytes()]),
        incarnation: 1,
        address: format!("10.0.{}.{}:7000", n / 250, n % 250).as_str().into(),
        zone: format!("z{}", n % 5).as_str().into(),
        ops: format!("10.0.{}.{}:7001", n / 250, n % 250).as_str().into(),
        leaving: 0,
        hashing: leases::HASHING,
        capacity: Capacity::default(),
    };
    Membership { number: 1, members: (0..members).map(line).collect::<Vec<_>>().into() }
}

fn owners(order: &Order) -> Value {
    let (members, functions) = (order.nodes[0], order.functions[0]);
    let membership = membership(members);
    let workload = Workload { functions, awake: 0, instances: 0 };
    let names: Vec<String> = (0..functions).map(|n| workload.name(n)).collect();
    let mut mine = 0;
    let all = timed(5, || {
        mine = names.iter().filter(|name| membership.owner(name) == Some(membership.members.as_slice()[0].id)).count()
    });
    let lines: Vec<Vec<u8>> = membership.members.iter().map(wire::to_bytes).collect();
    let read = timed(25, || lines.iter().for_each(|raw| drop(wire::from_bytes::<Member>(raw))));
    json!({
        "reading the members us": round(read * 1000.0),
        "one lookup us": round(all * 1000.0 / functions as f64), "lookups of all functions ms": round(all),
        "roster bytes": wire::to_bytes(&membership).len(), "functions homed at one": mine,
    })
}

/// What an optimizer's host does in one step for so many functions awake, each with a full window.
fn plans(order: &Order) -> Value {
    let awake = order.awake[0];
    let workload = Workload { functions: awake, awake: 0, instances: 0 };
    let pairs = workload.pairs();
    let routes = RouteTable::build(1, 1, pairs.iter().map(|(key, value)| (key.as_str(), value.as_slice())));
    let functions: Vec<Function> = routes.functions().cloned().collect();
    let mut dice = rand_chacha::ChaCha8Rng::seed_from_u64(order.seed);
    let before = resident_mb();
    let mut optimizer = Optimizer::new(STEP, 1e9);
    let mut now = Duration::ZERO;
    let mut told = Map::new();
    for step in 0..STEPS {
        now += STEP;
        for (number, function) in functions.iter().enumerate() {
            let wave = (step as f64 / 240.0 * std::f64::consts::TAU + number as f64).sin();
            let rate = (5.0 + 3.0 * wave + dice.random::<f64>()).max(0.0);
            let sample = Sample { rate, response: Duration::from_millis(50), waiting: 0.0, queued: 0.0 };
            optimizer.sample(now, &function.name, sample);
        }
        if [39, 239, STEPS - 1].contains(&step) {
            let round_of = |optimizer: &mut Optimizer, now: Duration| {
                let begun = Instant::now();
                for function in &functions {
                    optimizer.plan(now, function, 2, Sample::default(), SOLVE);
                }
                begun.elapsed().as_secs_f64() * 1000.0 / functions.len() as f64
            };
            let later = now + Duration::from_secs(301);
            told.insert(
                format!("fit and plan ms each, {} samples", step + 1),
                round(round_of(&mut optimizer, later)).into(),
            );
            told.insert(format!("plan ms each, {} samples", step + 1), round(round_of(&mut optimizer, later)).into());
        }
    }
    told.insert("windows MB".into(), round(resident_mb() - before).into());
    Value::Object(told)
}
