//! Smoke test of the views of the three resource kinds on each node, of declarations in files, and of replayed
//! archives, with valid and invalid input.

use crate::command_line::Options;
use crate::processes::{Fleet, Node, OPERATOR_TOKEN};
use crate::smoke::{Smoke, TENANT_TOKEN};
use operator_client::{Call, send_call};
use serde_json::Value;
use std::process::{Command, Output, Stdio};
use std::time::{Duration, Instant};
use tokio::time::sleep;

const CONDITION_TIMEOUT: Duration = Duration::from_secs(40);

fn ops_call(node: &Node, path: &str, token: &str) -> Call {
    let timeout = Duration::from_secs(10);
    Call { address: node.ops_address.clone(), path: path.into(), token: token.into(), timeout, ..Call::default() }
}

/// Checks which resources a node shows to which token.
pub async fn check_views(fleet: &Fleet, smoke: &mut Smoke) {
    for node in [&fleet.registries[1], &fleet.routers[1]] {
        let name = &node.name;
        smoke
            .check_status(&format!("{name}: no token is 401"), ops_call(node, "/v1/view/weight-sheets", ""), 401)
            .await;
        smoke
            .check_status(
                &format!("{name}: an unknown kind is 404"),
                ops_call(node, "/v1/view/plans", OPERATOR_TOKEN),
                404,
            )
            .await;
        smoke
            .check_status(
                &format!("{name}: a watch of an unknown kind is 404"),
                ops_call(node, "/v1/watch/plans", OPERATOR_TOKEN),
                404,
            )
            .await;
        let foreign_path = "/v1/watch/function-bindings/studio-01/rules";
        smoke
            .check_status(
                &format!("{name}: a watch of another tenant's resource is 403"),
                ops_call(node, foreign_path, TENANT_TOKEN),
                403,
            )
            .await;
        let all = "/v1/view/function-bindings";
        let list = smoke
            .check_status(&format!("{name}: a tenant may list a kind"), ops_call(node, all, TENANT_TOKEN), 200)
            .await;
        let page: Value = list.and_then(|a| serde_json::from_slice(&a.body).ok()).unwrap_or_default();
        let names: Vec<&String> = page["items"].as_object().map(|items| items.keys().collect()).unwrap_or_default();
        let own = !names.is_empty() && names.iter().all(|name| name.starts_with("pixelkrov/"));
        smoke.check(&format!("{name}: a tenant sees no other tenant's resources"), own, format!("{names:?}"));
    }
    let mut plan = Value::Null;
    let started = Instant::now();
    while started.elapsed() < CONDITION_TIMEOUT && plan.is_null() {
        for node in &fleet.routers {
            let call = ops_call(node, "/v1/view/headcount-plans/pixelkrov/saves", OPERATOR_TOKEN);
            let page = send_call(&call).await.ok().and_then(|a| serde_json::from_slice::<Value>(&a.body).ok());
            let page = page.unwrap_or_default();
            if page["value"]["plan"]["actual"]["ready"].as_u64().is_some_and(|ready| ready > 0) {
                plan = page["value"]["plan"].clone();
            }
        }
        sleep(Duration::from_millis(100)).await;
    }
    smoke.check("the home of a plan shows desired and actual instances", plan["desired"].is_array(), &plan);
}

/// Runs a program on another thread, because this one must keep forwarding for the relays.
async fn run(options: &Options, program: &str, words: &[&str]) -> Result<Output, String> {
    let mut command = Command::new(options.programs.join(program));
    command.args(words).env("HERON_TOKEN", OPERATOR_TOKEN).stdin(Stdio::null());
    let ended = tokio::task::spawn_blocking(move || command.output()).await;
    ended.map_err(|error| error.to_string())?.map_err(|error| format!("{program}: {error}"))
}

fn output_text(output: &Output) -> String {
    format!("{}{}", String::from_utf8_lossy(&output.stdout), String::from_utf8_lossy(&output.stderr))
}

/// Checks a folder of declarations: diff, dry run, apply and an empty diff, and then invalid files and archives.
pub async fn check_declarations(
    options: &Options,
    fleet: &Fleet,
    smoke: &mut Smoke,
    whole: &str,
) -> Result<(), String> {
    let folder = options.folder.join("declared");
    let write = |name: &str, words: &str| {
        std::fs::create_dir_all(&folder)
            .and_then(|()| std::fs::write(folder.join(name), words))
            .map_err(|error| format!("{}: {error}", folder.display()))
    };
    write("all.json", whole)?;
    write("more.json", r#"{"weight-sheets": {"pixelkrov/new-one": {"target_usage": 0.5}}}"#)?;
    let (api, path) = (fleet.registries[0].client_address.clone(), folder.display().to_string());
    let heronlinkctl =
        async |words: &[&str]| run(options, "heronlinkctl", &[&["--api", api.as_str()], words].concat()).await;
    let mut check = |what: &str, output: Output, code: i32, words: &str| {
        let details = output_text(&output);
        smoke.check(what, output.status.code() == Some(code) && details.contains(words), details);
    };
    check(
        "heronlinkctl diff shows what would change",
        heronlinkctl(&["diff", &path]).await?,
        1,
        "+ weight-sheets/pixelkrov/new-one",
    );
    check("a dry run is checked by the server", heronlinkctl(&["--dry-run", "apply", &path]).await?, 0, "would-change");
    check("a dry run changes nothing", heronlinkctl(&["diff", &path]).await?, 1, "+ weight-sheets/pixelkrov/new-one");
    check("heronlinkctl apply takes the folder", heronlinkctl(&["apply", &path]).await?, 0, "in-force");
    check("diff is empty after apply", heronlinkctl(&["diff", &path]).await?, 0, "");
    write("again.json", r#"{"weight-sheets": {"pixelkrov/new-one": {}}}"#)?;
    let twice = heronlinkctl(&["apply", &path]).await?;
    check("a resource declared twice is refused, with both files", twice, 2, "again.json and in");
    write("again.json", r#"{"weight-sheets": {"pixelkrov/other-one": {"tuning": {"target_usage": {"least": 7}}}}"#)?;
    check("an invalid JSON file is refused with its name", heronlinkctl(&["diff", &path]).await?, 2, "again.json");
    write("again.json", r#"{"weight-sheets": {"pixelkrov/other-one": {"tuning": {"target_usage": {"least": 7}}}}}"#)?;
    let bound = heronlinkctl(&["--dry-run", "apply", &path]).await?;
    check(
        "a tuning bound out of range is 422 with its path",
        bound,
        1,
        "pixelkrov/other-one/tuning/target_usage/least",
    );
    let bad = folder.join("cut.har");
    std::fs::write(&bad, "{\"log\": {").map_err(|error| error.to_string())?;
    let replay = ["replay", "--har", &bad.display().to_string(), "--targets", &fleet.routers[0].client_address];
    check("a truncated archive is refused", run(options, "loadgen", &replay).await?, 2, "not a whole HTTP archive");
    let mistimed = ["prove", "--deployment", &options.deployment.display().to_string(), "--fault", "1:kill-router:77"];
    let scratch = options.folder.join("refused").display().to_string();
    let output = run(options, "fleet", &[&mistimed[..], &["--folder", &scratch]].concat()).await?;
    check("a fault on an unknown node is refused before any process starts", output, 1, "there is no router 77");
    Ok(())
}
