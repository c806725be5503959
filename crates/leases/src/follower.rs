//! Router side of membership and leases: renews the lease, records when each confirmation was requested, stages and
//! activates epochs, and determines whether the router may serve. A confirmation counts from its request, so a router
//! that was paused or is late ends its lease too early rather than too late.

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

/// Transfers that arrive in parts.
#[derive(Default)]
pub(crate) struct Transfers {
    /// Fetch of the complete configuration.
    pub fetch: Option<Fetch>,
    /// Parts of the next epoch.
    pub arriving: Option<Arriving>,
}

/// State machine of the router side of membership and leases. Coordinates the epochs, the lease, the confirmations by
/// peers and the transfers in parts.
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

/// Returns the request number at which an incarnation begins to count. Incarnations never share request numbers, so an
/// answer to an earlier incarnation matches no request of the present one.
pub fn first_number(incarnation: u64) -> u64 {
    (incarnation & 0x3fff_ffff) << 32
}

impl Follower {
    /// Creates the follower of a router that has just started. `address` is for routers, `ops` for operators.
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

    /// Sets the capacity of this machine, which is sent on joining.
    pub fn able_to_own(mut self, able: Capacity) -> Self {
        if let LeaseMessage::JoinWithCapacity { capacity, .. } = &mut self.joining {
            *capacity = able;
        }
        self
    }

    /// Returns the resources of the active epoch, by key.
    pub fn pairs(&self) -> impl Iterator<Item = (&str, &[u8])> {
        self.epochs.items()
    }
    /// Returns the id of this router.
    pub fn me(&self) -> NodeId {
        self.me
    }
    /// Returns the number of the active epoch.
    pub fn step_number(&self) -> u64 {
        self.epochs.active()
    }
    /// Returns the operators' revision of the active epoch.
    pub fn revision(&self) -> u64 {
        self.epochs.revision()
    }
    /// Returns the newest epoch that is staged or active.
    pub fn staged_number(&self) -> u64 {
        self.epochs.newest_staged()
    }
    /// Returns the newest membership known here.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }
    /// Returns the registry that last confirmed the lease.
    pub fn tail(&self) -> Option<NodeId> {
        self.lease.tail.map(|tail| tail.id)
    }

    /// Handles one input and returns the resulting outputs.
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

    /// Returns whether the router may serve at `now`. It is called again right before each dispatch.
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

    /// Returns until when this router may serve by its active epoch, as far as it knows now.
    pub fn serves_until(&self) -> Duration {
        let ends = self.lease_ends();
        ends.by_core.max(ends.by_peers)
    }

    /// Returns when the lease expires. While a newer epoch may be activated, only a confirmation by the core counts,
    /// and only for a short time.
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
