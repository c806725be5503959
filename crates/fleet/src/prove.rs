//! Life of a fleet from its start to its end and, with `prove` or `soak`, the load, the faults and the check.

use crate::command_line::{Mode, Options};
use crate::deployment::Deployment;
use crate::faults::apply_patch;
use crate::folder::FolderLock;
use crate::process_monitor::ProcessMonitor;
use crate::processes::{Fleet, OPERATOR_TOKEN};
use crate::route_changes::{RouteChanger, add_probe_route, unix_time_ms};
use crate::soak_schedule::{SoakSize, draw_schedule};
use crate::startup::{CONDITION_TIMEOUT, start_fleet, wait_for_previous_fleet};
use crate::timeline::Timeline;
use operator_client::{Call, send_call};
use serde_json::Value;
use std::cell::RefCell;
use std::process::{Command, Stdio};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Runs the subcommand; returns whether all checks passed.
pub async fn run(mut options: Options) -> Result<bool, String> {
    let mut deployment = Deployment::load(&options.deployment)?;
    std::fs::create_dir_all(&options.folder).map_err(|error| format!("{}: {error}", options.folder.display()))?;
    let _folder = FolderLock::acquire(&options.folder).map_err(|error| error.to_string())?;
    if options.mode == Mode::Soak {
        let workers = deployment.workers.max(0) as usize;
        let routers = options.routers.unwrap_or(deployment.routers);
        options.faults = draw_schedule(options.seed, SoakSize { seconds: options.seconds, routers, workers });
        println!("soak of {} s, seed {}: {} faults and changes", options.seconds, options.seed, options.faults.len());
    }
    if [Mode::Prove, Mode::Soak].contains(&options.mode) && options.turns > 0.0 {
        deployment = add_probe_route(&deployment, &options.folder)?;
    }
    let mut fleet = Fleet::configure(&options, &deployment)?;
    fleet.validate_targets(&options.faults, deployment.workers)?;
    wait_for_previous_fleet(&fleet).await?;
    // An interrupt at any time still stops all started processes.
    let result = tokio::select! {
        result = work(&options, &deployment, &mut fleet) => result,
        () = kernel::wait_for_signal() => if options.mode == Mode::Up { Ok(true) } else { Err("interrupted".into()) },
    };
    fleet.stop_all().await;
    result
}

async fn work(options: &Options, deployment: &Deployment, fleet: &mut Fleet) -> Result<bool, String> {
    if options.mode == Mode::Smoke {
        return crate::smoke::run(options, deployment, fleet).await;
    }
    if options.mode == Mode::Stops {
        return crate::planned_stops::run(options, deployment, fleet).await;
    }
    start_fleet(deployment, fleet).await?;
    println!("operators: {} (token {OPERATOR_TOKEN})", fleet.registries[0].client_address);
    println!("callers: {}", caller_addresses(fleet));
    if options.mode == Mode::Up {
        println!("the fleet is up; interrupt to stop it");
        return std::future::pending().await;
    }
    prove(options, deployment, fleet).await
}

fn caller_addresses(fleet: &Fleet) -> String {
    fleet.routers.iter().map(|node| node.client_address.clone()).collect::<Vec<_>>().join(",")
}

