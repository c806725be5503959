//! Drawing a fleet up: which nodes there are, where each listens and what it is told.

use crate::deployment::Deployment;
use crate::line::{Order, What};
use crate::ports::take_ports;
use crate::processes::{Fleet, Node, TOKEN};
use crate::relay::Relays;
use std::collections::BTreeSet;

/// How long its routers go by each other's word without the core, and a change waits for routers that are gone.
const PEER_HOLD: &str = "10s";

impl Fleet {
    pub fn draw_up(order: &Order, deployment: &Deployment) -> Result<Fleet, String> {
        let folder = order.folder.clone();
        std::fs::create_dir_all(folder.join("logs")).map_err(|fault| format!("{}: {fault}", folder.display()))?;
        let count = order.routers.unwrap_or(deployment.routers);
        let free = take_ports(&folder, 1 + 3 * 3 + count * 4)?;
        let mut free = free.into_iter();
        let mut port = || free.next().unwrap_or_default();
        let words = |list: &[&str]| list.iter().map(|word| (*word).to_owned()).collect::<Vec<String>>();
        let platform = port();
        let emulator = Node {
            name: "platform-emulator".into(),
            program: "platform-emulator",
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
        let tokens = folder.join("tokens");
        std::fs::write(
            &tokens,
            format!("# of a fleet on one machine\n*={TOKEN}\npixelkrov=tenant-token-of-pixelkrov\n"),
        )
        .map_err(|fault| format!("{}: {fault}", tokens.display()))?;
        let tokens = tokens.display().to_string();
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
                    "--tokens-file",
                    &tokens,
                    "--peer-hold",
                    PEER_HOLD,
                    "--plans",
                    &order.plans.to_string(),
                    "--tuning",
                    &order.tuning.to_string(),
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
                    "--tokens-file",
                    &tokens,
                    "--peer-hold",
                    PEER_HOLD,
                ]),
                peer,
                bind,
                door,
                ops,
                data: None,
            }
        });
        let mut routers: Vec<Node> = routers.collect();
        let mut registries = registries;
        if order.what == What::Soak {
            let grace = format!("{}ms", crate::watch::GRACE.as_millis());
            let nodes = routers.iter_mut().chain(&mut registries);
            nodes.for_each(|node| node.arguments.extend(["--grace".to_owned(), grace.clone()]));
        }
        Ok(Fleet {
            emulator,
            registries,
            routers,
            running: Vec::new(),
            folder,
            programs: order.programs.clone(),
            other: order.other.clone(),
            relays: Relays::new(&deployment.cluster),
            ended: Vec::new(),
            asked: BTreeSet::new(),
        })
    }
}
