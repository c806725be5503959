//! One hollow fleet through its phases: quiet, changes, restarts, a zone lost. What each came to is
//! one JSON value.

use crate::fleet::Fleet;
use crate::line::Order;
use crate::node_group::NodeGroupView;
use crate::proc::Usage;
use crate::processes::REGISTRIES;
use crate::relay::HOLLOW;
use crate::tally::{Tally, round};
use hyper::Method;
use rand::{RngExt, SeedableRng};
use serde_json::{Map, Value, json};
use std::collections::BTreeMap;
use std::path::Path;
use std::time::{Duration, Instant};
use tokio::time::sleep;

const CALM: Duration = Duration::from_secs(8);
/// How long a core that takes no change for the moment is asked again, the time being the change's.
const REFUSED: Duration = Duration::from_secs(60);
const GAP: Duration = Duration::from_millis(400);

struct Mark {
    at: Instant,
    tally: Tally,
    usage: BTreeMap<String, Usage>,
    lists: (u64, u64),
}

async fn mark(fleet: &Fleet) -> Mark {
    let mut tally = fleet.look().await.tally;
    let view = fleet.relayed().await;
    tally.merge(&view.tally);
    let lists = (view.lists, view.list_bytes);
    Mark { at: Instant::now(), tally, usage: fleet.usage(), lists }
}

/// The roles of the moment by process name: head, middle or tail, and router-0 and so on.
async fn roles(fleet: &Fleet) -> (BTreeMap<String, String>, String) {
    let mut roles = BTreeMap::new();
    let mut host = String::new();
    for (number, page) in fleet.pages().await.iter().enumerate() {
        let role = page["role"].as_str().unwrap_or("out").to_owned();
        if page["view"]["optimizer"] == page["id"] && !page["id"].is_null() {
            host.clone_from(&role);
        }
        roles.insert(format!("registry-{number}"), role);
    }
    for process in &fleet.processes[REGISTRIES..] {
        roles.insert(process.name.clone(), process.name.clone());
    }
    (roles, host)
}

fn phase(fleet: &Fleet, roles: &BTreeMap<String, String>, from: &Mark, to: &Mark) -> Value {
    let seconds = to.at.duration_since(from.at).as_secs_f64();
    let tally = to.tally.since(&from.tally);
    let mut who = Map::new();
    for (name, role) in roles {
        let mut told = tally.to_json(name, seconds, 1.0);
        if let (Some(before), Some(after)) = (from.usage.get(name), to.usage.get(name)) {
            told["process"] = spent(before, after, seconds);
        }
        who.insert(role.clone(), told);
    }
    who.insert(HOLLOW.into(), tally.to_json(HOLLOW, seconds, fleet.hollow as f64));
    if let (Some(before), Some(after)) = (from.usage.get("itself"), to.usage.get("itself")) {
        who.insert("itself".into(), json!({"process": spent(before, after, seconds)}));
    }
    let lists = (to.lists.0 - from.lists.0) as f64;
    json!({
        "seconds": round(seconds), "who": who,
        "platform": {"lists": round(lists / seconds), "bytes": round((to.lists.1 - from.lists.1) as f64 / seconds)},
    })
}

fn spent(before: &Usage, after: &Usage, seconds: f64) -> Value {
    let of = |name: &String| before.threads.get(name).copied().unwrap_or(0.0);
    let threads: Map<String, Value> =
        after.threads.iter().map(|(name, s)| (name.clone(), round((s - of(name)).max(0.0) / seconds).into())).collect();
    let rate = |a: u64, b: u64| round(a.saturating_sub(b) as f64 / seconds);
    json!({
        "cores": round((after.seconds() - before.seconds()) / seconds), "threads": threads,
        "resident_mb": round(after.resident_mb), "peak_mb": round(after.peak_mb), "sockets": after.sockets,
        "asked_bytes": rate(after.asked_bytes, before.asked_bytes),
        "disk_bytes": rate(after.disk_bytes, before.disk_bytes),
    })
}

fn millis(time: Duration) -> f64 {
    round(time.as_secs_f64() * 1000.0)
}

/// One change: when its reply came, and when every hollow node had it in force.
async fn change(order: &Order, fleet: &mut Fleet, number: usize, deadline_ms: u32) -> Result<(f64, f64), String> {
    let workload = order.workload();
    let body = json!({"set": {workload.key(number): workload.binding(number, deadline_ms)}}).to_string().into_bytes();
    let before = fleet.look().await.least_revision;
    let begun = Instant::now();
    let mut answer = fleet.call(Method::PATCH, "/v1/configuration", body.clone()).await?;
    while answer.status == 503 && begun.elapsed() < REFUSED {
        sleep(GAP).await;
        answer = fleet.call(Method::PATCH, "/v1/configuration", body.clone()).await?;
    }
    let receipt = begun.elapsed();
    if ![200, 504].contains(&answer.status) {
        return Err(format!("a change: {} {}", answer.status, String::from_utf8_lossy(&answer.body)));
    }
    fleet.until("a change in force", |view| view.least_revision > before).await?;
    Ok((millis(receipt), millis(begun.elapsed())))
}

