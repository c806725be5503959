//! The timetable of faults and how each is brought about.

use crate::processes::{Fleet, Node, Start, TOKEN};
use hyper::Method;
use operator_client::{Call, send_call};
use serde_json::{Map, Value, json};
use std::time::Duration;

/// How long a change may take at one registry before another is asked.
const PATCH_LIMIT: Duration = Duration::from_secs(15);

#[derive(Clone, Debug)]
pub struct Timed {
    pub at: Duration,
    pub what: String,
    pub which: String,
}

pub fn parse_faults(words: &str) -> Result<Vec<Timed>, String> {
    words.split(';').filter(|part| !part.is_empty()).map(parse_one).collect()
}

fn parse_one(words: &str) -> Result<Timed, String> {
    let wrong = || format!("--fault {words}: allowed is AT:WHAT:WHICH, see --help");
    let mut parts = words.trim().splitn(3, ':');
    let at: f64 = parts.next().and_then(|at| at.parse().ok()).ok_or_else(wrong)?;
    let what = parts.next().ok_or_else(wrong)?.to_owned();
    let which = parts.next().unwrap_or_default().to_owned();
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
    if !known.contains(&what.as_str()) {
        return Err(wrong());
    }
    Ok(Timed { at: Duration::from_secs_f64(at), what, which })
}

impl Fleet {
    /// Whether every node and worker the timetable names is there, before anything is started.
    pub fn knows(&self, faults: &[Timed], workers: i64) -> Result<(), String> {
        for fault in faults {
            let wrong = |which: &str| format!("--fault {}:{}: there is no {which}", fault.what, fault.which);
            match fault.what.split_once('-') {
                Some((_, kind @ ("registry" | "router"))) => {
                    for which in fault.which.split(',') {
                        let number = which.parse().map_err(|_| wrong(which))?;
                        self.node(kind, number).map_err(|_| wrong(&format!("{kind} {which}")))?;
                    }
                }
                Some((_, "worker")) => {
                    let known = fault.which.parse::<i64>().is_ok_and(|number| (0..workers).contains(&number));
                    known.then_some(()).ok_or_else(|| wrong(&format!("worker {}", fault.which)))?;
                }
                _ if fault.what.starts_with("cut") => {
                    let nodes = || self.registries.iter().chain(&self.routers);
                    for name in fault.which.split(['/', '+']).filter(|name| !name.is_empty()) {
                        nodes().any(|node| node.name == name).then_some(()).ok_or_else(|| wrong(name))?;
                    }
                }
                _ => {}
            }
        }
        Ok(())
    }

    pub async fn bring_about(&mut self, fault: &Timed) -> Result<(), String> {
        println!("fault: {} {}", fault.what, fault.which);
        match fault.what.as_str() {
            "crash-worker" | "drain-worker" | "undrain-worker" => {
                let order = fault.what.trim_end_matches("-worker");
                self.platform(&format!("/v1/workers/{}/{order}", fault.which), Value::Null).await
            }
            "mischief" => {
                let mut shares = Map::new();
                for part in fault.which.split(',').filter(|part| !part.is_empty()) {
                    if let Some((name, share)) = part.split_once('=') {
                        shares.insert(name.to_owned(), json!(share.parse::<f64>().unwrap_or(0.0)));
                    }
                }
                self.platform("/v1/mischief", Value::Object(shares)).await
            }
            "cut" => {
                self.relays.cut(&fault.which, false);
                Ok(())
            }
            "cut-one-way" => {
                self.relays.cut(&fault.which, true);
                Ok(())
            }
            "heal" => {
                self.relays.heal();
                Ok(())
            }
            "patch" => {
                // The timetable goes on meanwhile: a registry that is asked may be frozen.
                let (registries, name) = (self.registries.clone(), fault.which.clone());
                tokio::task::spawn_local(async move { patch(&registries, &name).await });
                Ok(())
            }
            what => {
                let (verb, kind) = what.split_once('-').unwrap_or_default();
                for number in fault.which.split(',') {
                    let number: usize = number.parse().map_err(|_| format!("{what}:{number}: allowed is a number"))?;
                    self.one(verb, kind, number)?;
                }
                Ok(())
            }
        }
    }

    fn one(&mut self, verb: &str, kind: &str, number: usize) -> Result<(), String> {
        let node = self.node(kind, number)?;
        match verb {
            "kill" => {
                self.signal(&node.name, "KILL")?;
                // On a busy disk that takes a moment, and one that still runs is not started again.
                self.wait_for(&node.name);
                Ok(())
            }
            "stop" => self.signal(&node.name, "TERM"),
            "freeze" => self.signal(&node.name, "STOP"),
            "thaw" => self.signal(&node.name, "CONT"),
            "wipe" => match &node.data {
                Some(data) => std::fs::remove_dir_all(data).map_err(|fault| format!("{}: {fault}", data.display())),
                None => Ok(()),
            },
            "roll" => self.start_as(&node, Start::Other),
            "switch" => self.start_as(&node, Start::Switched),
            "fill" => {
                self.signal(&node.name, "KILL")?;
                self.wait_for(&node.name);
                self.start_as(&node, Start::Full)
            }
            _ => self.start(&node),
        }
    }

    pub async fn platform(&self, path: &str, body: Value) -> Result<(), String> {
        let call = Call {
            method: Method::POST,
            address: self.emulator.peer.clone(),
            path: path.into(),
            body: body.to_string().into_bytes(),
            limit: Duration::from_secs(5),
            ..Call::default()
        };
        send_call(&call).await.map(drop).map_err(|fault| fault.to_string())
    }
}

/// A named change, on whatever is the latest, at any registry that answers; returns the acknowledged revision.
pub async fn patch(registries: &[Node], name: &str) -> Option<u64> {
    let key = format!("headcount-plans/patched/{}", if name.is_empty() { "one" } else { name });
    let body = json!({"name": name, "set": {key: {"min": 0}}}).to_string().into_bytes();
    for registry in registries {
        let call = Call {
            method: Method::PATCH,
            address: registry.door.clone(),
            path: "/v1/configuration".into(),
            token: TOKEN.into(),
            if_match: Some("*".into()),
            body: body.clone(),
            limit: PATCH_LIMIT,
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
