//! Simulated registry: the product's core on a disk that keeps only what was synced.

use crate::slowness::SLOW_DISK;
use crate::world::{Event, NodeRef, TICK, World};
use bindings::RouteTable;
use chain::{Batch, ChainReplica, StoredReplica, Timing};
use control::{Core, CoreInput, CoreOutput, CoreTiming, Planner};
use rand::RngExt;
use std::time::Duration;
use wire::{Message, NodeAddress, NodeId, PlanMessage};

const SOLVE_LIMIT: Duration = Duration::from_secs(60);

pub struct RegistryNode {
    pub id: NodeId,
    pub address: String,
    pub run_id: u64,
    pub core: Option<Core>,
    pub disk: StoredReplica,
    pub pending: Option<(u64, Batch)>,
    pub stalled_until: Duration,
    pub full: bool,
    /// A write was refused since the process started or recovered its disk.
    pub refused_write: bool,
    pub started_at: Duration,
    pub frozen_until: Duration,
    pub drift: f64,
    pub planner: Planner,
    pub slow_disk_until: Duration,
    /// Seeds of its own, if its settings were written later than those of the others.
    pub seeds: Vec<String>,
    /// Addresses learned from a seed while the registry had an empty disk.
    pub learned_addresses: Vec<String>,
    pub started_before: bool,
    /// Stopped permanently by a planned stop.
    pub retired: bool,
    pub retired_at: Duration,
    /// Its disk was lost, and it hasn't been back in the chain since.
    pub is_disk_lost: bool,
    pub last_disturbed: Duration,
}

impl World {
    pub fn add_registry(&mut self, n: usize) {
        self.push_registry(format!("10.0.0.{n}:1"));
        self.start_registry(n);
    }

    /// Adds a registry without starting it.
    pub fn push_registry(&mut self, address: String) {
        self.registries.push(RegistryNode {
            id: 0,
            address,
            run_id: 0,
            core: None,
            disk: StoredReplica::default(),
            pending: None,
            stalled_until: Duration::ZERO,
            full: false,
            refused_write: false,
            started_at: Duration::ZERO,
            frozen_until: Duration::ZERO,
            drift: 1.0,
            planner: Planner::default(),
            slow_disk_until: Duration::ZERO,
            seeds: Vec::new(),
            learned_addresses: Vec::new(),
            started_before: false,
            retired: false,
            retired_at: Duration::ZERO,
            is_disk_lost: false,
            last_disturbed: self.now,
        });
    }

    pub fn start_registry(&mut self, n: usize) {
        if self.registries[n].core.is_some() || self.registries[n].retired {
            return;
        }
        let new_id = self.rng.random::<u64>() | 1;
        let run_id = self.rng.random::<u64>() >> 8;
        let now = self.now;
        let drift = self.drift();
        let node = &mut self.registries[n];
        node.drift = drift;
        let id = if node.disk.meta.node.id == 0 { new_id } else { node.disk.meta.node.id };
        let address = NodeAddress { id, address: node.address.as_str().into() };
        node.disk.meta.node = address.clone();
        node.id = id;
        node.run_id = run_id;
        node.started_at = now;
        node.full = false;
        node.refused_write = false;
        node.frozen_until = Duration::ZERO;
        node.planner = Planner::default();
        node.planner.set_view(node.disk.meta.view.clone());
        node.learned_addresses.clear();
        node.last_disturbed = now;
        let founds = !node.started_before && self.seeds.contains(&node.address);
        node.started_before = true;
        let mut member =
            ChainReplica::new(address, node.disk.clone(), Timing::default(), control::apply, Duration::ZERO);
        if self.plan.sort.is_on_control() {
            member =
                member.with_founders(if founds { self.seeds.len() } else { 0 }).with_tolerated_losses(self.plan.losses);
        }
        node.core = Some(Core::new(member, CoreTiming::default().with_peer_hold(self.plan.peer_hold), run_id << 20));
        self.net.node_by_id.insert(id, NodeRef::Registry(n));
        self.log(|| format!("registry {n} starts as {id:016x}"));
        self.schedule_after(TICK, Event::Tick { at: NodeRef::Registry(n), run_id });
        self.announce(id, true);
    }

    /// Stops a registry as by a power loss: a write not yet reported may or may not have reached the disk.
    pub fn kill_registry(&mut self, n: usize) {
        let landed = self.rng.random_ratio(1, 3);
        let node = &mut self.registries[n];
        if node.core.take().is_none() {
            return;
        }
        if let Some((_, batch)) = node.pending.take()
            && landed
        {
            node.disk.apply(&batch);
        }
        node.run_id = 0;
        node.last_disturbed = self.now;
        let id = node.id;
        self.log(|| format!("registry {n} is killed"));
        self.operators.registry_stopped(self.now, n);
        self.announce(id, false);
    }

