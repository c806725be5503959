//! Router side of membership and leases: renews the lease, records when each confirmation was requested, stages and
//! activates epochs, and determines whether the router may serve. A confirmation counts from its request, so a router
//! that was paused or is late ends its lease too early rather than too late.

use crate::configuration_fetch::ConfigurationFetch;
use crate::epochs::Epochs;
use crate::follower_types::{FollowerInput, FollowerOutput, FollowerTiming};
use crate::lease::{Lease, LeaseEnds};
use crate::membership::{HASHING_VERSION, Membership};
use crate::part_transfer::PartialTransfer;
use crate::peer_quorum::PeerConfirmations;
use crate::serving_status::{ServingEvent, ServingStateMachine, ServingStatus};
use std::time::Duration;
use wire::{Capacity, LeaseMessage, NodeId};

/// Transfers that arrive in parts.
#[derive(Default)]
pub(crate) struct Transfers {
    /// Fetch of the complete configuration.
    pub fetch: Option<ConfigurationFetch>,
    /// Parts of the next epoch.
    pub next_epoch: Option<PartialTransfer>,
}

/// State machine of the router side of membership and leases. Coordinates the epochs, the lease, the confirmations by
/// peers and the transfers in parts.
pub struct Follower {
    pub(crate) me: NodeId,
    pub(crate) join_message: LeaseMessage,
    pub(crate) timing: FollowerTiming,
    pub(crate) now: Duration,
    pub(crate) outputs: Vec<FollowerOutput>,
    pub(crate) epochs: Epochs,
    pub(crate) lease: Lease,
    pub(crate) membership: Membership,
    pub(crate) peers: PeerConfirmations,
    pub(crate) transfers: Transfers,
    pub(crate) is_leaving: bool,
    pub(crate) join_sent_at: Option<Duration>,
    pub(crate) last_request_id: u64,
    state_machine: ServingStateMachine,
    serving_status: ServingStatus,
}

/// Returns the request number at which an incarnation begins to count. Incarnations never share request numbers, so an
/// answer to an earlier incarnation matches no request of the present one.
pub fn first_request_number(incarnation: u64) -> u64 {
    (incarnation & 0x3fff_ffff) << 32
}

impl Follower {
    /// Creates the follower of a router that has just started. `address` is for routers, `ops` for operators.
    pub fn new(me: NodeId, incarnation: u64, address: &str, zone: &str, ops: &str, timing: FollowerTiming) -> Self {
        let (address, zone, ops) = (address.into(), zone.into(), ops.into());
        Follower {
            me,
            join_message: LeaseMessage::JoinWithCapacity {
                address,
                zone,
                ops,
                hashing: HASHING_VERSION,
                capacity: Capacity::default(),
            },
            timing,
            now: Duration::ZERO,
            outputs: Vec::new(),
            epochs: Epochs::default(),
            lease: Lease::default(),
            membership: Membership::default(),
            peers: PeerConfirmations::default(),
            transfers: Transfers::default(),
            is_leaving: false,
            join_sent_at: None,
            last_request_id: first_request_number(incarnation),
            state_machine: ServingStateMachine::default(),
            serving_status: ServingStatus::Waiting,
        }
    }

    /// Sets the capacity of this machine, which is sent on joining.
    pub fn with_capacity(mut self, available: Capacity) -> Self {
        if let LeaseMessage::JoinWithCapacity { capacity, .. } = &mut self.join_message {
            *capacity = available;
        }
        self
    }

    /// Returns the resources of the active epoch, by key.
    pub fn resources(&self) -> impl Iterator<Item = (&str, &[u8])> {
        self.epochs.items()
    }
    /// Returns the id of this router.
    pub fn me(&self) -> NodeId {
        self.me
    }
    /// Returns the number of the active epoch.
    pub fn active_epoch(&self) -> u64 {
        self.epochs.active()
    }
    /// Returns the operators' revision of the active epoch.
    pub fn revision(&self) -> u64 {
        self.epochs.revision()
    }
    /// Returns the newest epoch that is staged or active.
    pub fn staged_epoch(&self) -> u64 {
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
            FollowerInput::Registry { from, message } => self.handle_registry_message(from, message),
            FollowerInput::Peer { from, message } => self.handle_peer_message(from, message),
            FollowerInput::Leave => {
                self.is_leaving = true;
                self.send_leaving();
            }
        }
        let serving_status = self.serving_status_at(now);
        if serving_status != self.serving_status {
            self.serving_status = serving_status;
            self.outputs.push(FollowerOutput::ServingStatus { serving_status });
        }
        std::mem::take(&mut self.outputs)
    }

    /// Returns whether the router may serve at `now`. It is called again right before each dispatch.
    pub fn serving_status_at(&mut self, now: Duration) -> ServingStatus {
        let ends = self.lease_ends();
        let event = if now < ends.by_core {
            ServingEvent::CoreConfirmed
        } else if now < ends.by_peers {
            ServingEvent::PeersConfirmed
        } else {
            ServingEvent::LeaseExpired
        };
        self.state_machine.handle(event)
    }

    /// Returns until when this router may serve by its active epoch, as far as it knows now.
    pub fn serves_until(&self) -> Duration {
        let ends = self.lease_ends();
        ends.by_core.max(ends.by_peers)
    }

    /// Returns when the lease expires. While a newer epoch may be activated, only a confirmation by the core counts,
    /// and only for a short time.
    fn lease_ends(&self) -> LeaseEnds {
        if self.newer_epoch_is_known() {
            return self.lease.ends(self.timing.guard, Duration::ZERO, Duration::ZERO).without_peers();
        }
        self.lease.ends(self.timing.hold, self.timing.guard, self.timing.peer_hold)
    }

    pub(crate) fn newer_epoch_is_known(&self) -> bool {
        self.epochs.knows_newer()
    }

    pub(crate) fn send_to_registry(&mut self, to: Option<NodeId>, message: LeaseMessage) {
        self.outputs.push(FollowerOutput::ToRegistry { to, message });
    }

    pub(crate) fn next_request_number(&mut self) -> u64 {
        self.last_request_id += 1;
        self.last_request_id
    }
}
