//! Smoke test of a small fleet: basic valid and invalid calls of callers and operators, the loss of one registry
//! and the planned stop of one router. It waits only for conditions, never for fixed times.

use crate::command_line::Options;
use crate::deployment::Deployment;
use crate::processes::{Fleet, Node, OPERATOR_TOKEN};
use crate::startup::{start_fleet, wait_until};

use crate::smoke_views::{check_declarations, check_views};
use hyper::Method;
use operator_client::{Answer, Call, send_call};
use serde_json::{Value, json};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Token of an operator with access to a single tenant.
pub const TENANT_TOKEN: &str = "tenant-token-of-pixelkrov";
const CONDITION_TIMEOUT: Duration = Duration::from_secs(40);

/// Results of the checks so far.
pub struct Smoke {
    passed: usize,
    failures: Vec<String>,
}

impl Smoke {
    /// Records and prints the result of a check.
    pub fn check(&mut self, what: &str, passed: bool, details: impl std::fmt::Display) {
        if passed {
            self.passed += 1;
            println!("ok: {what}");
        } else {
            println!("FAULT: {what}: {details}");
            self.failures.push(what.to_owned());
        }
    }

    /// Sends a call and checks the status of its answer.
    pub async fn check_status(&mut self, what: &str, call: Call, wanted: u16) -> Option<Answer> {
        match send_call(&call).await {
            Ok(answer) => {
                let details = format!("{} {}", answer.status, String::from_utf8_lossy(&answer.body));
                self.check(what, answer.status == wanted, details);
                Some(answer)
            }
            Err(details) => {
                self.check(what, false, details);
                None
            }
        }
    }
}

/// Runs all checks; returns whether all passed.
pub async fn run(options: &Options, deployment: &Deployment, fleet: &mut Fleet) -> Result<bool, String> {
    let mut smoke = Smoke { passed: 0, failures: Vec::new() };
    check_settings(options, &mut smoke)?;
    start_fleet(deployment, fleet).await?;
    check_callers(fleet, &mut smoke).await;
    check_operators(fleet, &mut smoke).await;
    check_views(fleet, &mut smoke).await;
    let whole = std::fs::read_to_string(&deployment.configuration).map_err(|error| error.to_string())?;
    check_declarations(options, fleet, &mut smoke, &whole).await?;
    check_losses(fleet, &mut smoke).await?;
    println!("{} passed, {} failed", smoke.passed, smoke.failures.len());
    Ok(smoke.failures.is_empty())
}

fn check_settings(options: &Options, smoke: &mut Smoke) -> Result<(), String> {
    let run = |program: &str, words: &[&str]| {
        let output = Command::new(options.programs.join(program)).args(words).stdin(Stdio::null()).output();
        output.map_err(|error| format!("{program}: {error}"))
    };
    for (program, words, code, expected) in [
        ("registry", vec!["--address", "nowhere"], 2, "setting address = nowhere"),
        ("registry", vec!["--adress", "127.0.0.1:1"], 2, "no flag --adress"),
        ("router", vec!["--hold", "1ms", "--address", "127.0.0.1:1"], 2, "setting"),
        ("router", vec!["--version"], 0, "router"),
        ("heronlinkctl", vec!["--api", "127.0.0.1:1"], 2, "expected a command"),
        ("loadgen", vec!["load", "--targets", "192.0.2.1:80"], 2, "loopback"),
    ] {
        let output = run(program, &words)?;
        let text = format!("{}{}", String::from_utf8_lossy(&output.stdout), String::from_utf8_lossy(&output.stderr));
        let passed = output.status.code() == Some(code) && text.contains(expected);
        smoke.check(&format!("{program} {} says {expected} and ends with {code}", words.join(" ")), passed, text);
    }
    let seeds = "127.0.0.1:1,127.0.0.1:2,127.0.0.1:3";
    let words =
        ["--check", "--address", "127.0.0.1:1", "--api", "127.0.0.1:2", "--seeds", seeds, "--data", "/nowhere/at/all"];
    let output = run("registry", &words)?;
    smoke.check("--check opens no file", output.status.success(), String::from_utf8_lossy(&output.stderr));
    Ok(())
}

