//! Registries and routers on one simulated network and clock: the real `Core` and `Follower`, with a fixed delay for
//! each frame and each write, and machines that can be killed, cut off or added.

#![allow(dead_code)]

use chain::{Batch, ChainReplica, StoredReplica, Timing};
use control::{ApiCall, ApiReply, Core, CoreInput, CoreOutput, CoreTiming};
use leases::{Follower, FollowerInput, FollowerOutput, FollowerTiming, ServingStatus};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use wire::{ConfigurationItem, Message, NodeAddress, NodeId};

const FRAME_DELAY: Duration = Duration::from_millis(2);
const WRITE_DELAY: Duration = Duration::from_millis(4);
const REGISTRY_TICK: Duration = Duration::from_millis(10);
const ROUTER_TICK: Duration = Duration::from_millis(20);
const FIRST_ROUTER: NodeId = 1000;

enum Event {
    RegistryTick(NodeId),
    RouterTick(NodeId),
    Frame { from: NodeId, to: NodeId, message: Message },
    Written { id: NodeId, ticket: u64, batch: Batch },
}

#[derive(Default)]
pub struct Fleet {
    pub now: Duration,
    pub registries: BTreeMap<NodeId, Core>,
    pub routers: BTreeMap<NodeId, Follower>,
    /// Machines that run, but exchange no frames with any other.
    pub cut_off: BTreeSet<NodeId>,
    /// Machines that exchange frames only with each other.
    pub isolated_group: BTreeSet<NodeId>,
    pub replies: BTreeMap<u64, (Duration, ApiReply)>,
    /// Voters that were reported to an empty registry.
    reported_registries: BTreeMap<NodeId, Vec<NodeId>>,
    disks: BTreeMap<NodeId, StoredReplica>,
    queue: BTreeMap<(Duration, u64), Event>,
    event_count: u64,
    last_request_id: u64,
    losses: usize,
    /// Duration of a lease.
    hold: Duration,
}

impl Fleet {
    pub fn start(registries: NodeId, routers: usize) -> Fleet {
        Fleet::start_with_hold(registries, routers, FollowerTiming::default().hold)
    }

    pub fn start_with_hold(registries: NodeId, routers: usize, hold: Duration) -> Fleet {
        let losses = if registries > 3 { 2 } else { 1 };
        let mut fleet = Fleet { now: Duration::from_secs(1), losses, hold, ..Fleet::default() };
        (1..=registries).for_each(|id| fleet.start_registry(id));
        fleet.advance(if registries > 3 { 12_000 } else { 3000 });
        (0..routers).for_each(|n| fleet.start_router(FIRST_ROUTER + n as NodeId));
        fleet.advance(8000);
        assert_eq!(fleet.chain().len(), registries as usize, "all registries are in the chain");
        let members = fleet.routers.keys().filter(|id| fleet.head().has_member(**id)).count();
        assert_eq!(members, routers, "every router is a member");
        fleet
    }

    pub fn start_registry(&mut self, id: NodeId) {
        let stored = self.disks.entry(id).or_default().clone();
        let node = NodeAddress { id, address: format!("10.0.0.{id}:1").into() };
        let founders = if id <= 3 { 3 } else { 0 };
        let replica = ChainReplica::new(node, stored, Timing::default(), control::apply, self.now);
        let replica = replica.with_founders(founders).with_tolerated_losses(self.losses);
        self.registries.insert(id, Core::new(replica, CoreTiming::for_hold(self.hold), (id << 40) + self.event_count));
        self.schedule(Duration::ZERO, Event::RegistryTick(id));
    }

    pub fn start_router(&mut self, id: NodeId) {
        let (address, timing) =
            (format!("10.0.1.{id}:1"), FollowerTiming { hold: self.hold, ..FollowerTiming::default() });
        self.routers.insert(id, Follower::new(id, id, &address, "a", "", timing));
        self.schedule(Duration::from_micros(id % 20 * 1000), Event::RouterTick(id));
    }

    /// Kills a registry or a router; a registry's disk is kept.
    pub fn kill(&mut self, id: NodeId) {
        self.registries.remove(&id);
        self.routers.remove(&id);
    }

    pub fn isolate_together(&mut self, ids: &[NodeId]) {
        self.isolated_group = ids.iter().copied().collect();
    }

    pub fn kill_and_wipe(&mut self, id: NodeId) {
        self.kill(id);
        self.disks.remove(&id);
    }

    /// Returns the chain of the newest view that any running registry has adopted.
    pub fn chain(&self) -> Vec<NodeId> {
        let views = self.registries.values().map(|core| core.replica().view());
        views.max_by_key(|view| view.number).map(|view| view.chain.as_slice().to_vec()).unwrap_or_default()
    }

    pub fn head(&self) -> &Core {
        &self.registries[&self.chain()[0]]
    }

