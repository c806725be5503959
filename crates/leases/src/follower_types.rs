//! What a follower takes in and returns, and its periods.

use crate::serving_status::ServingStatus;
use std::time::Duration;
use wire::{LeaseMessage, NodeId};

/// How long routers go by each other's word without the core, where no setting says otherwise.
pub const DEFAULT_PEER_HOLD: Duration = Duration::from_secs(300);

/// Periods and bounds of a follower.
#[derive(Clone, Debug)]
pub struct FollowerTiming {
    /// How long a confirmation by the core lasts.
    pub hold: Duration,
    /// How long one lasts while a newer epoch may come into force, and how long a confirmation by peers does.
    pub guard: Duration,
    /// For how long after the core's last word the word of peers counts. The core waits so long before it does
    /// without the routers of a quorum that are gone.
    pub peer_hold: Duration,
    /// How often the lease is renewed.
    pub renew: Duration,
    /// How often while a newer epoch may come into force.
    pub renew_guarded: Duration,
    /// The same in a fleet that is not small: the tail answers them all.
    pub renew_guarded_many: Duration,
    /// Fleets above this many are not small; they confirm one another through a few who ask for all.
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

/// What a follower takes in.
#[derive(Clone, Debug)]
pub enum FollowerInput {
    /// Time went on.
    Tick,
    /// A message of a registry.
    Registry {
        /// The registry.
        from: NodeId,
        /// The message.
        message: LeaseMessage,
    },
    /// A message of another router.
    Peer {
        /// The router.
        from: NodeId,
        /// The message.
        message: LeaseMessage,
    },
    /// The process is about to stop, as planned.
    Leave,
}

/// What a follower wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum FollowerOutput {
    /// Send a message to a registry.
    ToRegistry {
        /// The registry, or none for all.
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
    /// Another epoch is active.
    Activated {
        /// Its number.
        step: u64,
        /// The operators' revision of it.
        revision: u64,
    },
    /// Another membership is known.
    MembershipUpdated {
        /// Its number.
        number: u64,
    },
    /// Registries are at these addresses.
    RegistryAddresses {
        /// The addresses.
        addresses: Vec<String>,
    },
    /// Whether this router may serve has changed.
    ServingStatus {
        /// The new status.
        serving_status: ServingStatus,
    },
    /// The core counted this router among the members and does so no longer.
    Lapsed,
}
