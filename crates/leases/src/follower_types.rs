//! Inputs, outputs and timing of a follower.

use crate::serving_status::ServingStatus;
use std::time::Duration;
use wire::{LeaseMessage, NodeId};

/// Default time for which routers confirm each other's leases without the core.
pub const DEFAULT_PEER_HOLD: Duration = Duration::from_secs(300);

/// Intervals and limits of a follower.
#[derive(Clone, Debug)]
pub struct FollowerTiming {
    /// Duration of a confirmation by the core.
    pub hold: Duration,
    /// Duration of a confirmation by the core while a newer epoch may be activated, and of a confirmation by peers.
    pub guard: Duration,
    /// Time after the core's last confirmation during which confirmations by peers count. The core waits for this time
    /// before it stops requiring the missing routers of a quorum.
    pub peer_hold: Duration,
    /// Interval of lease renewals.
    pub renew: Duration,
    /// Interval of renewals while a newer epoch may be activated.
    pub renew_guarded: Duration,
    /// Interval of such renewals in a large fleet, where the tail answers many routers.
    pub renew_guarded_many: Duration,
    /// Number of routers above which a fleet is large. Its routers confirm each other's leases through a few relays.
    pub relay_above: usize,
}

impl Default for FollowerTiming {
    fn default() -> Self {
        FollowerTiming {
            hold: Duration::from_millis(1500),
            guard: Duration::from_millis(200),
            peer_hold: DEFAULT_PEER_HOLD,
            renew: Duration::from_millis(250),
            renew_guarded: Duration::from_millis(40),
            renew_guarded_many: Duration::from_millis(80),
            relay_above: 12,
        }
    }
}

/// Input of a follower.
#[derive(Clone, Debug)]
pub enum FollowerInput {
    /// Time has passed.
    Tick,
    /// A message from a registry.
    Registry {
        /// The registry.
        from: NodeId,
        /// The message.
        message: LeaseMessage,
    },
    /// A message from another router.
    Peer {
        /// The router.
        from: NodeId,
        /// The message.
        message: LeaseMessage,
    },
    /// The process is about to stop as planned.
    Leave,
}

/// Output of a follower.
#[derive(Clone, Debug, PartialEq)]
pub enum FollowerOutput {
    /// Send a message to a registry.
    ToRegistry {
        /// The registry, or `None` for all registries.
        to: Option<NodeId>,
        /// The message.
        message: LeaseMessage,
    },
    /// Send a message to another router.
    ToPeer {
        /// The router.
        to: NodeId,
        /// The message.
        message: LeaseMessage,
    },
    /// Another epoch was activated.
    Activated {
        /// Number of the epoch.
        step: u64,
        /// Operators' revision of the epoch.
        revision: u64,
    },
    /// Another membership was adopted.
    MembershipUpdated {
        /// Number of the membership.
        number: u64,
    },
    /// New addresses of the registries are known.
    RegistryAddresses {
        /// The addresses.
        addresses: Vec<String>,
    },
    /// Whether this router may serve has changed.
    ServingStatus {
        /// The new status.
        serving_status: ServingStatus,
    },
    /// The core has removed this router from the members.
    RemovedFromMembers,
}
