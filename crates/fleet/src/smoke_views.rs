//! The smoke of what any node shows of the three kinds, of declarations kept as files, and of a
//! replayed archive, right and wrong.

use crate::line::Order;
use crate::processes::{Fleet, Node, TOKEN};
use crate::smoke::{Smoke, TENANT};
use operator_client::{Call, send_call};
use serde_json::Value;
use std::process::{Command, Output, Stdio};
use std::time::{Duration, Instant};
use tokio::time::sleep;

const PATIENCE: Duration = Duration::from_secs(40);

fn look(node: &Node, path: &str, token: &str) -> Call {
    let limit = Duration::from_secs(10);
    Call { address: node.ops.clone(), path: path.into(), token: token.into(), limit, ..Call::default() }
}

pub async fn views(fleet: &Fleet, smoke: &mut Smoke) {
    for node in [&fleet.registries[1], &fleet.routers[1]] {
        let name = &node.name;
        smoke.status(&format!("{name}: no token is 401"), look(node, "/v1/view/weight-sheets", ""), 401).await;
        smoke.status(&format!("{name}: an unknown kind is 404"), look(node, "/v1/view/plans", TOKEN), 404).await;
        smoke.status(&format!("{name}: a watch of one too"), look(node, "/v1/watch/plans", TOKEN), 404).await;
        let others = "/v1/watch/function-bindings/studio-01/rules";
        smoke.status(&format!("{name}: a watch of another tenant's is 403"), look(node, others, TENANT), 403).await;
        let all = "/v1/view/function-bindings";
        let list = smoke.status(&format!("{name}: a tenant sees its own kind"), look(node, all, TENANT), 200).await;
        let page: Value = list.and_then(|a| serde_json::from_slice(&a.body).ok()).unwrap_or_default();
        let names: Vec<&String> = page["items"].as_object().map(|items| items.keys().collect()).unwrap_or_default();
        let own = !names.is_empty() && names.iter().all(|name| name.starts_with("pixelkrov/"));
        smoke.see(&format!("{name}: and nobody else's"), own, format!("{names:?}"));
    }
    let mut played = Value::Null;
    let begun = Instant::now();
    while begun.elapsed() < PATIENCE && played.is_null() {
        for node in &fleet.routers {
            let call = look(node, "/v1/view/headcount-plans/pixelkrov/saves", TOKEN);
            let page = send_call(&call).await.ok().and_then(|a| serde_json::from_slice::<Value>(&a.body).ok());
            let page = page.unwrap_or_default();
            if page["value"]["plan"]["actual"]["ready"].as_u64().is_some_and(|ready| ready > 0) {
                played = page["value"]["plan"].clone();
            }
        }
        sleep(Duration::from_millis(100)).await;
    }
    smoke.see("a plan's home shows what is desired, played and there", played["desired"].is_array(), &played);
}

/// Beside the relays, which this process carries on meanwhile.
async fn run(order: &Order, program: &str, words: &[&str]) -> Result<Output, String> {
    let mut command = Command::new(order.programs.join(program));
    command.args(words).env("HERON_TOKEN", TOKEN).stdin(Stdio::null());
    let ended = tokio::task::spawn_blocking(move || command.output()).await;
    ended.map_err(|fault| fault.to_string())?.map_err(|fault| format!("{program}: {fault}"))
}

fn text(output: &Output) -> String {
    format!("{}{}", String::from_utf8_lossy(&output.stdout), String::from_utf8_lossy(&output.stderr))
}

/// A folder of declarations: told apart, tried dry, applied, and nothing left to tell.
pub async fn declarations(order: &Order, fleet: &Fleet, smoke: &mut Smoke, whole: &str) -> Result<(), String> {
    let folder = order.folder.join("declared");
    let write = |name: &str, words: &str| {
        std::fs::create_dir_all(&folder)
            .and_then(|()| std::fs::write(folder.join(name), words))
            .map_err(|fault| format!("{}: {fault}", folder.display()))
    };
    write("all.json", whole)?;
    write("more.json", r#"{"weight-sheets": {"pixelkrov/new-one": {"target_usage": 0.5}}}"#)?;
    let (api, path) = (fleet.registries[0].door.clone(), folder.display().to_string());
    let heronlinkctl =
        async |words: &[&str]| run(order, "heronlinkctl", &[&["--api", api.as_str()], words].concat()).await;
    let mut see = |what: &str, output: Output, code: i32, words: &str| {
        let told = text(&output);
        smoke.see(what, output.status.code() == Some(code) && told.contains(words), told);
    };
    see(
        "heronlinkctl diff tells what would change",
        heronlinkctl(&["diff", &path]).await?,
        1,
        "+ weight-sheets/pixelkrov/new-one",
    );
    see("a dry run is checked by the server", heronlinkctl(&["--dry-run", "apply", &path]).await?, 0, "would-change");
    see("and changes nothing", heronlinkctl(&["diff", &path]).await?, 1, "+ weight-sheets/pixelkrov/new-one");
    see("heronlinkctl apply takes the folder", heronlinkctl(&["apply", &path]).await?, 0, "in-force");
    see("after which there is nothing to tell", heronlinkctl(&["diff", &path]).await?, 0, "");
    write("again.json", r#"{"weight-sheets": {"pixelkrov/new-one": {}}}"#)?;
    let twice = heronlinkctl(&["apply", &path]).await?;
    see("a resource declared twice is refused, with both files", twice, 2, "again.json and in");
    write("again.json", r#"{"weight-sheets": {"pixelkrov/other-one": {"tuning": {"target_usage": {"least": 7}}}}"#)?;
    see("a file that is no JSON is refused by name", heronlinkctl(&["diff", &path]).await?, 2, "again.json");
    write("again.json", r#"{"weight-sheets": {"pixelkrov/other-one": {"tuning": {"target_usage": {"least": 7}}}}}"#)?;
    let bound = heronlinkctl(&["--dry-run", "apply", &path]).await?;
    see("a tuning bound out of range is 422 with its path", bound, 1, "pixelkrov/other-one/tuning/target_usage/least");
    let bad = folder.join("cut.har");
    std::fs::write(&bad, "{\"log\": {").map_err(|fault| fault.to_string())?;
    let replay = ["replay", "--har", &bad.display().to_string(), "--targets", &fleet.routers[0].door];
    see("an archive that is cut is refused", run(order, "loadgen", &replay).await?, 2, "not a whole HTTP archive");
    let mistimed = ["prove", "--deployment", &order.deployment.display().to_string(), "--fault", "1:kill-router:77"];
    let scratch = order.folder.join("refused").display().to_string();
    let output = run(order, "fleet", &[&mistimed[..], &["--folder", &scratch]].concat()).await?;
    see("a timetable naming no node is refused before anything starts", output, 1, "there is no router 77");
    Ok(())
}
