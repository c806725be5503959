//! Simulated router: the product's follower, front and owner, with inputs from the simulator.

use crate::router_limits::{capacity, front_limits};
use crate::world::{Event, NodeRef, TICK, World};
use bindings::RouteTable;
use leases::{Follower, FollowerInput, FollowerOutput, FollowerTiming, stable_hash};
use rand::RngExt;
use std::rc::Rc;
use std::time::Duration;
use traffic::{Front, FrontInput, FunctionOwner, OwnerInput, OwnerSettings};
use wire::{ForwardMessage, LeaseMessage, Message, NodeId, PlanMessage};

pub struct RouterProcess {
    pub follower: Follower,
    pub front: Front,
    pub owner: FunctionOwner,
    pub last_proof: Option<Duration>,
    pub registry_addresses: Vec<String>,
}

pub struct RouterNode {
    pub id: NodeId,
    pub address: String,
    pub zone: &'static str,
    pub run_id: u64,
    pub started_at: Duration,
    pub frozen_until: Duration,
    pub drift: f64,
    pub down_since: Duration,
    pub leaving_since: Option<Duration>,
    pub has_given_up: bool,
    pub process: Option<RouterProcess>,
}

impl RouterNode {
    pub fn is_running(&self) -> bool {
        self.process.is_some()
    }
}

pub enum RouterInput {
    Front(FrontInput),
    FunctionOwner(OwnerInput),
}

impl RouterInput {
    pub fn forwarded(from: NodeId, message: ForwardMessage) -> RouterInput {
        match message.is_for_owner() {
            true => RouterInput::FunctionOwner(OwnerInput::Forward { from, message }),
            false => RouterInput::Front(FrontInput::Message { from, message }),
        }
    }
}

impl World {
    pub fn add_router(&mut self, n: usize) {
        let address = format!("10.0.1.{n}:1");
        self.routers.push(RouterNode {
            id: stable_hash(&[address.as_bytes()]) | 1,
            address,
            zone: ["a", "b", "c"][n % 3],
            run_id: 0,
            started_at: Duration::ZERO,
            frozen_until: Duration::ZERO,
            drift: 1.0,
            down_since: Duration::ZERO,
            leaving_since: None,
            has_given_up: false,
            process: None,
        });
        self.start_router(n);
    }

    pub fn start_router(&mut self, n: usize) {
        if self.routers[n].is_running() {
            return;
        }
        let run_id = self.rng.random::<u64>() >> 8;
        let drift = self.drift();
        let seeds = self.seeds_for_routers();
        let peer_hold = self.plan.peer_hold;
        let node = &mut self.routers[n];
        node.drift = drift;
        node.run_id = run_id;
        node.started_at = self.now;
        node.frozen_until = Duration::ZERO;
        node.leaving_since = None;
        node.has_given_up = false;
        // On some seeds even a small fleet sends its proofs through relays.
        let relay_above = if self.seed & 4 != 0 { 2 } else { 12 };
        let timing = FollowerTiming { relay_above, peer_hold, ..FollowerTiming::default() };
        node.process = Some(RouterProcess {
            follower: Follower::new(node.id, run_id, &node.address, node.zone, "", timing).with_capacity(capacity(n)),
            front: Front::new(node.id, run_id, front_limits()),
            owner: FunctionOwner::new(node.id, run_id, OwnerSettings::default()),
            last_proof: None,
            registry_addresses: seeds,
        });
        let id = node.id;
        self.net.node_by_id.insert(id, NodeRef::Router(n));
        self.log(|| format!("router {n} starts as {id:016x}"));
        self.schedule_after(TICK, Event::Tick { at: NodeRef::Router(n), run_id });
        self.announce(id, true);
        for other in 0..self.routers.len() {
            let known = self.routers[other].id;
            if other != n && self.routers[other].is_running() {
                self.schedule_after(Duration::from_millis(5), Event::Link { router: n, id: known, up: true });
            }
        }
    }

    pub fn kill_router(&mut self, n: usize) {
        if self.routers[n].process.take().is_none() {
            return;
        }
        self.routers[n].run_id = 0;
        self.routers[n].down_since = self.now;
        let id = self.routers[n].id;
        self.log(|| format!("router {n} is killed"));
        self.drop_callers_of(n);
        self.platform.forget_router(n);
        self.announce(id, false);
    }

