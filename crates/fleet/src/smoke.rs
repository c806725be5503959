//! The smoke: a small fleet, and what a caller or operator would try first on it, right and wrong,
//! with one registry lost and one router leaving on the way. It waits on conditions only.

use crate::bring_up::{bring_up, until};
use crate::deployment::Deployment;
use crate::line::Order;
use crate::processes::{Fleet, Node, TOKEN};

use crate::smoke_views::{declarations, views};
use hyper::Method;
use operator_client::{Answer, Call, send_call};
use serde_json::{Value, json};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};
use tokio::time::sleep;

pub const TENANT: &str = "tenant-token-of-pixelkrov";
const PATIENCE: Duration = Duration::from_secs(40);

pub struct Smoke {
    passed: usize,
    faults: Vec<String>,
}

impl Smoke {
    pub fn see(&mut self, what: &str, good: bool, told: impl std::fmt::Display) {
        if good {
            self.passed += 1;
            println!("ok: {what}");
        } else {
            println!("FAULT: {what}: {told}");
            self.faults.push(what.to_owned());
        }
    }

    pub async fn status(&mut self, what: &str, call: Call, wanted: u16) -> Option<Answer> {
        match send_call(&call).await {
            Ok(answer) => {
                let told = format!("{} {}", answer.status, String::from_utf8_lossy(&answer.body));
                self.see(what, answer.status == wanted, told);
                Some(answer)
            }
            Err(told) => {
                self.see(what, false, told);
                None
            }
        }
    }
}

pub async fn run(order: &Order, deployment: &Deployment, fleet: &mut Fleet) -> Result<bool, String> {
    let mut smoke = Smoke { passed: 0, faults: Vec::new() };
    settings(order, &mut smoke)?;
    bring_up(deployment, fleet).await?;
    callers(fleet, &mut smoke).await;
    operators(fleet, &mut smoke).await;
    views(fleet, &mut smoke).await;
    let whole = std::fs::read_to_string(&deployment.configuration).map_err(|fault| fault.to_string())?;
    declarations(order, fleet, &mut smoke, &whole).await?;
    losses(fleet, &mut smoke).await?;
    println!("{} passed, {} failed", smoke.passed, smoke.faults.len());
    Ok(smoke.faults.is_empty())
}

fn settings(order: &Order, smoke: &mut Smoke) -> Result<(), String> {
    let run = |program: &str, words: &[&str]| {
        let output = Command::new(order.programs.join(program)).args(words).stdin(Stdio::null()).output();
        output.map_err(|fault| format!("{program}: {fault}"))
    };
    for (program, words, code, told) in [
        ("registry", vec!["--address", "nowhere"], 2, "setting address = nowhere"),
        ("registry", vec!["--adress", "127.0.0.1:1"], 2, "no flag --adress"),
        ("router", vec!["--hold", "1ms", "--address", "127.0.0.1:1"], 2, "setting"),
        ("router", vec!["--version"], 0, "router"),
        ("heronlinkctl", vec!["--api", "127.0.0.1:1"], 2, "say a command"),
        ("loadgen", vec!["load", "--targets", "192.0.2.1:80"], 2, "loopback"),
    ] {
        let output = run(program, &words)?;
        let text = format!("{}{}", String::from_utf8_lossy(&output.stdout), String::from_utf8_lossy(&output.stderr));
        let good = output.status.code() == Some(code) && text.contains(told);
        smoke.see(&format!("{program} {} says {told} and ends with {code}", words.join(" ")), good, text);
    }
    let seeds = "127.0.0.1:1,127.0.0.1:2,127.0.0.1:3";
    let words =
        ["--check", "--address", "127.0.0.1:1", "--api", "127.0.0.1:2", "--seeds", seeds, "--data", "/nowhere/at/all"];
    let output = run("registry", &words)?;
    smoke.see("--check opens nothing", output.status.success(), String::from_utf8_lossy(&output.stderr));
    Ok(())
}

fn to(node: &Node, method: Method, path: &str, body: &str) -> Call {
    Call {
        method,
        address: node.door.clone(),
        path: path.into(),
        body: body.as_bytes().to_vec(),
        limit: Duration::from_secs(15),
        ..Call::default()
    }
}

async fn callers(fleet: &Fleet, smoke: &mut Smoke) {
    let (one, two) = (&fleet.routers[0], &fleet.routers[1]);
    let post = |node: &Node, path: &str, body: &str| to(node, Method::POST, path, body);
    smoke.status("a sleeping function is woken and answers", post(one, "/pixelkrov/saves", "s"), 200).await;
    smoke.status("an unknown route is 404", post(one, "/nowhere", ""), 404).await;
    smoke.status("a body too long is 413", post(one, "/pixelkrov/saves", &"x".repeat(300 * 1024)), 413).await;
    let long = format!("/pixelkrov/saves?{}", "q".repeat(60 * 1024));
    let answer = send_call(&post(one, &long, "")).await;
    smoke.see(
        "a head too long is 431 or 414",
        matches!(&answer, Ok(a) if [431, 414].contains(&a.status)),
        format!("{answer:?}"),
    );
    let keyed = |node: &Node, body: &str| {
        let mut call = post(node, "/pixelkrov/trades", body);
        call.headers = vec![("idempotency-key".into(), "smoke-1".into()), ("x-task".into(), "smoke-1#1".into())];
        call
    };
    let first = smoke.status("a trade is answered", keyed(one, "gives 3"), 200).await;
    let again = smoke.status("its repeat at another router too", keyed(two, "gives 3"), 200).await;
    let same = first.is_some() && first.map(|a| a.body) == again.map(|a| a.body);
    smoke.see("with the very same answer", same, "bodies differ");
    smoke.status("another body under the same key is 422", keyed(two, "gives 4"), 422).await;
    let mut later = post(two, "/pixelkrov/backups", "b");
    later.headers = vec![("prefer".into(), "respond-async".into()), ("x-task".into(), "smoke-b#1".into())];
    let Some(accepted) = smoke.status("a backup is accepted", later, 202).await else { return };
    let told: Value = serde_json::from_slice(&accepted.body).unwrap_or_default();
    let path = told["status"].as_str().unwrap_or("/.heron/tasks/none").to_owned();
    let begun = Instant::now();
    let mut last = String::new();
    while begun.elapsed() < PATIENCE && !last.contains("body=b") {
        if let Ok(answer) = send_call(&to(one, Method::GET, &path, "")).await {
            last = String::from_utf8_lossy(&answer.body).into_owned();
        }
        sleep(Duration::from_millis(100)).await;
    }
    smoke.see("and its answer is found at its status address", last.contains("body=b"), last);
}

