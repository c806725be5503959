//! Confirmation rounds: a majority of voters confirms that no newer view has begun, so that the tail may answer
//! reads and grant leases from its committed state.

use std::collections::BTreeSet;
use std::time::Duration;
use wire::NodeId;

/// Confirmed round that waits until the entries appended before its confirmation are committed.
#[derive(Clone, Copy, Hash)]
pub struct AwaitingCommit {
    /// Number of the round.
    pub round: u64,
    /// Newest entry when the round was confirmed.
    pub seq: u64,
}

/// State of the current round and the request for the next one.
#[derive(Clone, Default)]
pub struct Confirmation {
    /// Number of the current round, or of the last one.
    pub number: u64,
    /// When the round was started.
    pub started_at: Duration,
    /// Voters that answered the round.
    pub acknowledged_by: BTreeSet<NodeId>,
    /// Whether the round still waits for a majority.
    pub is_running: bool,
    /// Number of the newest requested round.
    pub requested: u64,
    /// Confirmed round that waits for entries to be committed.
    pub awaiting_commit: Option<AwaitingCommit>,
}

impl Confirmation {
    /// Sets the number from which rounds are counted. Each process starts from a different number, so that an
    /// answer to a round of an earlier process does not count for a round of this one.
    pub fn number_from(&mut self, first: u64) {
        self.requested = first;
        self.number = first;
    }

    /// Requests a round that starts after this call, and returns its number.
    pub fn request(&mut self) -> u64 {
        self.requested = self.number + 1;
        self.requested
    }

    /// Returns whether a requested round has not been started yet.
    pub fn is_due(&self) -> bool {
        self.requested > self.number
    }

    /// Starts the next round.
    pub fn start(&mut self, now: Duration) {
        self.number += 1;
        self.acknowledged_by.clear();
        self.is_running = true;
        self.started_at = now;
    }

    /// Discards the current round after a view change, since its answers apply to the previous view.
    pub fn reset(&mut self) {
        self.is_running = false;
        self.awaiting_commit = None;
    }
}
