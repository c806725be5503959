//! A router's side of a hold. It renews, keeps the time each proof was asked for, stages and
//! activates numbered steps, and says whether it may serve at this moment. A proof counts from
//! when it was asked, so a frozen or late router can only be too careful.

use crate::configuration_fetch::Fetch;
use crate::membership::{HASHING, Membership};
use crate::peer_quorum::Peers;
use crate::serving_status::{ServingEvent, ServingStateMachine, ServingStatus};
use crate::step_parts::Arriving;
use std::collections::BTreeMap;
use std::time::Duration;
use wire::{Capacity, ConfigurationEpoch, LeaseMessage, NodeId};

#[derive(Clone, Debug)]
pub struct FollowerTiming {
    pub hold: Duration,
    pub guard: Duration,
    pub renew: Duration,
    pub renew_guarded: Duration,
    /// The same in a fleet that is not small: the tail answers them all.
    pub renew_guarded_many: Duration,
    /// Fleets above this many are not small; they prove one another through a few who ask for all.
    pub relay_above: usize,
}

impl Default for FollowerTiming {
    fn default() -> Self {
        FollowerTiming {
            hold: Duration::from_millis(1500),
            guard: Duration::from_millis(200),
            renew: Duration::from_millis(250),
            renew_guarded: Duration::from_millis(40),
            renew_guarded_many: Duration::from_millis(80),
            relay_above: 12,
        }
    }
}

#[derive(Clone, Debug)]
pub enum FollowerInput {
    Tick,
    Registry { from: NodeId, message: LeaseMessage },
    Peer { from: NodeId, message: LeaseMessage },
    Leave,
}

#[derive(Clone, Debug, PartialEq)]
pub enum FollowerOutput {
    ToRegistry { to: Option<NodeId>, message: LeaseMessage },
    ToPeer { to: NodeId, message: LeaseMessage },
    Activated { step: u64, revision: u64 },
    MembershipUpdated { number: u64 },
    RegistryAddresses { addresses: Vec<String> },
    ServingStatus { serving_status: ServingStatus },
    Lapsed,
}

pub struct Follower {
    pub(crate) me: NodeId,
    pub(crate) joining: LeaseMessage,
    pub(crate) timing: FollowerTiming,
    pub(crate) now: Duration,
    pub(crate) outs: Vec<FollowerOutput>,
    pub(crate) pairs: BTreeMap<String, Vec<u8>>,
    pub(crate) step: u64,
    pub(crate) revision: u64,
    pub(crate) quorum: Vec<NodeId>,
    pub(crate) staged: BTreeMap<u64, ConfigurationEpoch>,
    pub(crate) latest_known: u64,
    pub(crate) membership: Membership,
    pub(crate) ready: bool,
    pub(crate) is_member: bool,
    pub(crate) leaving: bool,
    pub(crate) tail: Option<(NodeId, Duration)>,
    pub(crate) pending_renewals: BTreeMap<u64, Duration>,
    pub(crate) next_request_id: u64,
    pub(crate) proof: Option<Duration>,
    pub(crate) peer_proof: Option<Duration>,
    pub(crate) peers: Peers,
    pub(crate) fetch: Option<Fetch>,
    pub(crate) arriving: Option<Arriving>,
    pub(crate) renewed: Option<Duration>,
    pub(crate) joined: Option<Duration>,
    state_machine: ServingStateMachine,
    serving_status: ServingStatus,
}

/// Numbers of one incarnation are never those of another, so that an answer meant for the one
/// before finds nothing asked by this one.
pub fn first_number(incarnation: u64) -> u64 {
    (incarnation & 0x3fff_ffff) << 32
}