    /// Sends a change to a registry and returns the request id of its reply.
    pub fn change(&mut self, registry: NodeId, value: u64) -> u64 {
        self.last_request_id += 1;
        let request_id = self.last_request_id;
        let value = format!(r#"{{"fixed":{value}}}"#).into_bytes();
        let items = vec![ConfigurationItem { key: "headcount-plans/t/f".into(), is_removed: 0, value: value.into() }];
        let (op, scope) = (format!("op-{request_id}"), String::new());
        let call = ApiCall::Change { op, base: None, revision: None, full: false, scope, items, dry: false };
        self.feed_registry(registry, CoreInput::Call { request_id, call });
        request_id
    }

    /// Sends a change and returns the time until its acknowledgement.
    pub fn time_to_acknowledgement(&mut self, registry: NodeId, value: u64) -> Duration {
        let sent_at = self.now;
        let request_id = self.change(registry, value);
        while !self.replies.contains_key(&request_id) && self.now < sent_at + Duration::from_secs(9) {
            self.advance(5);
        }
        let (at, reply) = self.replies.get(&request_id).expect("the change was answered");
        assert_eq!(reply.status, 200, "the change is in force");
        *at - sent_at
    }

    /// Returns the routers that may now serve by an older epoch than the one active at the registries.
    pub fn routers_serving_older_epoch(&mut self) -> Vec<NodeId> {
        let now = self.now;
        let active = self.registries.values().map(|core| control::read_number(core.state(), "c/active"));
        let newest = active.max().unwrap_or_default();
        let may_serve = |follower: &mut Follower| follower.serving_status_at(now) != ServingStatus::Waiting;
        let behind = self.routers.iter_mut().filter(|(_, router)| router.active_epoch() < newest);
        behind.filter_map(|(id, router)| may_serve(router).then_some(*id)).collect()
    }

    pub fn advance(&mut self, millis: u64) {
        let until = self.now + Duration::from_millis(millis);
        while let Some(entry) = self.queue.first_entry().filter(|entry| entry.key().0 <= until) {
            let ((at, _), event) = entry.remove_entry();
            self.now = at;
            self.handle_event(event);
        }
        self.now = until;
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        self.event_count += 1;
        self.queue.insert((self.now + delay, self.event_count), event);
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::RegistryTick(id) if self.registries.contains_key(&id) => {
                self.feed_registry(id, CoreInput::Tick);
                self.schedule(REGISTRY_TICK, Event::RegistryTick(id));
            }
            Event::RouterTick(id) if self.routers.contains_key(&id) => {
                self.feed_router(id, FollowerInput::Tick);
                self.schedule(ROUTER_TICK, Event::RouterTick(id));
            }
            Event::Frame { from, to, message } => self.deliver(from, to, message),
            Event::Written { id, ticket, batch } if self.registries.contains_key(&id) => {
                self.disks.entry(id).or_default().apply(&batch);
                self.feed_registry(id, CoreInput::Written { ticket });
            }
            _ => {}
        }
    }

    fn deliver(&mut self, from: NodeId, to: NodeId, message: Message) {
        let is_separated = self.isolated_group.contains(&from) != self.isolated_group.contains(&to);
        if is_separated || self.cut_off.contains(&from) || self.cut_off.contains(&to) {
            return;
        }
        match message {
            Message::Chain(message) => self.feed_registry(to, CoreInput::Chain { from, message }),
            Message::Lease(message) if to < FIRST_ROUTER => {
                self.feed_registry(to, CoreInput::Router { from, incarnation: from, message })
            }
            Message::Lease(message) if from < FIRST_ROUTER => {
                self.feed_router(to, FollowerInput::Registry { from, message })
            }
            Message::Lease(message) => self.feed_router(to, FollowerInput::Peer { from, message }),
            _ => {}
        }
    }

    fn send(&mut self, from: NodeId, to: NodeId, message: Message) {
        self.schedule(FRAME_DELAY, Event::Frame { from, to, message });
    }

    fn feed_registry(&mut self, id: NodeId, input: CoreInput) {
        let now = self.now;
        let Some(core) = self.registries.get_mut(&id) else { return };
        for output in core.step(now, input) {
            match output {
                CoreOutput::Registry { to, message } => self.send(id, to, Message::Chain(message)),
                CoreOutput::Router { to, message } => self.send(id, to, Message::Lease(message)),
                CoreOutput::Seeds { message } => {
                    let reported_registries = self.reported_registries.get(&id).into_iter().flatten().copied();
                    let others: BTreeSet<NodeId> =
                        (1..=3).chain(reported_registries).filter(|other| *other != id).collect();
                    others.into_iter().for_each(|to| self.send(id, to, Message::Chain(message.clone())));
                }
                CoreOutput::Write { ticket, batch } => self.schedule(WRITE_DELAY, Event::Written { id, ticket, batch }),
                CoreOutput::ViewLearned { view } => {
                    self.reported_registries.insert(id, view.voters.iter().map(|node| node.id).collect());
                }
                CoreOutput::Reply { request_id, reply } => drop(self.replies.insert(request_id, (now, reply))),
                _ => {}
            }
        }
    }

    fn feed_router(&mut self, id: NodeId, input: FollowerInput) {
        let now = self.now;
        let Some(router) = self.routers.get_mut(&id) else { return };
        for output in router.step(now, input) {
            match output {
                FollowerOutput::ToRegistry { to: Some(to), message } => self.send(id, to, Message::Lease(message)),
                FollowerOutput::ToRegistry { to: None, message } => {
                    let all: Vec<NodeId> = self.registries.keys().copied().collect();
                    all.into_iter().for_each(|to| self.send(id, to, Message::Lease(message.clone())));
                }
                FollowerOutput::ToPeer { to, message } => self.send(id, to, Message::Lease(message)),
                _ => {}
            }
        }
    }
}
