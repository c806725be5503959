//! Requests of routers that wait for a confirmation round started after they came: whatever claims to be current
//! must be confirmed by a majority first. Renewals that come close together share a round.

use std::collections::VecDeque;
use std::time::Duration;
use wire::{LeaseMessage, NodeId};

/// So many requests may wait for rounds, and so many renewals for their round to start.
const MAX_WAITING: usize = 4096;
/// Rounds for renewals start no sooner after one another.
const SHARED_ROUND_INTERVAL: Duration = Duration::from_millis(15);

/// A request as it came.
pub struct RouterRequest {
    /// The router.
    pub from: NodeId,
    /// Its incarnation.
    pub incarnation: u64,
    /// What it requests.
    pub message: LeaseMessage,
}

struct AwaitingRound {
    round: u64,
    request: RouterRequest,
}

/// Requests that wait.
#[derive(Default)]
pub struct RouterRequests {
    renewals: Vec<RouterRequest>,
    awaiting: VecDeque<AwaitingRound>,
    round_requested_at: Duration,
}

impl RouterRequests {
    /// Whether a renewal can be taken.
    pub fn has_renewal_capacity(&self) -> bool {
        self.renewals.len() < MAX_WAITING
    }

    /// Whether another request can be taken.
    pub fn has_capacity(&self) -> bool {
        self.awaiting.len() < MAX_WAITING
    }

    /// How many wait for a round.
    pub fn len(&self) -> usize {
        self.awaiting.len()
    }

    /// Adds a renewal to those that share the next round.
    pub fn add_renewal(&mut self, request: RouterRequest) {
        self.renewals.push(request);
    }

    /// Whether a round for the renewals is due.
    pub fn is_round_due(&self, now: Duration) -> bool {
        !self.renewals.is_empty() && now >= self.round_requested_at + SHARED_ROUND_INTERVAL
    }

    /// A round was requested: the renewals wait for it.
    pub fn record_round(&mut self, round: u64, now: Duration) {
        self.round_requested_at = now;
        let renewals = self.renewals.drain(..).map(|request| AwaitingRound { round, request });
        self.awaiting.extend(renewals);
    }

    /// Adds a request that waits for a round.
    pub fn add(&mut self, round: u64, request: RouterRequest) {
        self.awaiting.push_back(AwaitingRound { round, request });
    }

    /// The next request whose round is confirmed.
    pub fn next_confirmed(&mut self, round: u64) -> Option<RouterRequest> {
        self.awaiting.pop_front_if(|awaiting| awaiting.round <= round).map(|awaiting| awaiting.request)
    }
}
