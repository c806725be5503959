//! A router in the simulator: the real follower, front and owner, fed by hand.

use crate::chances::Sort;
use crate::router_limits::{capacity, front_limits};
use crate::world::{Event, Place, TICK, World};
use bindings::RouteTable;
use leases::{Follower, FollowerInput, FollowerOutput, FollowerTiming, stable_hash};
use rand::RngExt;
use std::rc::Rc;
use std::time::Duration;
use traffic::{Front, FrontInput, FunctionOwner, OwnerInput, OwnerSettings};
use wire::{ForwardMessage, LeaseMessage, Message, NodeId, PlanMessage};

pub struct Machines {
    pub follower: Follower,
    pub front: Front,
    pub owner: FunctionOwner,
    pub heard: Option<Duration>,
    pub seats: Vec<String>,
}

pub struct RouterNode {
    pub id: NodeId,
    pub address: String,
    pub zone: &'static str,
    pub life: u64,
    pub base: Duration,
    pub frozen_until: Duration,
    pub drift: f64,
    pub down_since: Duration,
    pub leaving_since: Option<Duration>,
    pub machines: Option<Machines>,
}

impl RouterNode {
    pub fn alive(&self) -> bool {
        self.machines.is_some()
    }
}

const LAST_CALLS: Duration = Duration::from_millis(700);
const GRACE: Duration = Duration::from_secs(8);

pub enum Turn {
    Front(FrontInput),
    FunctionOwner(OwnerInput),
}