    pub fn feed_registry(&mut self, n: usize, input: CoreInput) {
        let now = self.registry_now(n);
        let Some(core) = self.registries[n].core.as_mut() else { return };
        let outputs = core.step(now, input);
        for output in outputs {
            self.registry_output(n, output);
        }
    }

    fn registry_now(&self, n: usize) -> Duration {
        let node = &self.registries[n];
        self.now.saturating_sub(node.started_at).mul_f64(node.drift)
    }

    pub fn tick_registry(&mut self, n: usize) {
        self.feed_registry(n, CoreInput::Tick);
    }

    pub fn deliver_to_registry(&mut self, n: usize, from: NodeId, incarnation: u64, message: Message) {
        match message {
            Message::Chain(message) => self.feed_registry(n, CoreInput::Chain { from, message }),
            Message::Lease(message) => self.feed_registry(n, CoreInput::Router { from, incarnation, message }),
            Message::Plan(message) => self.optimize(n, from, message),
            _ => {}
        }
    }

    fn optimize(&mut self, n: usize, from: NodeId, message: PlanMessage) {
        let now = self.registry_now(n);
        let node = &mut self.registries[n];
        for planned in node.planner.step(now, node.id, from, message, SOLVE_LIMIT) {
            self.send(NodeRef::Registry(n), planned.to, Message::Plan(planned.message));
        }
    }

    pub fn write_finished(&mut self, n: usize, run_id: u64, ticket: u64) {
        let node = &mut self.registries[n];
        if node.run_id != run_id {
            return;
        }
        let until = node.stalled_until.max(node.frozen_until);
        if until > self.now {
            return self.schedule_at(until, Event::WriteFinished { registry: n, run_id, ticket });
        }
        if node.full {
            node.refused_write = true;
            return self.feed_registry(n, CoreInput::DiskError);
        }
        if let Some((_, batch)) = node.pending.take_if(|(known, _)| *known == ticket) {
            node.disk.apply(&batch);
            self.feed_registry(n, CoreInput::Written { ticket });
        }
    }

    fn registry_output(&mut self, n: usize, output: CoreOutput) {
        let from = NodeRef::Registry(n);
        match output {
            CoreOutput::Registry { to, message } => self.send(from, to, Message::Chain(message)),
            CoreOutput::Router { to, message } => self.send(from, to, Message::Lease(message)),
            CoreOutput::Seeds { message } => {
                let seeds = self.seeds_of(n);
                for other in 0..self.registries.len() {
                    if seeds.contains(&self.registries[other].address) && other != n {
                        self.send_place(from, NodeRef::Registry(other), Message::Chain(message.clone()));
                    }
                }
            }
            CoreOutput::Write { ticket, batch } => {
                let times = if self.registries[n].slow_disk_until > self.now { SLOW_DISK } else { 1 };
                let wait = Duration::from_micros(self.rng.random_range(400..4000)) * times;
                let run_id = self.registries[n].run_id;
                self.registries[n].pending = Some((ticket, batch));
                self.schedule_after(wait, Event::WriteFinished { registry: n, run_id, ticket });
            }
            CoreOutput::Reply { request_id, reply } => self.operator_answer(n, request_id, reply),
            CoreOutput::ViewLearned { view } => {
                self.registries[n].learned_addresses =
                    view.voters.iter().map(|node| node.address.as_str().to_owned()).collect();
            }
            CoreOutput::ViewAdopted { view } => {
                self.log(|| {
                    let chain: Vec<String> = view.chain.iter().map(|id| format!("{:04x}", id >> 48)).collect();
                    format!("registry {n} adopts view {} chain {}", view.number, chain.join(" "))
                });
                self.registries[n].planner.set_view(view);
            }
            CoreOutput::CaughtUp { missed_entries: missed } => {
                self.catch_up_counts[usize::from(missed.is_none())] += 1;
                self.log(|| format!("registry {n} has caught up, missed {missed:?}"));
            }
            CoreOutput::ActivationDelayed { step, wait, .. } => {
                self.log(|| format!("registry {n}: step {step} waits for {}", wait.name()));
            }
            CoreOutput::ChangeInvalid { .. } => {}
            CoreOutput::Activated { step } => {
                let node = &mut self.registries[n];
                let Some(core) = &node.core else { return };
                let pairs = core.state().iter().filter_map(|(key, value)| Some((key.strip_prefix("a/")?, &value[..])));
                let routes = RouteTable::build(step, 0, pairs);
                node.planner.set_routes(&routes);
            }
        }
    }
}
