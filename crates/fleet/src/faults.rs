//! The schedule of faults and the injection of each.

use crate::processes::{Fleet, Node, OPERATOR_TOKEN, StartMode};
use hyper::Method;
use operator_client::{Call, send_call};
use serde_json::{Map, Value, json};
use std::time::Duration;

/// Timeout of a change at one registry, after which the next one is tried.
const PATCH_TIMEOUT: Duration = Duration::from_secs(15);

/// A fault, repair or change that is injected at a set time.
#[derive(Clone, Debug)]
pub struct ScheduledFault {
    /// Time since the start of the load.
    pub at: Duration,
    /// Kind, such as `kill-registry`.
    pub kind: String,
    /// Numbers of nodes or workers, links, shares or a name, depending on the kind.
    pub target: String,
}

/// Parses a list `AT:WHAT:WHICH[;..]`.
pub fn parse_faults(text: &str) -> Result<Vec<ScheduledFault>, String> {
    text.split(';').filter(|part| !part.is_empty()).map(parse_one).collect()
}

fn parse_one(text: &str) -> Result<ScheduledFault, String> {
    let invalid = || format!("--fault {text}: expected AT:WHAT:WHICH; see --help");
    let mut parts = text.trim().splitn(3, ':');
    let at: f64 = parts.next().and_then(|at| at.parse().ok()).ok_or_else(invalid)?;
    let kind = parts.next().ok_or_else(invalid)?.to_owned();
    let target = parts.next().unwrap_or_default().to_owned();
    let known = [
        "kill-registry",
        "stop-registry",
        "start-registry",
        "freeze-registry",
        "thaw-registry",
        "wipe-registry",
        "kill-router",
        "stop-router",
        "start-router",
        "roll-registry",
        "switch-registry",
        "switch-router",
        "roll-router",
        "fill-registry",
        "freeze-router",
        "thaw-router",
        "crash-worker",
        "drain-worker",
        "undrain-worker",
        "mischief",
        "patch",
        "cut",
        "cut-one-way",
        "heal",
    ];
    if !known.contains(&kind.as_str()) {
        return Err(invalid());
    }
    Ok(ScheduledFault { at: Duration::from_secs_f64(at), kind, target })
}

impl Fleet {
    /// Checks that every node and worker in the schedule exists, before any process is started.
    pub fn validate_targets(&self, faults: &[ScheduledFault], workers: i64) -> Result<(), String> {
        for fault in faults {
            let invalid = |target: &str| format!("--fault {}:{}: there is no {target}", fault.kind, fault.target);
            match fault.kind.split_once('-') {
                Some((_, node_kind @ ("registry" | "router"))) => {
                    for target in fault.target.split(',') {
                        let number = target.parse().map_err(|_| invalid(target))?;
                        self.find_node(node_kind, number).map_err(|_| invalid(&format!("{node_kind} {target}")))?;
                    }
                }
                Some((_, "worker")) => {
                    let known = fault.target.parse::<i64>().is_ok_and(|number| (0..workers).contains(&number));
                    known.then_some(()).ok_or_else(|| invalid(&format!("worker {}", fault.target)))?;
                }
                _ if fault.kind.starts_with("cut") => {
                    let nodes = || self.registries.iter().chain(&self.routers);
                    for name in fault.target.split(['/', '+']).filter(|name| !name.is_empty()) {
                        nodes().any(|node| node.name == name).then_some(()).ok_or_else(|| invalid(name))?;
                    }
                }
                _ => {}
            }
        }
        Ok(())
    }

