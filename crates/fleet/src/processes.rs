//! The processes of a fleet: where each listens, how it is started, and how it is ended by its
//! own id. Ports are asked of the machine, none is assumed to be free.

use crate::deployment::Deployment;
use crate::line::Order;
use crate::relay::Relays;
use std::fs::{File, OpenOptions};
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

pub const TOKEN: &str = "fleet-operator-token";

#[derive(Clone)]
pub struct Node {
    pub name: String,
    pub program: &'static str,
    pub peer: String,
    pub bind: String,
    pub door: String,
    pub ops: String,
    pub arguments: Vec<String>,
    pub data: Option<PathBuf>,
}

pub struct Fleet {
    pub yard: Node,
    pub registries: Vec<Node>,
    pub routers: Vec<Node>,
    pub running: Vec<(String, Child)>,
    pub folder: PathBuf,
    pub programs: PathBuf,
    pub relays: Relays,
}

/// Ports that are free now, below those the machine deals out to connections, so that none is
/// taken by one of ours before its node listens.
fn ports(count: usize) -> Result<Vec<String>, String> {
    let from = 10_000 + (std::process::id() as u16).wrapping_mul(97) % 18_000;
    let mut held = Vec::new();
    for port in (from..32_000).chain(10_000..from) {
        if held.len() == count {
            break;
        }
        held.extend(TcpListener::bind(("127.0.0.1", port)));
    }
    if held.len() < count {
        return Err(format!("{count} free ports are needed"));
    }
    held.iter().map(|l| l.local_addr().map(|a| a.to_string()).map_err(|fault| fault.to_string())).collect()
}

impl Fleet {
    pub fn draw_up(order: &Order, deployment: &Deployment) -> Result<Fleet, String> {
        let folder = order.folder.clone();
        std::fs::create_dir_all(folder.join("logs")).map_err(|fault| format!("{}: {fault}", folder.display()))?;
        let count = order.routers.unwrap_or(deployment.routers);
        let free = ports(1 + 3 * 3 + count * 4)?;
        let mut free = free.into_iter();
        let mut port = || free.next().unwrap_or_default();
        let words = |list: &[&str]| list.iter().map(|word| (*word).to_owned()).collect::<Vec<String>>();
        let platform = port();
        let yard = Node {
            name: "yard".into(),
            program: "yard",
            peer: platform.clone(),
            bind: String::new(),
            door: String::new(),
            ops: platform.clone(),
            arguments: words(&[
                "--address",
                &platform,
                "--services",
                &deployment.services.display().to_string(),
                "--record",
                &folder.join("runs.jsonl").display().to_string(),
                "--workers",
                &deployment.workers.to_string(),
                "--memory-mb",
                &deployment.memory_mb.to_string(),
                "--seed",
                &order.seed.to_string(),
            ]),
            data: None,
        };
        let seats: Vec<(String, String, String)> = (0..3).map(|_| (port(), port(), port())).collect();
        let seeds = seats.iter().map(|(peer, ..)| peer.clone()).collect::<Vec<_>>().join(",");
        let zone = |n: usize| deployment.zones[n % deployment.zones.len().max(1)].clone();
        let tokens = format!("*={TOKEN},pixelkrov=tenant-token-of-pixelkrov");
        let registries = seats.iter().enumerate().map(|(n, (peer, api, bind))| {
            let data = folder.join(format!("registry-{n}"));
            Node {
                name: format!("registry-{n}"),
                program: "registry",
                peer: peer.clone(),
                bind: bind.clone(),
                door: api.clone(),
                ops: api.clone(),
                arguments: words(&[
                    "--cluster",
                    &deployment.cluster,
                    "--zone",
                    &zone(n),
                    "--address",
                    peer,
                    "--bind",
                    bind,
                    "--api",
                    api,
                    "--seeds",
                    &seeds,
                    "--data",
                    &data.display().to_string(),
                    "--tokens",
                    &tokens,
                    "--plans",
                    &order.plans.to_string(),
                ]),
                data: Some(data),
            }
        });
        let registries: Vec<Node> = registries.collect();
        let routers = (0..count).map(|n| {
            let (peer, door, ops, bind) = (port(), port(), port(), port());
            Node {
                name: format!("router-{n}"),
                program: "router",
                arguments: words(&[
                    "--cluster",
                    &deployment.cluster,
                    "--zone",
                    &zone(n),
                    "--address",
                    &peer,
                    "--bind",
                    &bind,
                    "--listen",
                    &door,
                    "--ops",
                    &ops,
                    "--seeds",
                    &seeds,
                    "--platform",
                    &platform,
                ]),
                peer,
                bind,
                door,
                ops,
                data: None,
            }
        });
        let routers: Vec<Node> = routers.collect();
        Ok(Fleet {
            yard,
            registries,
            routers,
            running: Vec::new(),
            folder,
            programs: order.programs.clone(),
            relays: Relays::new(&deployment.cluster),
        })
    }

    /// Opens each node's relay, at the address the others dial.
    pub async fn open_relays(&self) -> Result<(), String> {
        for node in self.registries.iter().chain(&self.routers) {
            self.relays.open(&node.name, &node.peer, &node.bind).await?;
        }
        Ok(())
    }

    pub fn node(&self, kind: &str, number: usize) -> Result<Node, String> {
        let list = if kind == "registry" { &self.registries } else { &self.routers };
        list.get(number).cloned().ok_or_else(|| format!("there is no {kind} {number}"))
    }

    fn log(&self, name: &str) -> Result<File, String> {
        let path = self.folder.join("logs").join(format!("{name}.log"));
        OpenOptions::new().create(true).append(true).open(&path).map_err(|fault| format!("{}: {fault}", path.display()))
    }

    pub fn start(&mut self, node: &Node) -> Result<(), String> {
        self.reap();
        if self.running.iter().any(|(name, _)| *name == node.name) {
            return Ok(());
        }
        let path = self.programs.join(node.program);
        let child = Command::new(&path)
            .args(&node.arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(self.log(&node.name)?)
            .spawn()
            .map_err(|fault| format!("{}: {fault}", path.display()))?;
        self.running.push((node.name.clone(), child));
        Ok(())
    }

    pub fn reap(&mut self) -> Vec<(String, Option<i32>)> {
        let mut ended = Vec::new();
        self.running.retain_mut(|(name, child)| match child.try_wait() {
            Ok(Some(status)) => {
                ended.push((name.clone(), status.code()));
                false
            }
            _ => true,
        });
        ended
    }

    /// Sends a signal, by its name, to one process this runner started.
    pub fn signal(&mut self, name: &str, signal: &str) -> Result<(), String> {
        let Some((_, child)) = self.running.iter().find(|(known, _)| known == name) else { return Ok(()) };
        let status = Command::new("kill").arg(format!("-{signal}")).arg(child.id().to_string()).status();
        status.map(drop).map_err(|fault| format!("kill: {fault}"))
    }

    pub async fn end_all(&mut self) {
        let names: Vec<String> = self.running.iter().map(|(name, _)| name.clone()).collect();
        for name in names.iter().rev() {
            let _ = self.signal(name, "CONT");
            let _ = self.signal(name, "TERM");
        }
        for _ in 0..100 {
            self.reap();
            if self.running.is_empty() {
                return;
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
            if self.running.iter().all(|(name, _)| name == "yard") {
                break;
            }
        }
        for (_, child) in &mut self.running {
            let _ = child.kill();
            let _ = child.wait();
        }
        self.running.clear();
    }
}
