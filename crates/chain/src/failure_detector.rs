//! Which voters are alive: when each last answered a heartbeat, and whether it called itself unhealthy.

use std::collections::BTreeMap;
use std::time::Duration;
use wire::NodeId;

/// What is known of one voter's health.
#[derive(Clone, Copy, Hash)]
pub struct VoterHealth {
    /// When it last answered a heartbeat, or when it was first expected to.
    pub last_heard: Duration,
    /// Whether its own heartbeats say that its disk fails or stalls.
    pub is_unhealthy: bool,
}

/// Suspects voters that stay silent or call themselves unhealthy.
#[derive(Clone)]
pub struct FailureDetector {
    suspect_after: Duration,
    voters: BTreeMap<NodeId, VoterHealth>,
    /// Since when a member of the chain has been suspected without a break.
    suspecting_since: Option<Duration>,
}

impl FailureDetector {
    /// A detector that suspects whoever has been silent for longer than this.
    pub fn new(suspect_after: Duration) -> Self {
        FailureDetector { suspect_after, voters: BTreeMap::new(), suspecting_since: None }
    }

    /// Gives these voters the benefit of the doubt, as if all had just answered.
    pub fn assume_alive(&mut self, voters: impl Iterator<Item = NodeId>, now: Duration) {
        for id in voters {
            self.voters.insert(id, VoterHealth { last_heard: now, is_unhealthy: false });
        }
    }

    /// A voter's heartbeat said how healthy it is. Only an answer shows that it can also receive.
    pub fn record_heartbeat(&mut self, id: NodeId, is_unhealthy: bool) {
        if let Some(health) = self.voters.get_mut(&id) {
            health.is_unhealthy = is_unhealthy;
        }
    }

    /// A voter answered a heartbeat.
    pub fn record_answer(&mut self, id: NodeId, now: Duration) {
        if let Some(health) = self.voters.get_mut(&id) {
            health.last_heard = now;
        }
    }

    /// Whether a voter is silent for too long or unhealthy, or was never expected.
    pub fn is_suspect(&self, id: NodeId, now: Duration) -> bool {
        self.voters.get(&id).is_none_or(|health| health.is_unhealthy || now > health.last_heard + self.suspect_after)
    }

    /// Whether a voter has been silent for longer than this, or was never expected.
    pub fn is_silent(&self, id: NodeId, now: Duration, limit: Duration) -> bool {
        self.voters.get(&id).is_none_or(|health| now > health.last_heard + limit)
    }

    /// Whether a voter that was expected has been silent for long enough to be suspected.
    pub fn is_missed(&self, id: NodeId, now: Duration) -> bool {
        self.voters.get(&id).is_some_and(|health| now > health.last_heard + self.suspect_after)
    }

    /// Notes that a member of the chain is suspected now, and returns since when without a break.
    pub fn suspect_chain(&mut self, now: Duration) -> Duration {
        *self.suspecting_since.get_or_insert(now)
    }

    /// Nobody in the chain is suspected.
    pub fn clear_suspicion(&mut self) {
        self.suspecting_since = None;
    }

    pub(crate) fn voters(&self) -> &BTreeMap<NodeId, VoterHealth> {
        &self.voters
    }

    pub(crate) fn suspecting_since(&self) -> Option<Duration> {
        self.suspecting_since
    }
}