pub async fn point(order: &Order, nodes: usize, folder: &Path) -> Result<Value, String> {
    let begun = Instant::now();
    let mut fleet = Fleet::start(order, nodes, folder).await?;
    let (hollow, total) = (fleet.hollow, fleet.total);
    fleet.until("the whole fleet", |view| full(view, hollow, total) && view.assigned).await?;
    let stood = begun.elapsed();
    eprintln!("{nodes} nodes stand after {stood:.1?}");
    sleep(CALM).await;
    let (roles, host) = roles(&fleet).await;
    let mut phases = Map::new();
    let first = mark(&fleet).await;
    sleep(Duration::from_secs(order.seconds)).await;
    let last = mark(&fleet).await;
    phases.insert("quiet".into(), phase(&fleet, &roles, &first, &last));

    let ended = unquiet(order, &mut fleet, &roles, last, &mut phases).await;
    fleet.alive()?;
    Ok(json!({
        "nodes": nodes, "hollow": hollow, "routers": order.routers, "functions": order.workload().functions,
        "awake": order.workload().awake, "instances": order.workload().instances, "mesh": order.mesh,
        "stood_ms": millis(stood), "fault": ended.err(), "optimizer_on": host, "phases": phases,
    }))
}

fn full(view: &NodeGroupView, left: usize, members: usize) -> bool {
    view.serving == left && view.least_members == members && view.most_members == members
}

/// Changes, restarts and a zone lost, as far as they come; a fault ends them and is told in the point.
async fn unquiet(
    order: &Order,
    fleet: &mut Fleet,
    roles: &BTreeMap<String, String>,
    mut last: Mark,
    phases: &mut Map<String, Value>,
) -> Result<(), String> {
    let (hollow, total) = (fleet.hollow, fleet.total);
    let mut dice = rand_chacha::ChaCha8Rng::seed_from_u64(order.seed);
    if order.changes > 0 {
        eprintln!("changes");
        let (mut receipts, mut in_force) = (Vec::new(), Vec::new());
        for n in 0..order.changes {
            let number = dice.random_range(0..order.workload().functions);
            let (receipt, everywhere) = change(order, fleet, number, 3000 + n as u32).await?;
            receipts.push(receipt);
            in_force.push(everywhere);
            sleep(GAP).await;
        }
        let next = mark(fleet).await;
        let mut told = phase(fleet, roles, &last, &next);
        told["receipt_ms"] = json!(receipts);
        told["in_force_ms"] = json!(in_force);
        told["most_in_force_ms"] = in_force.iter().copied().fold(0.0, f64::max).into();
        phases.insert("changes".into(), told);
        last = next;
    }
    if order.restarts > 0 {
        eprintln!("restarts");
        let mut back = Vec::new();
        for n in 0..order.restarts {
            let begun = Instant::now();
            fleet.silence(&[n % hollow], true);
            sleep(GAP).await;
            fleet.until("a restarted node", |view| full(view, hollow, total)).await?;
            back.push(millis(begun.elapsed()));
            sleep(GAP).await;
        }
        let next = mark(fleet).await;
        let mut told = phase(fleet, roles, &last, &next);
        told["back_ms"] = json!(back);
        told["each"] = per_event(&told, order.restarts);
        phases.insert("restarts".into(), told);
        last = next;
    }
    if order.lose > 0 {
        eprintln!("a zone lost");
        let zone = fleet.zones[0].clone();
        let lost: Vec<usize> = (0..hollow).filter(|n| fleet.zones[*n] == zone).take(order.lose).collect();
        let left = hollow - lost.len();
        fleet.silence(&lost, false);
        let begun = Instant::now();
        let members = total - lost.len();
        fleet.until("the roster without the lost", |view| full(view, left, members)).await?;
        let noticed = millis(begun.elapsed());
        let (receipt, everywhere) = change(order, fleet, 0, 3500).await?;
        let next = mark(fleet).await;
        let mut told = phase(fleet, roles, &last, &next);
        told["lost"] = lost.len().into();
        told["roster_ms"] = noticed.into();
        told["change_receipt_ms"] = receipt.into();
        told["change_in_force_ms"] = everywhere.into();
        phases.insert("lost".into(), told);
    }
    Ok(())
}

/// Bytes the core sent for one event of the phase, by kind.
fn per_event(told: &Value, events: usize) -> Value {
    let seconds = told["seconds"].as_f64().unwrap_or(0.0);
    let mut kinds: BTreeMap<String, f64> = BTreeMap::new();
    for role in ["head", "middle", "tail"] {
        let list = told["who"][role]["out"].as_object();
        for (kind, count) in list.into_iter().flatten().filter(|(kind, _)| kind.starts_with("hold.")) {
            *kinds.entry(kind.clone()).or_default() += count["bytes"].as_f64().unwrap_or(0.0) * seconds / events as f64;
        }
    }
    json!(kinds.into_iter().map(|(kind, bytes)| (kind, round(bytes))).collect::<BTreeMap<_, _>>())
}