impl Follower {
    pub fn new(me: NodeId, incarnation: u64, address: &str, zone: &str, ops: &str, timing: FollowerTiming) -> Self {
        let (address, zone, ops) = (address.into(), zone.into(), ops.into());
        Follower {
            me,
            joining: LeaseMessage::JoinWithCapacity {
                address,
                zone,
                ops,
                hashing: HASHING,
                capacity: Capacity::default(),
            },
            timing,
            now: Duration::ZERO,
            outs: Vec::new(),
            pairs: BTreeMap::new(),
            step: 0,
            revision: 0,
            quorum: Vec::new(),
            staged: BTreeMap::new(),
            latest_known: 0,
            membership: Membership::default(),
            ready: false,
            is_member: false,
            leaving: false,
            tail: None,
            pending_renewals: BTreeMap::new(),
            next_request_id: first_number(incarnation),
            proof: None,
            peer_proof: None,
            peers: Peers::default(),
            fetch: None,
            arriving: None,
            renewed: None,
            joined: None,
            state_machine: ServingStateMachine::default(),
            serving_status: ServingStatus::Waiting,
        }
    }

    /// What this machine can carry, as it is told on joining.
    pub fn able_to_own(mut self, able: Capacity) -> Self {
        if let LeaseMessage::JoinWithCapacity { capacity, .. } = &mut self.joining {
            *capacity = able;
        }
        self
    }

    pub fn pairs(&self) -> impl Iterator<Item = (&str, &[u8])> {
        self.pairs.iter().map(|(key, value)| (key.as_str(), value.as_slice()))
    }
    pub fn me(&self) -> NodeId {
        self.me
    }
    pub fn step_number(&self) -> u64 {
        self.step
    }
    pub fn revision(&self) -> u64 {
        self.revision
    }
    pub fn staged_number(&self) -> u64 {
        self.staged.keys().next_back().copied().unwrap_or(self.step)
    }
    pub fn membership(&self) -> &Membership {
        &self.membership
    }
    pub fn tail(&self) -> Option<NodeId> {
        self.tail.map(|(id, _)| id)
    }

    pub fn step(&mut self, now: Duration, input: FollowerInput) -> Vec<FollowerOutput> {
        self.now = now;
        match input {
            FollowerInput::Tick => self.tick(),
            FollowerInput::Registry { from, message } => self.registry(from, message),
            FollowerInput::Peer { from, message } => self.peer(from, message),
            FollowerInput::Leave => {
                self.leaving = true;
                self.say_leaving();
            }
        }
        let serving_status = self.serving_status_at(now);
        if serving_status != self.serving_status {
            self.serving_status = serving_status;
            self.outs.push(FollowerOutput::ServingStatus { serving_status });
        }
        std::mem::take(&mut self.outs)
    }

    /// Asked again at the very moment of each dispatch.
    pub fn serving_status_at(&mut self, now: Duration) -> ServingStatus {
        let (by_core, by_peers) = self.proved_until();
        let event = if now < by_core {
            ServingEvent::CoreProved
        } else if now < by_peers {
            ServingEvent::PeersProved
        } else {
            ServingEvent::Unproved
        };
        self.state_machine.take(event)
    }

    /// The moment until which this router may serve by its step, as far as it knows now.
    pub fn serves_until(&self) -> Duration {
        let (by_core, by_peers) = self.proved_until();
        by_core.max(by_peers)
    }

    /// How long the core's word lasts and how long the peers', zero where there is none.
    fn proved_until(&self) -> (Duration, Duration) {
        let limit = if self.is_guarded() { self.timing.guard } else { self.timing.hold };
        let by_core = self.proof.map_or(Duration::ZERO, |requested_at| requested_at + limit);
        let by_peers = self
            .peer_proof
            .filter(|_| !self.is_guarded())
            .map_or(Duration::ZERO, |requested_at| requested_at + self.timing.guard);
        (by_core, by_peers)
    }

    pub(crate) fn is_guarded(&self) -> bool {
        self.staged_number().max(self.latest_known) > self.step
    }

    pub(crate) fn send_to_registry(&mut self, to: Option<NodeId>, message: LeaseMessage) {
        self.outs.push(FollowerOutput::ToRegistry { to, message });
    }

    pub(crate) fn next_request_number(&mut self) -> u64 {
        self.next_request_id += 1;
        self.next_request_id
    }
}