    pub fn link(&mut self, n: usize, id: NodeId, up: bool) {
        if let Some(until) = self.frozen_until(NodeRef::Router(n)) {
            return self.schedule_at(until, Event::Link { router: n, id, up });
        }
        let reached = self.net.node_by_id.get(&id).copied();
        let cut = reached.is_some_and(|node_ref| {
            self.net.cuts.contains(&(NodeRef::Router(n), node_ref))
                || self.net.cuts.contains(&(node_ref, NodeRef::Router(n)))
        });
        if !(up && cut) {
            self.feed_router(n, RouterInput::Front(FrontInput::Link { id, up }));
        }
    }

    pub fn router_now(&self, n: usize) -> Duration {
        let node = &self.routers[n];
        self.now.saturating_sub(node.started_at).mul_f64(node.drift)
    }

    pub fn tick_router(&mut self, n: usize) {
        self.feed_follower(n, FollowerInput::Tick);
        let now = self.router_now(n);
        let Some(process) = &self.routers[n].process else { return };
        let reachable = process.last_proof.is_some_and(|at| now < at + Duration::from_millis(2500));
        self.maybe_give_up(n);
        self.end_leaving(n);
        self.feed_router(n, RouterInput::FunctionOwner(OwnerInput::RegistriesReachable { reachable }));
        self.feed_router(n, RouterInput::Front(FrontInput::Tick));
        self.feed_router(n, RouterInput::FunctionOwner(OwnerInput::Tick));
    }

    pub fn deliver_to_router(&mut self, n: usize, from: NodeId, _incarnation: u64, message: Message) {
        let now = self.router_now(n);
        match message {
            Message::Lease(message) if message.is_from_peer() => {
                self.feed_follower(n, FollowerInput::Peer { from, message })
            }
            Message::Lease(message @ (LeaseMessage::ProposalAck { .. } | LeaseMessage::ReadReply { .. })) => {
                self.feed_router(n, RouterInput::FunctionOwner(OwnerInput::StoreReply { message }))
            }
            Message::Lease(message) => {
                if let (LeaseMessage::Proof { .. }, Some(process)) = (&message, &mut self.routers[n].process) {
                    process.last_proof = Some(now);
                }
                self.feed_follower(n, FollowerInput::Registry { from, message });
            }
            Message::Forward(message) => self.feed_router(n, RouterInput::forwarded(from, message)),
            Message::Plan(message) => self.feed_router(n, RouterInput::FunctionOwner(OwnerInput::Plan { message })),
            _ => {}
        }
    }

    pub fn ask_registries(&mut self, n: usize, message: PlanMessage) {
        for registry in 0..self.registries.len() {
            self.send_place(NodeRef::Router(n), NodeRef::Registry(registry), Message::Plan(message.clone()));
        }
    }

    pub fn feed_follower(&mut self, n: usize, input: FollowerInput) {
        let now = self.router_now(n);
        let Some(process) = &mut self.routers[n].process else { return };
        for output in process.follower.step(now, input) {
            self.follower_output(n, output);
        }
    }

    fn follower_output(&mut self, n: usize, output: FollowerOutput) {
        let node_ref = NodeRef::Router(n);
        match output {
            FollowerOutput::ToRegistry { to: Some(to), message } => self.send(node_ref, to, Message::Lease(message)),
            FollowerOutput::ToRegistry { to: None, message } => {
                let Some(process) = &self.routers[n].process else { return };
                let registry_addresses = process.registry_addresses.clone();
                for other in 0..self.registries.len() {
                    if registry_addresses.contains(&self.registries[other].address) {
                        self.send_place(node_ref, NodeRef::Registry(other), Message::Lease(message.clone()));
                    }
                }
            }
            FollowerOutput::ToPeer { to, message } => self.send(node_ref, to, Message::Lease(message)),
            FollowerOutput::Activated { step, revision } => {
                let Some(process) = &self.routers[n].process else { return };
                let routes = Rc::new(RouteTable::build(step, revision, process.follower.resources()));
                self.feed_router(n, RouterInput::FunctionOwner(OwnerInput::RouteTable { routes: routes.clone() }));
                self.feed_router(n, RouterInput::Front(FrontInput::RouteTable { routes }));
            }
            FollowerOutput::MembershipUpdated { .. } => self.membership_updated(n),
            FollowerOutput::RegistryAddresses { addresses } => {
                if let Some(process) = &mut self.routers[n].process {
                    let seeds = self.seeds.iter().cloned();
                    process.registry_addresses = addresses.into_iter().chain(seeds).collect();
                }
            }
            FollowerOutput::RemovedFromMembers => {
                self.feed_router(n, RouterInput::FunctionOwner(OwnerInput::MembershipLost));
                self.feed_router(n, RouterInput::Front(FrontInput::MembershipLost));
            }
            FollowerOutput::ServingStatus { serving_status } => {
                self.log(|| format!("router {n} has serving status {serving_status:?}"))
            }
        }
    }
}
