//! Routers' requests that wait for a confirmation round started after they arrived, since an answer that claims to be
//! current must first be confirmed by a majority. Renewals that come close together share a round.

use std::collections::VecDeque;
use std::time::Duration;
use wire::{LeaseMessage, NodeId};

/// Maximum number of requests that wait for rounds, and of renewals that wait for their round to start.
const MAX_WAITING: usize = 4096;
/// Minimum time between the starts of two rounds for renewals.
const SHARED_ROUND_INTERVAL: Duration = Duration::from_millis(15);

/// A request of a router.
pub struct RouterRequest {
    /// The router that sent the request.
    pub from: NodeId,
    /// The router's incarnation.
    pub incarnation: u64,
    /// The request's message.
    pub message: LeaseMessage,
}

struct AwaitingRound {
    round: u64,
    request: RouterRequest,
}

/// Requests that wait for confirmation rounds.
#[derive(Default)]
pub struct RouterRequests {
    renewals: Vec<RouterRequest>,
    awaiting: VecDeque<AwaitingRound>,
    round_requested_at: Duration,
}

impl RouterRequests {
    /// Whether another renewal can be added.
    pub fn has_renewal_capacity(&self) -> bool {
        self.renewals.len() < MAX_WAITING
    }

    /// Whether another request can be added.
    pub fn has_capacity(&self) -> bool {
        self.awaiting.len() < MAX_WAITING
    }

    /// Returns the number of requests that wait for a round.
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

    /// Records that a round was requested, which the renewals now wait for.
    pub fn record_round(&mut self, round: u64, now: Duration) {
        self.round_requested_at = now;
        let renewals = self.renewals.drain(..).map(|request| AwaitingRound { round, request });
        self.awaiting.extend(renewals);
    }

    /// Adds a request that waits for a round.
    pub fn add(&mut self, round: u64, request: RouterRequest) {
        self.awaiting.push_back(AwaitingRound { round, request });
    }

    /// Removes and returns the next request whose round is confirmed.
    pub fn next_confirmed(&mut self, round: u64) -> Option<RouterRequest> {
        self.awaiting.pop_front_if(|awaiting| awaiting.round <= round).map(|awaiting| awaiting.request)
    }
}
