//! A fleet from its start to its end and, when proving, the load, the faults and the checker's outcome.

use crate::bring_up::{PATIENCE, bring_up, wait_for_earlier_fleet};
use crate::deployment::Deployment;
use crate::faults::patch;
use crate::folder::FolderLock;
use crate::line::{Order, What};
use crate::processes::{Fleet, TOKEN};
use crate::soak_schedule::{Extent, draw};
use crate::timeline::Timeline;
use crate::turns::{Turns, wall_ms, with_probe};
use crate::watch::Watch;
use operator_client::{Call, send_call};
use serde_json::Value;
use std::cell::RefCell;
use std::process::{Command, Stdio};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::sleep;

pub async fn run(mut order: Order) -> Result<bool, String> {
    let mut deployment = Deployment::load(&order.deployment)?;
    std::fs::create_dir_all(&order.folder).map_err(|fault| format!("{}: {fault}", order.folder.display()))?;
    let _folder = FolderLock::take(&order.folder).map_err(|error| error.to_string())?;
    if order.what == What::Soak {
        let workers = deployment.workers.max(0) as usize;
        let routers = order.routers.unwrap_or(deployment.routers);
        order.faults = draw(order.seed, Extent { seconds: order.seconds, routers, workers });
        println!("soak of {} s, seed {}: {} faults and changes", order.seconds, order.seed, order.faults.len());
    }
    if [What::Prove, What::Soak].contains(&order.what) && order.turns > 0.0 {
        deployment = with_probe(&deployment, &order.folder)?;
    }
    let mut fleet = Fleet::draw_up(&order, &deployment)?;
    fleet.knows(&order.faults, deployment.workers)?;
    wait_for_earlier_fleet(&fleet).await?;
    // Whenever it is interrupted, it ends what it has started.
    let result = tokio::select! {
        result = work(&order, &deployment, &mut fleet) => result,
        () = kernel::wait_for_signal() => if order.what == What::Up { Ok(true) } else { Err("interrupted".into()) },
    };
    fleet.end_all().await;
    result
}

async fn work(order: &Order, deployment: &Deployment, fleet: &mut Fleet) -> Result<bool, String> {
    if order.what == What::Smoke {
        return crate::smoke::run(order, deployment, fleet).await;
    }
    bring_up(deployment, fleet).await?;
    println!("operators: {} (token {TOKEN})", fleet.registries[0].door);
    println!("callers: {}", doors(fleet));
    if order.what == What::Up {
        println!("the fleet is up; interrupt to end it");
        return std::future::pending().await;
    }
    prove(order, deployment, fleet).await
}

fn doors(fleet: &Fleet) -> String {
    fleet.routers.iter().map(|node| node.door.clone()).collect::<Vec<_>>().join(",")
}