fn call_to(node: &Node, method: Method, path: &str, body: &str) -> Call {
    Call {
        method,
        address: node.client_address.clone(),
        path: path.into(),
        body: body.as_bytes().to_vec(),
        timeout: Duration::from_secs(15),
        ..Call::default()
    }
}

async fn check_callers(fleet: &Fleet, smoke: &mut Smoke) {
    let (one, two) = (&fleet.routers[0], &fleet.routers[1]);
    let post = |node: &Node, path: &str, body: &str| call_to(node, Method::POST, path, body);
    smoke.check_status("an idle function is started and answers", post(one, "/pixelkrov/saves", "s"), 200).await;
    smoke.check_status("an unknown route is 404", post(one, "/nowhere", ""), 404).await;
    smoke
        .check_status("a body that is too long is 413", post(one, "/pixelkrov/saves", &"x".repeat(300 * 1024)), 413)
        .await;
    let long = format!("/pixelkrov/saves?{}", "q".repeat(60 * 1024));
    let answer = send_call(&post(one, &long, "")).await;
    smoke.check(
        "a head that is too long is 431 or 414",
        matches!(&answer, Ok(a) if [431, 414].contains(&a.status)),
        format!("{answer:?}"),
    );
    let keyed = |node: &Node, body: &str| {
        let mut call = post(node, "/pixelkrov/trades", body);
        call.headers = vec![("idempotency-key".into(), "smoke-1".into()), ("x-task".into(), "smoke-1#1".into())];
        call
    };
    let first = smoke.check_status("a trade is answered", keyed(one, "gives 3"), 200).await;
    let again = smoke.check_status("its repeat at another router is answered", keyed(two, "gives 3"), 200).await;
    let same = first.is_some() && first.map(|a| a.body) == again.map(|a| a.body);
    smoke.check("the repeat has the same answer", same, "bodies differ");
    smoke.check_status("another body under the same key is 422", keyed(two, "gives 4"), 422).await;
    let mut later = post(two, "/pixelkrov/backups", "b");
    later.headers = vec![("prefer".into(), "respond-async".into()), ("x-task".into(), "smoke-b#1".into())];
    let Some(accepted) = smoke.check_status("a backup is accepted", later, 202).await else { return };
    let page: Value = serde_json::from_slice(&accepted.body).unwrap_or_default();
    let path = page["status"].as_str().unwrap_or("/.heron/tasks/none").to_owned();
    let started = Instant::now();
    let mut last = String::new();
    while started.elapsed() < CONDITION_TIMEOUT && !last.contains("body=b") {
        if let Ok(answer) = send_call(&call_to(one, Method::GET, &path, "")).await {
            last = String::from_utf8_lossy(&answer.body).into_owned();
        }
        sleep(Duration::from_millis(100)).await;
    }
    smoke.check("the answer of the backup is at its status address", last.contains("body=b"), last);
}

