//! Configuration of a fleet: its nodes, their addresses and their command lines.

use crate::command_line::{Mode, Options};
use crate::deployment::Deployment;
use crate::ports::reserve_ports;
use crate::processes::{Fleet, Node, OPERATOR_TOKEN};
use crate::relay::Relays;
use std::collections::BTreeSet;

/// Time for which the routers rely on each other's information without the registries, and for which a change
/// waits for routers that are gone.
const PEER_HOLD: &str = "10s";

impl Fleet {
    /// Reserves ports and builds the command line of every node; starts no process.
    pub fn configure(options: &Options, deployment: &Deployment) -> Result<Fleet, String> {
        let folder = options.folder.clone();
        std::fs::create_dir_all(folder.join("logs")).map_err(|error| format!("{}: {error}", folder.display()))?;
        let count = options.routers.unwrap_or(deployment.routers);
        let free = reserve_ports(&folder, 1 + 3 * 3 + count * 4)?;
        let mut free = free.into_iter();
        let mut port = || free.next().unwrap_or_default();
        let to_strings = |list: &[&str]| list.iter().map(|word| (*word).to_owned()).collect::<Vec<String>>();
        let emulator_address = port();
        let emulator = Node {
            name: "platform-emulator".into(),
            program: "platform-emulator",
            peer_address: emulator_address.clone(),
            bind_address: String::new(),
            client_address: String::new(),
            ops_address: emulator_address.clone(),
            arguments: to_strings(&[
                "--address",
                &emulator_address,
                "--services",
                &deployment.services.display().to_string(),
                "--record",
                &folder.join("runs.jsonl").display().to_string(),
                "--workers",
                &deployment.workers.to_string(),
                "--memory-mb",
                &deployment.memory_mb.to_string(),
                "--seed",
                &options.seed.to_string(),
            ]),
            data_folder: None,
        };
        let registry_addresses: Vec<(String, String, String)> = (0..3).map(|_| (port(), port(), port())).collect();
        let seeds = registry_addresses.iter().map(|(peer, ..)| peer.clone()).collect::<Vec<_>>().join(",");
        let zone = |n: usize| deployment.zones[n % deployment.zones.len().max(1)].clone();
        let tokens = folder.join("tokens");
        std::fs::write(
            &tokens,
            format!("# of a fleet on one machine\n*={OPERATOR_TOKEN}\npixelkrov=tenant-token-of-pixelkrov\n"),
        )
        .map_err(|error| format!("{}: {error}", tokens.display()))?;
        let tokens = tokens.display().to_string();
        let registries = registry_addresses.iter().enumerate().map(|(n, (peer, api, bind))| {
            let data = folder.join(format!("registry-{n}"));
            Node {
                name: format!("registry-{n}"),
                program: "registry",
                peer_address: peer.clone(),
                bind_address: bind.clone(),
                client_address: api.clone(),
                ops_address: api.clone(),
                arguments: to_strings(&[
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
                    &options.plans.to_string(),
                    "--tuning",
                    &options.tuning.to_string(),
                ]),
                data_folder: Some(data),
            }
        });
        let registries: Vec<Node> = registries.collect();
        let routers = (0..count).map(|n| {
            let (peer, client_address, ops_address, bind) = (port(), port(), port(), port());
            Node {
                name: format!("router-{n}"),
                program: "router",
                arguments: to_strings(&[
                    "--cluster",
                    &deployment.cluster,
                    "--zone",
                    &zone(n),
                    "--address",
                    &peer,
                    "--bind",
                    &bind,
                    "--listen",
                    &client_address,
                    "--ops",
                    &ops_address,
                    "--seeds",
                    &seeds,
                    "--platform",
                    &emulator_address,
                    "--tokens-file",
                    &tokens,
                    "--peer-hold",
                    PEER_HOLD,
                ]),
                peer_address: peer,
                bind_address: bind,
                client_address,
                ops_address,
                data_folder: None,
            }
        });
        let mut routers: Vec<Node> = routers.collect();
        let mut registries = registries;
        if [Mode::Soak, Mode::Stops].contains(&options.mode) {
            let grace = format!("{}ms", crate::process_monitor::STOP_GRACE.as_millis());
            let nodes = routers.iter_mut().chain(&mut registries);
            nodes.for_each(|node| node.arguments.extend(["--grace".to_owned(), grace.clone()]));
        }
        Ok(Fleet {
            emulator,
            registries,
            routers,
            running: Vec::new(),
            folder,
            programs: options.programs.clone(),
            other_programs: options.other_programs.clone(),
            relays: Relays::new(&deployment.cluster),
            exits: Vec::new(),
            told_to_stop: BTreeSet::new(),
        })
    }
}