async fn prove(order: &Order, deployment: &Deployment, fleet: &mut Fleet) -> Result<bool, String> {
    let tasks = fleet.folder.join("tasks.jsonl");
    let mut load = Command::new(fleet.programs.join("loadgen"));
    load.arg("load").args(["--targets", &doors(fleet)]);
    load.arg("--configuration").arg(&deployment.configuration).arg("--services").arg(&deployment.services);
    load.arg("--out").arg(&tasks).args(["--seconds", &order.seconds.to_string(), "--seed", &order.seed.to_string()]);
    load.args(["--factor", &order.factor.to_string()]);
    for crowd in &order.crowds {
        load.args(["--crowd", crowd]);
    }
    let mut child = load.stdin(Stdio::null()).spawn().map_err(|fault| format!("loadgen: {fault}"))?;
    let (begun, mut timeline) = (Instant::now(), Timeline::default());
    order.crowds.iter().for_each(|words| timeline.crowd(wall_ms(), words));
    let turns = Rc::new(Turns {
        registries: fleet.registries.clone(),
        every: Duration::from_secs_f64(order.turns.max(0.5)),
        lines: RefCell::default(),
        until: begun + Duration::from_secs(if order.turns > 0.0 { order.seconds } else { 0 }),
    });
    let turning = tokio::task::spawn_local(turns.clone().run());
    let mut faults = order.faults.clone();
    faults.sort_by_key(|fault| fault.at);
    let mut watch = Watch::default();
    for fault in faults {
        watch.wait_until(fleet, begun + fault.at).await;
        timeline.note(&fault);
        watch.note(&fault);
        fleet.bring_about(&fault).await?;
    }
    let most = Duration::from_secs(order.seconds + 30);
    let status = loop {
        match child.try_wait() {
            Ok(Some(status)) => break status,
            _ if begun.elapsed() > most => {
                let _ = child.kill();
                return Err("the load did not end in time".into());
            }
            _ => watch.wait_until(fleet, Instant::now() + Duration::from_millis(100)).await,
        }
    };
    if !status.success() {
        return Err("the load failed".into());
    }
    let _ = turning.await;
    let (changes, spans) = (fleet.folder.join("changes.jsonl"), fleet.folder.join("spans.jsonl"));
    turns.write(&changes)?;
    timeline.write(&spans)?;
    settle_deferred(fleet).await?;
    let kept = final_fault(fleet).await?;
    let counts =
        Call { address: fleet.emulator.peer.clone(), path: "/v1/counts".into(), limit: PATIENCE, ..Call::default() };
    let counted = send_call(&counts).await.map_err(|fault| fault.to_string())?;
    println!("platform: {}", String::from_utf8_lossy(&counted.body));
    sleep(Duration::from_millis(300)).await;
    let mut check = Command::new(fleet.programs.join("loadgen"));
    check.arg("check").arg("--tasks").arg(&tasks).arg("--runs").arg(fleet.folder.join("runs.jsonl"));
    check.arg("--changes").arg(changes).arg("--spans").arg(spans);
    if let Some(most) = order.refusals {
        check.args(["--refusals", &most.to_string()]);
    }
    let verdict = check.status().map_err(|fault| format!("loadgen: {fault}"))?;
    let is_well = order.what != What::Soak || watch.report();
    Ok(verdict.success() && kept && is_well)
}

/// The day's end: a change is acknowledged, every registry loses power at once, and after they are
/// back the configuration must be the acknowledged one.
async fn final_fault(fleet: &mut Fleet) -> Result<bool, String> {
    let Some(acknowledged) = patch(&fleet.registries, "day-end").await else { return Ok(false) };
    for node in fleet.registries.clone() {
        fleet.signal(&node.name, "KILL")?;
    }
    while fleet.running.iter().any(|(name, _)| name.starts_with("registry")) {
        fleet.reap();
        sleep(Duration::from_millis(20)).await;
    }
    for node in fleet.registries.clone() {
        fleet.start(&node)?;
    }
    let address = fleet.registries[1].door.clone();
    let limit = Duration::from_secs(15);
    let read = Call { address, path: "/v1/headcount-plans".into(), token: TOKEN.into(), limit, ..Call::default() };
    let mut kept = false;
    let begun = Instant::now();
    while begun.elapsed() < PATIENCE && !kept {
        if let Ok(answer) = send_call(&read).await
            && answer.status == 200
        {
            kept = answer.revision == Some(acknowledged) && String::from_utf8_lossy(&answer.body).contains("day-end");
            println!("read back after the final fault: revision {:?}, acknowledged {acknowledged}", answer.revision);
            break;
        }
        sleep(Duration::from_millis(100)).await;
    }
    Ok(kept)
}

/// Waits until no router holds a task any longer: what was accepted has been run.
async fn settle_deferred(fleet: &mut Fleet) -> Result<(), String> {
    let begun = Instant::now();
    let mut quiet = 0;
    while quiet < 30 {
        let mut open = 0;
        for router in fleet.routers.clone() {
            let call = Call {
                address: router.ops,
                path: "/v1/status".into(),
                limit: Duration::from_secs(2),
                ..Call::default()
            };
            let page: Value = match send_call(&call).await {
                Ok(answer) => serde_json::from_slice(&answer.body).unwrap_or_default(),
                Err(_) => continue,
            };
            open += page["traffic"]["tasks"].as_u64().unwrap_or(0) + page["traffic"]["front"].as_u64().unwrap_or(0);
        }
        quiet = if open == 0 { quiet + 1 } else { 0 };
        if begun.elapsed() > PATIENCE * 2 {
            return Err(format!("{open} tasks are still open long after the load"));
        }
        sleep(Duration::from_millis(if open == 0 { 400 } else { 200 })).await;
    }
    Ok(())
}