    /// Injects a fault now.
    pub async fn inject(&mut self, fault: &ScheduledFault) -> Result<(), String> {
        println!("fault: {} {}", fault.kind, fault.target);
        match fault.kind.as_str() {
            "crash-worker" | "drain-worker" | "undrain-worker" => {
                let order = fault.kind.trim_end_matches("-worker");
                self.call_platform(&format!("/v1/workers/{}/{order}", fault.target), Value::Null).await
            }
            "mischief" => {
                let mut shares = Map::new();
                for part in fault.target.split(',').filter(|part| !part.is_empty()) {
                    if let Some((name, share)) = part.split_once('=') {
                        shares.insert(name.to_owned(), json!(share.parse::<f64>().unwrap_or(0.0)));
                    }
                }
                self.call_platform("/v1/mischief", Value::Object(shares)).await
            }
            "cut" => {
                self.relays.cut(&fault.target, false);
                Ok(())
            }
            "cut-one-way" => {
                self.relays.cut(&fault.target, true);
                Ok(())
            }
            "heal" => {
                self.relays.heal();
                Ok(())
            }
            "patch" => {
                // Runs in the background, because a registry that is asked may be frozen.
                let (registries, name) = (self.registries.clone(), fault.target.clone());
                tokio::task::spawn_local(async move { apply_patch(&registries, &name).await });
                Ok(())
            }
            kind => {
                let (verb, node_kind) = kind.split_once('-').unwrap_or_default();
                for number in fault.target.split(',') {
                    let number: usize = number.parse().map_err(|_| format!("{kind}:{number}: expected a number"))?;
                    self.act_on_node(verb, node_kind, number)?;
                }
                Ok(())
            }
        }
    }

    fn act_on_node(&mut self, verb: &str, node_kind: &str, number: usize) -> Result<(), String> {
        let node = self.find_node(node_kind, number)?;
        match verb {
            "kill" => {
                self.signal(&node.name, "KILL")?;
                // On a busy disk the exit takes a moment, and a node that still runs is not started again.
                self.wait_for_exit(&node.name);
                Ok(())
            }
            "stop" => self.signal(&node.name, "TERM"),
            "freeze" => self.signal(&node.name, "STOP"),
            "thaw" => self.signal(&node.name, "CONT"),
            "wipe" => match &node.data_folder {
                Some(data) => std::fs::remove_dir_all(data).map_err(|error| format!("{}: {error}", data.display())),
                None => Ok(()),
            },
            "roll" => self.start_in_mode(&node, StartMode::OtherOldestFormat),
            "switch" => self.start_in_mode(&node, StartMode::OtherNewestFormat),
            "fill" => {
                self.signal(&node.name, "KILL")?;
                self.wait_for_exit(&node.name);
                self.start_in_mode(&node, StartMode::DiskFull)
            }
            _ => self.start(&node),
        }
    }

    /// Sends an order to the platform emulator.
    pub async fn call_platform(&self, path: &str, body: Value) -> Result<(), String> {
        let call = Call {
            method: Method::POST,
            address: self.emulator.peer_address.clone(),
            path: path.into(),
            body: body.to_string().into_bytes(),
            timeout: Duration::from_secs(5),
            ..Call::default()
        };
        send_call(&call).await.map(drop).map_err(|error| error.to_string())
    }
}

/// Applies a named change on the latest revision at the first registry that acknowledges it; returns the new
/// revision.
pub async fn apply_patch(registries: &[Node], name: &str) -> Option<u64> {
    let key = format!("headcount-plans/patched/{}", if name.is_empty() { "one" } else { name });
    let body = json!({"name": name, "set": {key: {"min": 0}}}).to_string().into_bytes();
    for registry in registries {
        let call = Call {
            method: Method::PATCH,
            address: registry.client_address.clone(),
            path: "/v1/configuration".into(),
            token: OPERATOR_TOKEN.into(),
            if_match: Some("*".into()),
            body: body.clone(),
            timeout: PATCH_TIMEOUT,
            ..Call::default()
        };
        if let Ok(answer) = send_call(&call).await
            && answer.status == 200
        {
            println!("patch {name}: revision {:?}", answer.revision);
            return answer.revision;
        }
    }
    println!("patch {name}: not acknowledged");
    None
}
