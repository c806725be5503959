//! A hollow node: a router's own state machines, the follower and the owner, without callers and
//! instances. It takes ticks and frames and returns frames, as the router's threads do around them.

use bindings::RouteTable;
use instance_provider::ProviderReport;
use leases::{Follower, FollowerInput, FollowerOutput, FollowerTiming, Membership, mix};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use traffic::{FunctionOwner, OwnerInput, OwnerOutput, OwnerTiming};
use wire::{LeaseMessage, Message, NodeId, PlanMessage};

const NEAR: Duration = Duration::from_millis(2500);
const TELL: Duration = Duration::from_millis(500);

pub enum NodeInput {
    Tick,
    Up {
        id: NodeId,
        address: String,
    },
    Down {
        id: NodeId,
    },
    Frame {
        from: NodeId,
        message: Message,
    },
    /// The part of the route table whose functions are homed here, and the membership that says so.
    Assigned {
        membership: Rc<Membership>,
        routes: Rc<RouteTable>,
    },
    Listed {
        report: ProviderReport,
    },
}

#[derive(Debug)]
pub enum NodeOutput {
    Send { to: NodeId, message: Message },
    Dial { addresses: Vec<String> },
    Ordered,
}

pub struct Node {
    pub follower: Follower,
    owner: FunctionOwner,
    seeds: Vec<String>,
    seats: Vec<String>,
    registries: BTreeSet<NodeId>,
    heard: Option<Duration>,
    told: Duration,
    now: Duration,
    outs: Vec<NodeOutput>,
}

/// The identity a router at this address has, as the product gives it.
pub fn identity(cluster: &str, address: &str) -> NodeId {
    mix(&[b"router", cluster.as_bytes(), address.as_bytes()]) | 1
}

impl Node {
    pub fn new(id: NodeId, incarnation: u64, address: &str, zone: &str, seeds: &[String]) -> Node {
        Node {
            follower: Follower::new(id, incarnation, address, zone, "", FollowerTiming::default()),
            owner: FunctionOwner::new(id, incarnation, OwnerTiming::default()),
            seeds: seeds.to_vec(),
            seats: Vec::new(),
            registries: BTreeSet::new(),
            heard: None,
            told: Duration::ZERO,
            now: Duration::ZERO,
            outs: Vec::new(),
        }
    }

    /// Outputs that whoever steps this node beside its own loop leaves for that loop to carry out.
    pub fn keep(&mut self, outputs: Vec<NodeOutput>) {
        self.outs.extend(outputs);
    }

    pub fn may_serve(&self, now: Duration) -> bool {
        now < self.follower.serves_until()
    }

    pub fn step(&mut self, now: Duration, input: NodeInput) -> Vec<NodeOutput> {
        self.now = now;
        match input {
            NodeInput::Tick => {
                self.follow(FollowerInput::Tick);
                if now >= self.told + TELL {
                    self.told = now;
                    let near = self.heard.is_some_and(|at| now < at + NEAR);
                    self.feed_home(OwnerInput::Core { near });
                }
                self.feed_home(OwnerInput::Tick);
            }
            NodeInput::Up { id, address } => {
                if self.seeds.contains(&address) || self.seats.contains(&address) {
                    self.registries.insert(id);
                }
            }
            NodeInput::Down { id } => drop(self.registries.remove(&id)),
            NodeInput::Frame { from, message } => self.frame(from, message),
            NodeInput::Assigned { membership, routes } => {
                self.feed_home(OwnerInput::Membership { membership });
                self.feed_home(OwnerInput::RouteTable { routes });
            }
            NodeInput::Listed { report } => self.feed_home(OwnerInput::Platform { report, listed_at: now }),
        }
        std::mem::take(&mut self.outs)
    }

    fn frame(&mut self, from: NodeId, message: Message) {
        match message {
            Message::Forward(message) if message.is_for_owner() => {
                self.feed_home(OwnerInput::Forward { from, message })
            }
            Message::Plan(message) => self.feed_home(OwnerInput::Plan { message }),
            Message::Lease(message @ (LeaseMessage::ProposalAck { .. } | LeaseMessage::ReadReply { .. })) => {
                self.feed_home(OwnerInput::StoreOperation { message });
            }
            Message::Lease(message @ (LeaseMessage::PeerRequest { .. } | LeaseMessage::PeerReply { .. })) => {
                self.follow(FollowerInput::Peer { from, message });
            }
            Message::Lease(message) => {
                self.registries.insert(from);
                if matches!(message, LeaseMessage::Proof { .. }) {
                    self.heard = Some(self.now);
                }
                self.follow(FollowerInput::Registry { from, message });
            }
            _ => {}
        }
    }

    fn send(&mut self, to: NodeId, message: Message) {
        self.outs.push(NodeOutput::Send { to, message });
    }

    fn tell_registries(&mut self, message: Message) {
        for to in self.registries.clone() {
            self.send(to, message.clone());
        }
    }

    fn follow(&mut self, input: FollowerInput) {
        for output in self.follower.step(self.now, input) {
            match output {
                FollowerOutput::ToRegistry { to: Some(to), message } | FollowerOutput::ToPeer { to, message } => {
                    self.send(to, Message::Lease(message));
                }
                FollowerOutput::ToRegistry { to: None, message } => self.tell_registries(Message::Lease(message)),
                FollowerOutput::MembershipUpdated { .. } => self.dial(),
                FollowerOutput::RegistryAddresses { addresses } => {
                    if addresses != self.seats {
                        self.seats = addresses;
                        self.dial();
                    }
                }
                FollowerOutput::Lapsed => self.feed_home(OwnerInput::Lapsed),
                FollowerOutput::Activated { .. } | FollowerOutput::ServingStatus { .. } => {}
            }
        }
    }

    fn dial(&mut self) {
        let members = self.follower.membership().members.iter().map(|line| line.address.as_str().to_owned());
        let addresses = self.seeds.iter().chain(&self.seats).cloned().chain(members).collect();
        self.outs.push(NodeOutput::Dial { addresses });
    }

    fn feed_home(&mut self, input: OwnerInput) {
        let may_serve = self.may_serve(self.now);
        for output in self.owner.step(self.now, may_serve, input) {
            match output {
                OwnerOutput::Forward { to, message } => self.send(to, Message::Forward(message)),
                OwnerOutput::Propose { request_id, body } => {
                    self.tell_core(LeaseMessage::Propose { request_id, body: body.into() })
                }
                OwnerOutput::Read { request_id, prefix } => {
                    self.tell_core(LeaseMessage::Read { request_id, prefix: prefix.into(), from: "".into() });
                }
                OwnerOutput::PlanRequest { message } => self.tell_registries(Message::Plan(message)),
                OwnerOutput::Samples { lines } => {
                    self.tell_registries(Message::Plan(PlanMessage::Samples { lines: lines.into() }));
                }
                OwnerOutput::Measures { lines } => {
                    self.tell_registries(Message::Plan(PlanMessage::Measures { lines: lines.into() }));
                }
                OwnerOutput::Supply(_) => self.outs.push(NodeOutput::Ordered),
                _ => {}
            }
        }
    }

    fn tell_core(&mut self, message: LeaseMessage) {
        if let Some(to) = self.follower.tail() {
            self.send(to, Message::Lease(message));
        }
    }
}