async fn check_operators(fleet: &Fleet, smoke: &mut Smoke) {
    let (one, two) = (&fleet.registries[0], &fleet.registries[1]);
    let change = |node: &Node, token: &str, tag: Option<&str>, body: Value| {
        let mut call = call_to(node, Method::PATCH, "/v1/configuration", &body.to_string());
        call.token = token.into();
        call.if_match = tag.map(str::to_owned);
        call
    };
    let plan = |key: &str, min: u32| json!({"set": {key: {"min": min}}});
    let own = "headcount-plans/pixelkrov/saves";
    smoke.check_status("no token is 401", change(one, "wrong", Some("*"), plan(own, 1)), 401).await;
    smoke.check_status("no If-Match is 428", change(one, OPERATOR_TOKEN, None, plan(own, 1)), 428).await;
    let first =
        smoke.check_status("a change is in force", change(one, OPERATOR_TOKEN, Some("*"), plan(own, 1)), 200).await;
    let revision = first.and_then(|answer| answer.revision).unwrap_or_default();
    let stale = (revision - 1).to_string();
    smoke.check_status("a stale revision is 412", change(two, OPERATOR_TOKEN, Some(&stale), plan(own, 2)), 412).await;
    smoke
        .check_status(
            "another tenant's resource is 403",
            change(two, TENANT_TOKEN, Some("*"), plan("headcount-plans/studio-01/rules", 1)),
            403,
        )
        .await;
    let taken = json!({"set": {"function-bindings/pixelkrov/x": {"route": "/studio-01/rules", "function": "x", "class": "once"}}});
    smoke.check_status("another tenant's route is 409", change(two, TENANT_TOKEN, Some("*"), taken), 409).await;
    let bad = json!({"set": {"function-bindings/pixelkrov/x": {"route": "x", "function": "X Y", "class": "once"}}});
    let refusal =
        smoke.check_status("an invalid change is 422", change(two, OPERATOR_TOKEN, Some("*"), bad), 422).await;
    let details = refusal.map(|answer| String::from_utf8_lossy(&answer.body).into_owned()).unwrap_or_default();
    let both = details.contains("/pixelkrov/x/route") && details.contains("/pixelkrov/x/function");
    smoke.check("the answer lists every fault with its path", both, details);
    let mut read = call_to(two, Method::GET, "/v1/configuration", "");
    read.token = OPERATOR_TOKEN.into();
    let back = smoke.check_status("the configuration is read back", read, 200).await;
    smoke.check(
        "it is read back at the acknowledged revision",
        back.and_then(|answer| answer.revision) == Some(revision),
        revision,
    );
}

async fn check_losses(fleet: &mut Fleet, smoke: &mut Smoke) -> Result<(), String> {
    let lost = fleet.registries[2].clone();
    fleet.signal(&lost.name, "KILL")?;
    let mut call = call_to(
        &fleet.registries[0],
        Method::PATCH,
        "/v1/configuration",
        r#"{"set":{"headcount-plans/pixelkrov/saves":{"min":0}}}"#,
    );
    call.token = OPERATOR_TOKEN.into();
    call.if_match = Some("*".into());
    wait_until("a change is in force with a registry lost", fleet, &call, |answer| answer.status == 200).await?;
    smoke.check("a change is in force with a registry lost", true, "");
    if let Some(data) = &lost.data_folder {
        std::fs::remove_dir_all(data).map_err(|error| error.to_string())?;
    }
    fleet.reap();
    fleet.start(&lost)?;
    let mut status_call = call_to(&lost, Method::GET, "/v1/status", "");
    status_call.token = OPERATOR_TOKEN.into();
    wait_until("the wiped registry is a full member of the chain again", fleet, &status_call, |answer| {
        let page: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
        page["view"]["chain"].as_array().is_some_and(|chain| chain.len() == 3) && page["view"]["fresh"].is_null()
    })
    .await?;
    smoke.check("a wiped registry copies the state and joins", true, "");
    let leaving = fleet.routers[0].name.clone();
    fleet.signal(&leaving, "TERM")?;
    let started = Instant::now();
    let mut code = None;
    while code.is_none() && started.elapsed() < CONDITION_TIMEOUT {
        let answer = send_call(&call_to(&fleet.routers[1], Method::POST, "/pixelkrov/inventory", "i")).await;
        if !matches!(&answer, Ok(answer) if answer.status == 200) {
            smoke.check("tasks are answered while a router stops", false, format!("{answer:?}"));
        }
        code = fleet.reap().into_iter().find(|(name, _)| *name == leaving).map(|(_, code)| code);
    }
    smoke.check("a router told to stop exits with code 0", code == Some(Some(0)), format!("{code:?}"));
    Ok(())
}
