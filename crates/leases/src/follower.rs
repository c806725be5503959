//! A router's side of membership and leases. It renews its lease, remembers when each confirmation was requested,
//! stages and activates epochs, and says whether it may serve at this moment. A confirmation counts from when it was
//! requested, so a frozen or late router can only be too careful.

use crate::configuration_fetch::Fetch;
use crate::epochs::Epochs;
use crate::follower_types::{FollowerInput, FollowerOutput, FollowerTiming};
use crate::lease::{Lease, LeaseEnds};
use crate::membership::{HASHING, Membership};
use crate::peer_quorum::Peers;
use crate::serving_status::{ServingEvent, ServingStateMachine, ServingStatus};
use crate::step_parts::Arriving;
use std::time::Duration;
use wire::{Capacity, LeaseMessage, NodeId};

/// The messages that are on their way in parts.
#[derive(Default)]
pub(crate) struct Transfers {
    /// The complete configuration.
    pub fetch: Option<Fetch>,
    /// The next epoch.
    pub arriving: Option<Arriving>,
}

/// A router's side of membership and leases, as a state machine: the coordinator of its epochs, its lease, its
/// peers' quorum and what arrives in parts.
pub struct Follower {
    pub(crate) me: NodeId,
    pub(crate) joining: LeaseMessage,
    pub(crate) timing: FollowerTiming,
    pub(crate) now: Duration,
    pub(crate) outs: Vec<FollowerOutput>,
    pub(crate) epochs: Epochs,
    pub(crate) lease: Lease,
    pub(crate) membership: Membership,
    pub(crate) peers: Peers,
    pub(crate) transfers: Transfers,
    pub(crate) is_leaving: bool,
    pub(crate) joined_at: Option<Duration>,
    pub(crate) last_request_id: u64,
    state_machine: ServingStateMachine,
    serving_status: ServingStatus,
}

/// Numbers of one incarnation are never those of another, so that an answer meant for the one
/// before finds nothing asked by this one.
pub fn first_number(incarnation: u64) -> u64 {
    (incarnation & 0x3fff_ffff) << 32
}

impl Follower {
    /// A router that has just started, with its addresses for routers and for operators.
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
            epochs: Epochs::default(),
            lease: Lease::default(),
            membership: Membership::default(),
            peers: Peers::default(),
            transfers: Transfers::default(),
            is_leaving: false,
            joined_at: None,
            last_request_id: first_number(incarnation),
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

    /// The resources of the active epoch, by key.
    pub fn pairs(&self) -> impl Iterator<Item = (&str, &[u8])> {
        self.epochs.items()
    }
    /// This router's id.
    pub fn me(&self) -> NodeId {
        self.me
    }
    /// The number of the active epoch.
    pub fn step_number(&self) -> u64 {
        self.epochs.active()
    }
    /// The operators' revision of the active epoch.
    pub fn revision(&self) -> u64 {
        self.epochs.revision()
    }
    /// The newest epoch that is staged or active.
    pub fn staged_number(&self) -> u64 {
        self.epochs.newest_staged()
    }
    /// The member routers, as far as they are known here.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }
    /// The registry that last confirmed the lease.
    pub fn tail(&self) -> Option<NodeId> {
        self.lease.tail.map(|tail| tail.id)
    }

    /// Takes one input in at a moment, and returns what is to be done.
    pub fn step(&mut self, now: Duration, input: FollowerInput) -> Vec<FollowerOutput> {
        self.now = now;
        match input {
            FollowerInput::Tick => self.tick(),
            FollowerInput::Registry { from, message } => self.registry(from, message),
            FollowerInput::Peer { from, message } => self.peer(from, message),
            FollowerInput::Leave => {
                self.is_leaving = true;
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
        let ends = self.lease_ends();
        let event = if now < ends.by_core {
            ServingEvent::CoreProved
        } else if now < ends.by_peers {
            ServingEvent::PeersProved
        } else {
            ServingEvent::Unproved
        };
        self.state_machine.take(event)
    }

    /// The moment until which this router may serve by its step, as far as it knows now.
    pub fn serves_until(&self) -> Duration {
        let ends = self.lease_ends();
        ends.by_core.max(ends.by_peers)
    }

    /// While a newer epoch may come into force, only the core's word counts, and only for a short while.
    fn lease_ends(&self) -> LeaseEnds {
        if self.is_guarded() {
            return self.lease.ends(self.timing.guard, Duration::ZERO, Duration::ZERO).without_peers();
        }
        self.lease.ends(self.timing.hold, self.timing.guard, self.timing.peer_hold)
    }

    pub(crate) fn is_guarded(&self) -> bool {
        self.epochs.has_newer()
    }

    pub(crate) fn send_to_registry(&mut self, to: Option<NodeId>, message: LeaseMessage) {
        self.outs.push(FollowerOutput::ToRegistry { to, message });
    }

    pub(crate) fn next_request_number(&mut self) -> u64 {
        self.last_request_id += 1;
        self.last_request_id
    }
}
