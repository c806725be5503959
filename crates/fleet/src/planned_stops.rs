//! Planned stops of routers while they run keyed operations for callers of other routers. Each operation that ends within
//! the grace period must be answered by its run. One that outlasts the grace period is given up in order: its caller is
//! told that the outcome is unknown, and so is whoever repeats it at once, while nothing runs under its key any more.
//! No key runs twice.

use crate::command_line::Options;
use crate::deployment::Deployment;
use crate::process_monitor::STOP_GRACE;
use crate::processes::{Fleet, Node};
use crate::startup::{CONDITION_TIMEOUT, start_fleet};
use hyper::Method;
use operator_client::{Answer, Call, CallError, send_call};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Routers that are stopped, one after the other.
const STOPS: usize = 3;
/// Functions of this prefix work for less than the grace period, the others for longer.
const SHORT_PREFIX: &str = "stops/short-";
/// Time beyond the grace period that the exit may take on a busy machine.
const EXIT_MARGIN: Duration = Duration::from_millis(1200);
/// Maximum time for the exit of a router that has nothing at work.
const IDLE_EXIT_LIMIT: Duration = Duration::from_millis(1900);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time after which a router's status page shows what runs now.
const STATUS_INTERVAL: Duration = Duration::from_millis(600);
const CALL_TIMEOUT: Duration = Duration::from_secs(20);
/// Status of an operation whose outcome is unknown.
const UNKNOWN: u16 = 504;

/// Answer to one try of an operation; the status is 0 if none came.
struct TryAnswer {
    function: String,
    status: u16,
}

/// Stops routers in turn, and returns whether every check passed.
pub async fn run(options: &Options, deployment: &Deployment, fleet: &mut Fleet) -> Result<bool, String> {
    start_fleet(deployment, fleet).await?;
    let functions = functions(deployment)?;
    let mut faults = Vec::new();
    let mut round = 0;
    while round < STOPS {
        round += 1;
        stop_router_at_work(options, fleet, &functions, round, &mut faults).await?;
    }
    check_idle_stop(fleet, &mut faults).await?;
    check_runs(fleet, &mut faults)?;
    faults.iter().for_each(|fault| println!("FAULT: {fault}"));
    println!("{round} routers stopped at work, {} faults", faults.len());
    Ok(faults.is_empty())
}

fn functions(deployment: &Deployment) -> Result<Vec<String>, String> {
    let text = std::fs::read_to_string(&deployment.services).map_err(|error| error.to_string())?;
    let services: BTreeMap<String, Value> = serde_json::from_str(&text).map_err(|error| error.to_string())?;
    Ok(services.into_keys().collect())
}

/// Lets callers of the other routers send an operation for every function, stops a router that owns some of them, and
/// repeats the operations that it gave up.
async fn stop_router_at_work(
    options: &Options,
    fleet: &mut Fleet,
    functions: &[String],
    round: usize,
    faults: &mut Vec<String>,
) -> Result<(), String> {
    let number = (options.seed as usize + round) % fleet.routers.len();
    let stopped = fleet.routers[number].clone();
    let others: Vec<Node> = fleet.routers.iter().filter(|node| node.name != stopped.name).cloned().collect();
    let key = |function: &str| format!("{function}-{round}");
    let (short, long): (Vec<&String>, Vec<&String>) = functions.iter().partition(|name| name.starts_with(SHORT_PREFIX));
    // With instances that are already up, the short operations begin together.
    let warm_up = short.iter().map(|function| (function.as_str(), format!("warm-up-{}", key(function))));
    let mut warm_up = send_operations(&others, warm_up);
    while warm_up.join_next().await.is_some() {}
    let mut tries = JoinSet::new();
    for functions in [&long, &short] {
        let keys: BTreeSet<String> = functions.iter().map(|function| key(function)).collect();
        let sent = send_operations(&others, functions.iter().map(|function| (function.as_str(), key(function))));
        tries.spawn_local(async move { sent.join_all().await });
        wait_for_runs(fleet, &keys).await?;
    }
    sleep(STATUS_INTERVAL).await;
    let owned = functions_at(&stopped).await?;
    let took = stop(fleet, &stopped, STOP_GRACE + EXIT_MARGIN, faults).await?;
    // At once, while the registries may still list the router as a member.
    let given_up: Vec<&String> = owned.iter().filter(|name| !name.starts_with(SHORT_PREFIX)).collect();
    let mut repeated: BTreeMap<u16, usize> = BTreeMap::new();
    for (index, function) in given_up.iter().enumerate() {
        let call = operation(&others[index % others.len()], function, &key(function), 2);
        let status = status_of(&send_call(&call).await);
        *repeated.entry(status).or_default() += 1;
        if status != UNKNOWN {
            faults.push(format!("{}: the repeat of {}, which was given up, got {status}", stopped.name, key(function)));
        }
    }
    let mut answers: BTreeMap<u16, usize> = BTreeMap::new();
    for answer in tries.join_all().await.into_iter().flatten() {
        let outlasts = given_up.contains(&&answer.function);
        let expected = if outlasts { UNKNOWN } else { 200 };
        *answers.entry(answer.status).or_default() += 1;
        if answer.status != expected {
            faults.push(format!("{}: {} got {}, not {expected}", stopped.name, key(&answer.function), answer.status));
        }
    }
    println!(
        "{} stopped in {} ms with {} operations at work, {} of them longer than the grace period: answers by status \
         {answers:?}, repeats of those given up {repeated:?}",
        stopped.name,
        took.as_millis(),
        owned.len(),
        given_up.len()
    );
    if owned.is_empty() || given_up.is_empty() || given_up.len() == owned.len() {
        return Err(format!("{} does not own functions of both kinds; choose another seed", stopped.name));
    }
    restart(fleet, &stopped).await
}

