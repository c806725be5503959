//! A hollow fleet put together: relays first, then the registries, the configuration, the real
//! routers and the node groups. Dropping it ends everything it started.

use crate::line::Order;
use crate::node::identity;
use crate::node_group::{self, NodeGroupOrder, Plan};
use crate::node_slot::{NodeMessage, NodeSlot};
use crate::opening::{Open, RelayView, Relayed, listen_all, on_thread, relay_thread};
use crate::processes::{CLUSTER, Process, REGISTRIES, TOKEN, address, registry, router, zone};
use hyper::Method;
use kernel::{InboxSender, inbox, local};
use operator_client::{Answer, Call, send_call};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::net::TcpListener;
use std::path::Path;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;
use tokio::time::sleep;

pub const PATIENCE: Duration = Duration::from_secs(240);
pub const PAUSE: Duration = Duration::from_millis(20);

pub struct Fleet {
    pub processes: Vec<Process>,
    pub groups: Vec<InboxSender<NodeGroupOrder>>,
    pub relays: Vec<InboxSender<oneshot::Sender<RelayView>>>,
    threads: Vec<JoinHandle<()>>,
    pub hollow: usize,
    pub total: usize,
    pub group_of: Vec<(usize, usize)>,
    pub zones: Vec<String>,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.processes.clear();
        self.groups.clear();
        self.relays.clear();
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

impl Fleet {
    pub async fn start(order: &Order, nodes: usize, folder: &Path) -> Result<Fleet, String> {
        let routers = order.routers;
        let hollow = nodes - routers;
        let (open, listeners) = listen_all(hollow, routers)?;
        let Open { drawn, relayed, platform } = open;
        let seeds: Vec<String> = drawn[..REGISTRIES].iter().map(|drawn| drawn.address.clone()).collect();
        let platform_address = address(&platform);
        let names: BTreeMap<String, String> = drawn.iter().map(|d| (d.address.clone(), d.name.clone())).collect();
        let mut fleet = Fleet {
            processes: Vec::new(),
            groups: Vec::new(),
            relays: Vec::new(),
            threads: Vec::new(),
            hollow,
            total: nodes,
            group_of: Vec::new(),
            zones: Vec::new(),
        };
        let mut platform = Some((platform, order.workload().page()));
        for (listener, drawn) in relayed.into_iter().zip(&drawn) {
            let (name, behind) = (drawn.name.clone(), drawn.behind.clone());
            let relayed = Relayed { names: names.clone(), listener, name, behind, platform: platform.take() };
            let (relay, looks) = inbox(16);
            fleet.relays.push(relay);
            fleet.threads.push(on_thread("relay", move || local(relay_thread(relayed, looks)))?);
        }
        let told = seeds.join(",");
        for (number, drawn) in drawn[..REGISTRIES].iter().enumerate() {
            fleet.processes.push(registry(order, folder, drawn, number, &told)?);
        }
        fleet.wait("a core", |page| page["current_tail"] == true).await?;
        let answer = fleet.call(Method::PUT, "/v1/configuration", order.workload().configuration()).await?;
        if answer.status != 200 {
            return Err(format!("the configuration: {} {}", answer.status, String::from_utf8_lossy(&answer.body)));
        }
        let workload = order.workload();
        for older in 0..order.older {
            let number = older % workload.functions;
            let body = json!({"set": {workload.key(number): workload.binding(number, 3999 - older as u32)}});
            let answer = fleet.call(Method::PATCH, "/v1/configuration", body.to_string().into_bytes()).await?;
            if answer.status != 200 {
                return Err(format!("an older change: {}", String::from_utf8_lossy(&answer.body)));
            }
        }
        for (number, drawn) in drawn[REGISTRIES..].iter().enumerate() {
            fleet.processes.push(router(order, folder, drawn, hollow + number, &told, &platform_address)?);
        }
        let routers = drawn[REGISTRIES..].iter().map(|d| (identity(CLUSTER, &d.address), d.name.clone()));
        fleet.start_wards(order, listeners, seeds, routers.collect())?;
        Ok(fleet)
    }

    fn start_wards(
        &mut self,
        order: &Order,
        listeners: Vec<TcpListener>,
        seeds: Vec<String>,
        routers: BTreeMap<u64, String>,
    ) -> Result<(), String> {
        let threads = order.threads.min(self.hollow);
        let mut peers = BTreeMap::new();
        let mut addresses = BTreeSet::new();
        let mut parts: Vec<Vec<NodeSlot>> = (0..threads).map(|_| Vec::new()).collect();
        for (number, listener) in listeners.into_iter().enumerate() {
            listener.set_nonblocking(true).map_err(|error| error.to_string())?;
            let address = address(&listener);
            let id = identity(CLUSTER, &address);
            let (post, taken) = inbox::<NodeMessage>(16_384);
            peers.insert(id, post);
            addresses.insert(address.clone());
            let zone = zone(number, order.zones);
            self.zones.push(zone.clone());
            let group = number % threads;
            self.group_of.push((group, parts[group].len()));
            parts[group].push(NodeSlot { id, address, zone, listener, inbox: taken });
        }
        let (peers, addresses, routers) = (Arc::new(peers), Arc::new(addresses), Arc::new(routers));
        for (number, slots) in parts.into_iter().enumerate() {
            let plan = Plan {
                cluster: CLUSTER.into(),
                seeds: seeds.clone(),
                workload: order.workload(),
                mesh: order.mesh,
                start_every: Duration::from_millis(order.join_ms * threads as u64),
                peers: peers.clone(),
                addresses: addresses.clone(),
                routers: routers.clone(),
            };
            let (post, orders) = inbox(64);
            self.groups.push(post);
            self.threads
                .push(on_thread(&format!("ward-{number}"), move || local(node_group::run(plan, slots, orders)))?);
        }
        Ok(())
    }

    pub async fn call(&self, method: Method, path: &str, body: Vec<u8>) -> Result<Answer, String> {
        let call = Call {
            method,
            address: self.processes[0].api.clone(),
            path: path.into(),
            token: TOKEN.into(),
            if_match: Some("*".into()),
            body,
            limit: Duration::from_secs(20),
            ..Call::default()
        };
        send_call(&call).await.map_err(|error| error.to_string())
    }

    /// Each registry's own page, empty where it does not answer.
    pub async fn pages(&self) -> Vec<Value> {
        let mut pages = Vec::new();
        for process in &self.processes[..REGISTRIES] {
            let call = Call {
                address: process.api.clone(),
                path: "/v1/status".into(),
                token: TOKEN.into(),
                limit: Duration::from_secs(3),
                ..Call::default()
            };
            let page = send_call(&call).await.ok().and_then(|answer| serde_json::from_slice(&answer.body).ok());
            pages.push(page.unwrap_or_default());
        }
        pages
    }

    async fn wait(&mut self, what: &str, fits: impl Fn(&Value) -> bool) -> Result<(), String> {
        let begun = Instant::now();
        while begun.elapsed() < PATIENCE / 8 {
            if self.pages().await.iter().any(&fits) {
                return Ok(());
            }
            self.alive()?;
            sleep(PAUSE * 5).await;
        }
        Err(format!("{what} is not reached in {:?}", PATIENCE / 8))
    }

    pub fn alive(&mut self) -> Result<(), String> {
        for process in &mut self.processes {
            if let Ok(Some(status)) = process.child.try_wait() {
                return Err(format!("{} ended: {status}", process.name));
            }
        }
        Ok(())
    }
}