async fn prove(options: &Options, deployment: &Deployment, fleet: &mut Fleet) -> Result<bool, String> {
    let tasks = fleet.folder.join("tasks.jsonl");
    let mut load = Command::new(fleet.programs.join("loadgen"));
    load.arg("load").args(["--targets", &caller_addresses(fleet)]);
    load.arg("--configuration").arg(&deployment.configuration).arg("--services").arg(&deployment.services);
    load.arg("--out").arg(&tasks).args([
        "--seconds",
        &options.seconds.to_string(),
        "--seed",
        &options.seed.to_string(),
    ]);
    load.args(["--factor", &options.factor.to_string()]);
    for crowd in &options.crowds {
        load.args(["--crowd", crowd]);
    }
    let mut child = load.stdin(Stdio::null()).spawn().map_err(|error| format!("loadgen: {error}"))?;
    let (started, mut timeline) = (Instant::now(), Timeline::default());
    options.crowds.iter().for_each(|words| timeline.record_crowd(unix_time_ms(), words));
    let route_changer = Rc::new(RouteChanger {
        registries: fleet.registries.clone(),
        interval: Duration::from_secs_f64(options.turns.max(0.5)),
        records: RefCell::default(),
        until: started + Duration::from_secs(if options.turns > 0.0 { options.seconds } else { 0 }),
    });
    let changing = tokio::task::spawn_local(route_changer.clone().run());
    let mut faults = options.faults.clone();
    faults.sort_by_key(|fault| fault.at);
    let mut monitor = ProcessMonitor::default();
    for fault in faults {
        monitor.wait_until(fleet, started + fault.at).await;
        timeline.record(&fault);
        monitor.record_fault(&fault);
        fleet.inject(&fault).await?;
    }
    let time_limit = Duration::from_secs(options.seconds + 30);
    let status = loop {
        match child.try_wait() {
            Ok(Some(status)) => break status,
            _ if started.elapsed() > time_limit => {
                let _ = child.kill();
                return Err("the load did not end in time".into());
            }
            _ => monitor.wait_until(fleet, Instant::now() + Duration::from_millis(100)).await,
        }
    };
    if !status.success() {
        return Err("the load failed".into());
    }
    let _ = changing.await;
    let (changes, spans) = (fleet.folder.join("changes.jsonl"), fleet.folder.join("spans.jsonl"));
    route_changer.write(&changes)?;
    timeline.write(&spans)?;
    wait_for_open_tasks(fleet).await?;
    let is_kept = check_power_loss(fleet).await?;
    let counts = Call {
        address: fleet.emulator.peer_address.clone(),
        path: "/v1/counts".into(),
        timeout: CONDITION_TIMEOUT,
        ..Call::default()
    };
    let counted = send_call(&counts).await.map_err(|error| error.to_string())?;
    println!("platform: {}", String::from_utf8_lossy(&counted.body));
    sleep(Duration::from_millis(300)).await;
    let mut check = Command::new(fleet.programs.join("loadgen"));
    check.arg("check").arg("--tasks").arg(&tasks).arg("--runs").arg(fleet.folder.join("runs.jsonl"));
    check.arg("--changes").arg(changes).arg("--spans").arg(spans);
    if let Some(max_refusals) = options.refusals {
        check.args(["--refusals", &max_refusals.to_string()]);
    }
    let check_status = check.status().map_err(|error| format!("loadgen: {error}"))?;
    let processes_ok = options.mode != Mode::Soak || monitor.report();
    Ok(check_status.success() && is_kept && processes_ok)
}

/// Final check: after an acknowledged change all registries are killed at once, as by a power failure. After
/// their restart the configuration must be the acknowledged one.
async fn check_power_loss(fleet: &mut Fleet) -> Result<bool, String> {
    let Some(acknowledged) = apply_patch(&fleet.registries, "day-end").await else { return Ok(false) };
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
    let address = fleet.registries[1].client_address.clone();
    let timeout = Duration::from_secs(15);
    let read =
        Call { address, path: "/v1/headcount-plans".into(), token: OPERATOR_TOKEN.into(), timeout, ..Call::default() };
    let mut is_kept = false;
    let started = Instant::now();
    while started.elapsed() < CONDITION_TIMEOUT && !is_kept {
        if let Ok(answer) = send_call(&read).await
            && answer.status == 200
        {
            is_kept =
                answer.revision == Some(acknowledged) && String::from_utf8_lossy(&answer.body).contains("day-end");
            println!("read back after the final fault: revision {:?}, acknowledged {acknowledged}", answer.revision);
            break;
        }
        sleep(Duration::from_millis(100)).await;
    }
    Ok(is_kept)
}

/// Waits until no router holds a task, so that every accepted task has been run.
async fn wait_for_open_tasks(fleet: &mut Fleet) -> Result<(), String> {
    let started = Instant::now();
    let mut quiet = 0;
    while quiet < 30 {
        let mut open = 0;
        for router in fleet.routers.clone() {
            let call = Call {
                address: router.ops_address,
                path: "/v1/status".into(),
                timeout: Duration::from_secs(2),
                ..Call::default()
            };
            let page: Value = match send_call(&call).await {
                Ok(answer) => serde_json::from_slice(&answer.body).unwrap_or_default(),
                Err(_) => continue,
            };
            open += page["traffic"]["tasks"].as_u64().unwrap_or(0) + page["traffic"]["front"].as_u64().unwrap_or(0);
        }
        quiet = if open == 0 { quiet + 1 } else { 0 };
        if started.elapsed() > CONDITION_TIMEOUT * 2 {
            return Err(format!("{open} tasks are still open long after the load"));
        }
        sleep(Duration::from_millis(if open == 0 { 400 } else { 200 })).await;
    }
    Ok(())
}
