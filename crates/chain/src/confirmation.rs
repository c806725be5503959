//! Rounds in which a majority of voters confirms that no newer view has begun, so that the tail may answer
//! reads and grant leases from its committed state.

use std::collections::BTreeSet;
use std::time::Duration;
use wire::NodeId;

/// A confirmed round waits for this entry: what was appended before the round must be committed first.
#[derive(Clone, Copy, Hash)]
pub struct AwaitingCommit {
    /// The round.
    pub round: u64,
    /// The newest entry when it was confirmed.
    pub seq: u64,
}

/// The round in progress and the one that is wanted next.
#[derive(Clone, Default)]
pub struct Confirmation {
    /// The round that is in progress, or was last.
    pub number: u64,
    /// When it was started.
    pub started_at: Duration,
    /// Voters that answered it.
    pub acknowledged_by: BTreeSet<NodeId>,
    /// Whether it still waits for a majority.
    pub is_running: bool,
    /// The newest round that was requested.
    pub wanted: u64,
    /// A confirmed round that waits for entries to be committed.
    pub awaiting_commit: Option<AwaitingCommit>,
}

impl Confirmation {
    /// Numbers rounds from here on. An answer to a round that an earlier process started must not count for one
    /// of this process, so each numbers them differently.
    pub fn number_from(&mut self, first: u64) {
        self.wanted = first;
        self.number = first;
    }

    /// Requests a round that is started after this moment, and returns its number.
    pub fn request(&mut self) -> u64 {
        self.wanted = self.number + 1;
        self.wanted
    }

    /// Whether a round was requested that has not been started.
    pub fn is_due(&self) -> bool {
        self.wanted > self.number
    }

    /// Starts the next round.
    pub fn start(&mut self, now: Duration) {
        self.number += 1;
        self.acknowledged_by.clear();
        self.is_running = true;
        self.started_at = now;
    }

    /// The view changed: what was confirmed was confirmed of the view before.
    pub fn reset(&mut self) {
        self.is_running = false;
        self.awaiting_commit = None;
    }
}
