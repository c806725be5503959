//! Startup of a fleet: waits for conditions instead of fixed times, and reports what is missing on a timeout.

use crate::deployment::Deployment;
use crate::folder::wait_for_data_files;
use crate::processes::{Fleet, OPERATOR_TOKEN};
use hyper::Method;
use operator_client::{Answer, Call, send_call};
use serde_json::Value;
use std::path::PathBuf;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Maximum time to wait for a condition.
pub const CONDITION_TIMEOUT: Duration = Duration::from_secs(60);
/// Maximum time to wait for data files. Processes told to stop exit within their grace period, which is shorter.
const DATA_FILE_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

/// Waits until the registries of the previous fleet in this folder have closed their data files.
pub async fn wait_for_previous_fleet(fleet: &Fleet) -> Result<(), String> {
    let data = fleet.registries.iter().filter_map(|node| node.data_folder.as_ref());
    let files: Vec<PathBuf> = data.map(|folder| folder.join("registry.redb")).collect();
    wait_for_data_files(&files, DATA_FILE_TIMEOUT).await.map_err(|error| error.to_string())
}

/// Starts every process, applies the configuration, and returns once every router is ready.
pub async fn start_fleet(deployment: &Deployment, fleet: &mut Fleet) -> Result<(), String> {
    fleet.open_relays().await?;
    for node in [vec![fleet.emulator.clone()], fleet.registries.clone(), fleet.routers.clone()].concat() {
        fleet.start(&node)?;
    }
    let members = fleet.routers.len();
    let status = operator_call(fleet, Method::GET, "/v1/status");
    wait_until("every router is a member", fleet, &status, |answer| {
        let page: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
        page["members"].as_array().is_some_and(|list| list.len() >= members)
    })
    .await?;
    apply_configuration(deployment, fleet).await?;
    for router in fleet.routers.clone() {
        let ready = Call { address: router.ops_address, ..operator_call(fleet, Method::GET, "/ready") };
        wait_until("every router is ready", fleet, &ready, |answer| answer.status == 200).await?;
    }
    Ok(())
}

fn operator_call(fleet: &Fleet, method: Method, path: &str) -> Call {
    Call {
        method,
        address: fleet.registries[0].client_address.clone(),
        path: path.into(),
        token: OPERATOR_TOKEN.into(),
        timeout: CALL_TIMEOUT,
        ..Call::default()
    }
}

/// Applies the configuration under one operation id and retries it while the outcome is unknown.
async fn apply_configuration(deployment: &Deployment, fleet: &Fleet) -> Result<(), String> {
    let body = std::fs::read(&deployment.configuration).map_err(|error| error.to_string())?;
    let started = Instant::now();
    let operation = Some(format!("fleet-{}-{}", std::process::id(), crate::route_changes::unix_time_ms()));
    let put = operator_call(fleet, Method::PUT, "/v1/configuration");
    let apply = Call { if_match: Some("*".into()), operation, body, ..put };
    loop {
        let last_result = match send_call(&apply).await {
            Ok(answer) if answer.status == 200 => return Ok(()),
            Ok(answer) if answer.status < 500 => {
                return Err(format!("configuration refused: {}", String::from_utf8_lossy(&answer.body)));
            }
            Ok(answer) => format!("{} {}", answer.status, String::from_utf8_lossy(&answer.body)),
            Err(error) => error.to_string(),
        };
        let waits = describe_pending(fleet).await;
        if started.elapsed() >= CONDITION_TIMEOUT {
            return Err(format!(
                "the configuration is not in force after {} s: {waits}; {last_result}",
                CONDITION_TIMEOUT.as_secs()
            ));
        }
        eprintln!("fleet: the configuration is not in force yet: {waits}");
        sleep(POLL_INTERVAL).await;
    }
}

/// Returns what the registries report that a pending change still waits for.
async fn describe_pending(fleet: &Fleet) -> String {
    let mut lines = Vec::new();
    for node in &fleet.registries {
        let status = Call { address: node.client_address.clone(), ..operator_call(fleet, Method::GET, "/v1/status") };
        let page: Value = match send_call(&status).await {
            Ok(answer) => serde_json::from_slice(&answer.body).unwrap_or_default(),
            Err(error) => {
                lines.push(format!("{} does not answer: {error}", node.name));
                continue;
            }
        };
        if !page["pending"].is_null() {
            return format!(
                "step {} waits for {}, {}",
                page["pending"]["step"], page["pending"]["waits_for"], page["pending"]["routers"]
            );
        }
        lines.push(format!(
            "{} is {} of view {}, suspects {}",
            node.name, page["role"], page["view"]["number"], page["view"]["suspects"]
        ));
    }
    lines.join("; ")
}

/// Repeats a call until its answer is the expected one; fails on a timeout or if a process exits unexpectedly.
pub async fn wait_until(
    what: &str,
    fleet: &mut Fleet,
    call: &Call,
    is_expected: impl Fn(&Answer) -> bool,
) -> Result<(), String> {
    let started = Instant::now();
    while started.elapsed() < CONDITION_TIMEOUT {
        if let Ok(answer) = send_call(call).await
            && is_expected(&answer)
        {
            return Ok(());
        }
        if let Some((name, code)) = fleet.take_unexpected_exit() {
            return Err(format!("{name} exited with {code:?}; see its log in {}", fleet.folder.join("logs").display()));
        }
        sleep(POLL_INTERVAL).await;
    }
    Err(format!("timed out waiting until {what}: {}", describe_pending(fleet).await))
}