/// Stops a router that runs nothing, which must take little more than the minimum.
async fn check_idle_stop(fleet: &mut Fleet, faults: &mut Vec<String>) -> Result<(), String> {
    let stopped = fleet.routers[0].clone();
    let took = stop(fleet, &stopped, IDLE_EXIT_LIMIT, faults).await?;
    println!("{} stopped in {} ms with nothing at work", stopped.name, took.as_millis());
    Ok(())
}

/// Sends an operation for each function under its key, through the given routers in turn.
fn send_operations<'a>(routers: &[Node], operations: impl Iterator<Item = (&'a str, String)>) -> JoinSet<TryAnswer> {
    let mut tries = JoinSet::new();
    for (index, (function, key)) in operations.enumerate() {
        let call = operation(&routers[index % routers.len()], function, &key, 1);
        let function = function.to_owned();
        tries.spawn_local(async move { TryAnswer { function, status: status_of(&send_call(&call).await) } });
    }
    tries
}

fn operation(router: &Node, function: &str, key: &str, number: usize) -> Call {
    Call {
        method: Method::POST,
        address: router.client_address.clone(),
        path: format!("/{function}"),
        body: b"gives 3".to_vec(),
        timeout: CALL_TIMEOUT,
        headers: vec![("idempotency-key".into(), key.replace('/', ".")), ("x-task".into(), format!("{key}#{number}"))],
        ..Call::default()
    }
}

fn status_of(answer: &Result<Answer, CallError>) -> u16 {
    answer.as_ref().map_or(0, |answer| answer.status)
}

/// Returns the functions whose requests a router has at instances.
async fn functions_at(router: &Node) -> Result<Vec<String>, String> {
    let call = Call {
        address: router.ops_address.clone(),
        path: "/v1/status".into(),
        timeout: CALL_TIMEOUT,
        ..Call::default()
    };
    let answer = send_call(&call).await.map_err(|error| error.to_string())?;
    let page: Value = serde_json::from_slice(&answer.body).map_err(|error| error.to_string())?;
    let functions = page["traffic"]["functions"].as_object().cloned().unwrap_or_default();
    let at_work = functions.into_iter().filter(|(_, state)| state["in_flight"].as_u64().is_some_and(|count| count > 0));
    Ok(at_work.map(|(name, _)| name).collect())
}

/// Returns the keys of the tries that instances began to run, with the number of runs of each.
fn runs(fleet: &Fleet) -> Result<BTreeMap<String, usize>, String> {
    let text = std::fs::read_to_string(fleet.folder.join("runs.jsonl")).map_err(|error| error.to_string())?;
    let mut runs = BTreeMap::new();
    for line in text.lines().filter_map(|line| serde_json::from_str::<Value>(line).ok()) {
        if line["what"] == "run" {
            let task = line["task"].as_str().unwrap_or_default();
            *runs.entry(task.split('#').next().unwrap_or_default().to_owned()).or_default() += 1;
        }
    }
    Ok(runs)
}

async fn wait_for_runs(fleet: &Fleet, keys: &BTreeSet<String>) -> Result<(), String> {
    let started = Instant::now();
    while started.elapsed() < CONDITION_TIMEOUT {
        let runs = runs(fleet)?;
        if keys.iter().all(|key| runs.contains_key(key)) {
            return Ok(());
        }
        sleep(POLL_INTERVAL).await;
    }
    Err("timed out waiting until every operation runs".into())
}

/// No key runs twice, whatever happened.
fn check_runs(fleet: &Fleet, faults: &mut Vec<String>) -> Result<(), String> {
    let runs = runs(fleet)?;
    let repeated = runs.iter().filter(|(_, count)| **count > 1);
    faults.extend(repeated.map(|(key, count)| format!("{key} ran {count} times")));
    Ok(())
}

/// Tells a router to stop, and returns how long it took.
async fn stop(fleet: &mut Fleet, router: &Node, limit: Duration, faults: &mut Vec<String>) -> Result<Duration, String> {
    fleet.signal(&router.name, "TERM")?;
    let started = Instant::now();
    loop {
        if let Some((_, code)) = fleet.reap().into_iter().find(|(name, _)| *name == router.name) {
            let took = started.elapsed();
            if code != Some(0) {
                faults.push(format!("{} was told to stop and exited with {code:?}", router.name));
            }
            if took > limit {
                faults.push(format!("{} took {took:?} to stop, more than {limit:?}", router.name));
            }
            return Ok(took);
        }
        if started.elapsed() > CONDITION_TIMEOUT {
            return Err(format!("{} does not stop", router.name));
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Starts a router again and waits until it may serve.
async fn restart(fleet: &mut Fleet, router: &Node) -> Result<(), String> {
    fleet.start(router)?;
    let ready =
        Call { address: router.ops_address.clone(), path: "/ready".into(), timeout: CALL_TIMEOUT, ..Call::default() };
    crate::startup::wait_until("the router is ready again", fleet, &ready, |answer| answer.status == 200).await
}