impl Turn {
    pub fn forwarded(from: NodeId, message: ForwardMessage) -> Turn {
        match message.is_for_owner() {
            true => Turn::FunctionOwner(OwnerInput::Forward { from, message }),
            false => Turn::Front(FrontInput::Message { from, message }),
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
            life: 0,
            base: Duration::ZERO,
            frozen_until: Duration::ZERO,
            drift: 1.0,
            down_since: Duration::ZERO,
            leaving_since: None,
            machines: None,
        });
        self.start_router(n);
    }

    pub fn start_router(&mut self, n: usize) {
        if self.routers[n].alive() {
            return;
        }
        let life = self.dice.random::<u64>() >> 8;
        let drift = self.drift();
        let seeds = self.seeds_for_routers();
        let peer_hold = self.plan.peer_hold;
        let node = &mut self.routers[n];
        node.drift = drift;
        node.life = life;
        node.base = self.now;
        node.frozen_until = Duration::ZERO;
        node.leaving_since = None;
        // On some seeds even a small fleet proves itself through relays.
        let relay_above = if self.seed & 4 != 0 { 2 } else { 12 };
        let timing = FollowerTiming { relay_above, peer_hold, ..FollowerTiming::default() };
        node.machines = Some(Machines {
            follower: Follower::new(node.id, life, &node.address, node.zone, "", timing).with_capacity(capacity(n)),
            front: Front::new(node.id, life, front_limits()),
            owner: FunctionOwner::new(node.id, life, OwnerSettings::default()),
            heard: None,
            seats: seeds,
        });
        let id = node.id;
        self.net.names.insert(id, Place::Router(n));
        self.say(|| format!("router {n} starts as {id:016x}"));
        self.after(TICK, Event::Tick { at: Place::Router(n), life });
        self.announce(id, true);
        for other in 0..self.routers.len() {
            let known = self.routers[other].id;
            if other != n && self.routers[other].alive() {
                self.after(Duration::from_millis(5), Event::Link { router: n, id: known, up: true });
            }
        }
    }

    pub fn kill_router(&mut self, n: usize) {
        if self.routers[n].machines.take().is_none() {
            return;
        }
        self.routers[n].life = 0;
        self.routers[n].down_since = self.now;
        let id = self.routers[n].id;
        self.say(|| format!("router {n} is killed"));
        self.callers_lost(n);
        self.yard.forget_router(n);
        self.announce(id, false);
    }

    pub fn link(&mut self, n: usize, id: NodeId, up: bool) {
        if let Some(until) = self.frozen_until(Place::Router(n)) {
            return self.at(until, Event::Link { router: n, id, up });
        }
        let reached = self.net.names.get(&id).copied();
        let cut = reached.is_some_and(|place| {
            self.net.cuts.contains(&(Place::Router(n), place)) || self.net.cuts.contains(&(place, Place::Router(n)))
        });
        if !(up && cut) {
            self.turn(n, Turn::Front(FrontInput::Link { id, up }));
        }
    }

    pub fn router_now(&self, n: usize) -> Duration {
        let node = &self.routers[n];
        self.now.saturating_sub(node.base).mul_f64(node.drift)
    }

    pub fn tick_router(&mut self, n: usize) {
        self.follow(n, FollowerInput::Tick);
        let now = self.router_now(n);
        let Some(machines) = &self.routers[n].machines else { return };
        let near = machines.heard.is_some_and(|at| now < at + Duration::from_millis(2500));
        self.end_leaving(n);
        self.turn(n, Turn::FunctionOwner(OwnerInput::RegistriesReachable { reachable: near }));
        self.turn(n, Turn::Front(FrontInput::Tick));
        self.turn(n, Turn::FunctionOwner(OwnerInput::Tick));
    }

    /// As the program does: gone once nothing is open after the last calls, or when grace ends.
    fn end_leaving(&mut self, n: usize) {
        let (Some(since), Some(machines)) = (self.routers[n].leaving_since, &self.routers[n].machines) else { return };
        let waited = self.now - since;
        let me = self.routers[n].id;
        let handed = machines.follower.membership().member(me).is_none_or(|line| line.leaving != 0);
        let idle = machines.front.request_count() == 0 && machines.owner.is_idle();
        if (waited > LAST_CALLS && handed && idle) || waited > GRACE {
            let depths = (machines.front.request_count(), machines.owner.depths());
            self.say(|| format!("router {n} goes, open: {depths:?}"));
            if !idle && self.plan.sort == Sort::Planned && self.now < self.plan.final_fault {
                self.rules.tell(self.now, format!("router {n} left with work open"));
            }
            self.kill_router(n);
            let back = Duration::from_millis(self.dice.random_range(300..3000));
            self.after(back, Event::Mend { what: crate::faults::Mending::StartRouter(n) });
        }
    }

    pub fn to_router(&mut self, n: usize, from: NodeId, _incarnation: u64, message: Message) {
        let now = self.router_now(n);
        match message {
            Message::Lease(message) if message.is_from_peer() => self.follow(n, FollowerInput::Peer { from, message }),
            Message::Lease(message @ (LeaseMessage::ProposalAck { .. } | LeaseMessage::ReadReply { .. })) => {
                self.turn(n, Turn::FunctionOwner(OwnerInput::StoreReply { message }))
            }
            Message::Lease(message) => {
                if let (LeaseMessage::Proof { .. }, Some(machines)) = (&message, &mut self.routers[n].machines) {
                    machines.heard = Some(now);
                }
                self.follow(n, FollowerInput::Registry { from, message });
            }
            Message::Forward(message) => self.turn(n, Turn::forwarded(from, message)),
            Message::Plan(message) => self.turn(n, Turn::FunctionOwner(OwnerInput::Plan { message })),
            _ => {}
        }
    }

    pub fn ask_registries(&mut self, n: usize, message: PlanMessage) {
        for registry in 0..self.registries.len() {
            self.send_place(Place::Router(n), Place::Registry(registry), Message::Plan(message.clone()));
        }
    }

    pub fn follow(&mut self, n: usize, input: FollowerInput) {
        let now = self.router_now(n);
        let Some(machines) = &mut self.routers[n].machines else { return };
        for output in machines.follower.step(now, input) {
            self.follower_output(n, output);
        }
    }

    fn follower_output(&mut self, n: usize, output: FollowerOutput) {
        let place = Place::Router(n);
        match output {
            FollowerOutput::ToRegistry { to: Some(to), message } => self.send(place, to, Message::Lease(message)),
            FollowerOutput::ToRegistry { to: None, message } => {
                let Some(machines) = &self.routers[n].machines else { return };
                let seats = machines.seats.clone();
                for other in 0..self.registries.len() {
                    if seats.contains(&self.registries[other].address) {
                        self.send_place(place, Place::Registry(other), Message::Lease(message.clone()));
                    }
                }
            }
            FollowerOutput::ToPeer { to, message } => self.send(place, to, Message::Lease(message)),
            FollowerOutput::Activated { step, revision } => {
                let Some(machines) = &self.routers[n].machines else { return };
                let routes = Rc::new(RouteTable::build(step, revision, machines.follower.resources()));
                self.turn(n, Turn::FunctionOwner(OwnerInput::RouteTable { routes: routes.clone() }));
                self.turn(n, Turn::Front(FrontInput::RouteTable { routes }));
            }
            FollowerOutput::MembershipUpdated { .. } => self.membership_updated(n),
            FollowerOutput::RegistryAddresses { addresses } => {
                if let Some(machines) = &mut self.routers[n].machines {
                    let seeds = self.seeds.iter().cloned();
                    machines.seats = addresses.into_iter().chain(seeds).collect();
                }
            }
            FollowerOutput::RemovedFromMembers => {
                self.turn(n, Turn::FunctionOwner(OwnerInput::MembershipLost));
                self.turn(n, Turn::Front(FrontInput::MembershipLost));
            }
            FollowerOutput::ServingStatus { serving_status } => {
                self.say(|| format!("router {n} stands {serving_status:?}"))
            }
        }
    }
}
