//! Failure detection: when each voter last answered a heartbeat, and whether it reported itself unhealthy.

use std::collections::BTreeMap;
use std::time::Duration;
use wire::NodeId;

/// Observed health of a voter.
#[derive(Clone, Copy, Hash)]
pub struct VoterHealth {
    /// When the voter last answered a heartbeat, or when the detector began to watch it.
    pub last_heard: Duration,
    /// Whether the voter's heartbeats report that its disk fails or stalls.
    pub is_unhealthy: bool,
}

/// Suspects voters that do not answer or report themselves unhealthy.
#[derive(Clone)]
pub struct FailureDetector {
    suspect_after: Duration,
    voters: BTreeMap<NodeId, VoterHealth>,
    /// Start of the uninterrupted period in which some member of the chain has been suspected.
    chain_suspected_since: Option<Duration>,
}

impl FailureDetector {
    /// Creates a detector that suspects voters without an answer for longer than `suspect_after`.
    pub fn new(suspect_after: Duration) -> Self {
        FailureDetector { suspect_after, voters: BTreeMap::new(), chain_suspected_since: None }
    }

    /// Treats these voters as healthy, as if all of them had just answered.
    pub fn assume_alive(&mut self, voters: impl Iterator<Item = NodeId>, now: Duration) {
        for id in voters {
            self.voters.insert(id, VoterHealth { last_heard: now, is_unhealthy: false });
        }
    }

    /// Records the health reported in a voter's heartbeat. This does not count as an answer, since only an answer
    /// shows that the voter can also receive.
    pub fn record_reported_health(&mut self, id: NodeId, is_unhealthy: bool) {
        if let Some(health) = self.voters.get_mut(&id) {
            health.is_unhealthy = is_unhealthy;
        }
    }

    /// Records that a voter answered a heartbeat.
    pub fn record_answer(&mut self, id: NodeId, now: Duration) {
        if let Some(health) = self.voters.get_mut(&id) {
            health.last_heard = now;
        }
    }

    /// Returns whether a voter is unhealthy, has not answered for too long, or is not watched.
    pub fn is_suspect(&self, id: NodeId, now: Duration) -> bool {
        self.voters.get(&id).is_none_or(|health| health.is_unhealthy || now > health.last_heard + self.suspect_after)
    }

    /// Returns whether a voter has not answered for longer than `limit`, or is not watched.
    pub fn is_silent(&self, id: NodeId, now: Duration, limit: Duration) -> bool {
        self.voters.get(&id).is_none_or(|health| now > health.last_heard + limit)
    }

    /// Returns whether a watched voter has not answered for long enough to be suspected.
    pub fn has_timed_out(&self, id: NodeId, now: Duration) -> bool {
        self.voters.get(&id).is_some_and(|health| now > health.last_heard + self.suspect_after)
    }

    /// Records that a member of the chain is suspected now, and returns when the uninterrupted period of suspicion
    /// began.
    pub fn record_chain_suspicion(&mut self, now: Duration) -> Duration {
        *self.chain_suspected_since.get_or_insert(now)
    }

    /// Records that no member of the chain is suspected.
    pub fn clear_chain_suspicion(&mut self) {
        self.chain_suspected_since = None;
    }

    pub(crate) fn voters(&self) -> &BTreeMap<NodeId, VoterHealth> {
        &self.voters
    }

    pub(crate) fn chain_suspected_since(&self) -> Option<Duration> {
        self.chain_suspected_since
    }
}