async fn operators(fleet: &Fleet, smoke: &mut Smoke) {
    let (one, two) = (&fleet.registries[0], &fleet.registries[1]);
    let change = |node: &Node, token: &str, tag: Option<&str>, body: Value| {
        let mut call = to(node, Method::PATCH, "/v1/configuration", &body.to_string());
        call.token = token.into();
        call.if_match = tag.map(str::to_owned);
        call
    };
    let plan = |key: &str, min: u32| json!({"set": {key: {"min": min}}});
    let own = "headcount-plans/pixelkrov/saves";
    smoke.status("no token is 401", change(one, "wrong", Some("*"), plan(own, 1)), 401).await;
    smoke.status("no If-Match is 428", change(one, TOKEN, None, plan(own, 1)), 428).await;
    let first = smoke.status("a change is in force", change(one, TOKEN, Some("*"), plan(own, 1)), 200).await;
    let revision = first.and_then(|answer| answer.revision).unwrap_or_default();
    let stale = (revision - 1).to_string();
    smoke.status("a stale revision is 412", change(two, TOKEN, Some(&stale), plan(own, 2)), 412).await;
    smoke
        .status(
            "another tenant's resource is 403",
            change(two, TENANT, Some("*"), plan("headcount-plans/studio-01/rules", 1)),
            403,
        )
        .await;
    let taken = json!({"set": {"function-bindings/pixelkrov/x": {"route": "/studio-01/rules", "function": "x", "class": "once"}}});
    smoke.status("another tenant's route is 409", change(two, TENANT, Some("*"), taken), 409).await;
    let bad = json!({"set": {"function-bindings/pixelkrov/x": {"route": "x", "function": "X Y", "class": "once"}}});
    let faults = smoke.status("an invalid change is 422", change(two, TOKEN, Some("*"), bad), 422).await;
    let told = faults.map(|answer| String::from_utf8_lossy(&answer.body).into_owned()).unwrap_or_default();
    let both = told.contains("/pixelkrov/x/route") && told.contains("/pixelkrov/x/function");
    smoke.see("with every fault and its path", both, told);
    let mut read = to(two, Method::GET, "/v1/configuration", "");
    read.token = TOKEN.into();
    let back = smoke.status("the configuration is read back", read, 200).await;
    smoke.see("at the revision acknowledged", back.and_then(|answer| answer.revision) == Some(revision), revision);
}

async fn losses(fleet: &mut Fleet, smoke: &mut Smoke) -> Result<(), String> {
    let lost = fleet.registries[2].clone();
    fleet.signal(&lost.name, "KILL")?;
    let mut call = to(
        &fleet.registries[0],
        Method::PATCH,
        "/v1/configuration",
        r#"{"set":{"headcount-plans/pixelkrov/saves":{"min":0}}}"#,
    );
    call.token = TOKEN.into();
    call.if_match = Some("*".into());
    until("a change is in force with a registry lost", fleet, &call, |answer| answer.status == 200).await?;
    smoke.see("a change is in force with a registry lost", true, "");
    if let Some(data) = &lost.data {
        std::fs::remove_dir_all(data).map_err(|fault| fault.to_string())?;
    }
    fleet.reap();
    fleet.start(&lost)?;
    let mut status = to(&lost, Method::GET, "/v1/status", "");
    status.token = TOKEN.into();
    until("the emptied registry is whole in the chain again", fleet, &status, |answer| {
        let page: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
        page["view"]["chain"].as_array().is_some_and(|chain| chain.len() == 3) && page["view"]["fresh"].is_null()
    })
    .await?;
    smoke.see("an emptied registry copies and joins", true, "");
    let leaving = fleet.routers[0].name.clone();
    fleet.signal(&leaving, "TERM")?;
    let begun = Instant::now();
    let mut code = None;
    while code.is_none() && begun.elapsed() < PATIENCE {
        let answer = send_call(&to(&fleet.routers[1], Method::POST, "/pixelkrov/inventory", "i")).await;
        if !matches!(&answer, Ok(answer) if answer.status == 200) {
            smoke.see("tasks are answered while a router leaves", false, format!("{answer:?}"));
        }
        code = fleet.reap().into_iter().find(|(name, _)| *name == leaving).map(|(_, code)| code);
    }
    smoke.see("a router asked to leave goes with exit code 0", code == Some(Some(0)), format!("{code:?}"));
    Ok(())
}
