//! Replicas that have announced a planned stop, and the deadline of each.

use std::collections::BTreeMap;
use std::time::Duration;
use wire::NodeId;

/// Time after which an announcement that is not repeated counts as withdrawn, if its sender still sends heartbeats:
/// the replica was restarted.
const WITHDRAWN_AFTER: Duration = Duration::from_secs(1);

/// Condition that a planned stop still waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DepartureWait {
    /// Another change of the membership is in progress.
    MembershipChange,
    /// Too few other replicas are in the chain and hold all data.
    Replicas,
    /// The remaining voters would lose their majority after the number of losses to tolerate, so a successor must
    /// join first.
    Successor,
    /// No other replica is known to have adopted the view without this replica.
    Acknowledgement,
}

impl DepartureWait {
    /// Returns the name used in status pages and logs.
    pub fn name(self) -> &'static str {
        match self {
            DepartureWait::MembershipChange => "membership-change",
            DepartureWait::Replicas => "replicas",
            DepartureWait::Successor => "successor",
            DepartureWait::Acknowledgement => "acknowledgement",
        }
    }
}

/// Planned stop of this replica.
#[derive(Clone, Copy, Debug)]
pub struct Departure {
    /// When the replica was asked to stop.
    pub since: Duration,
    /// When the process ends, even if the stop is not prepared by then.
    pub deadline: Duration,
}

/// Announcement of a planned stop by another replica.
#[derive(Clone, Copy, Debug, Hash)]
pub struct Announcement {
    /// When the announcement was last received.
    pub heard_at: Duration,
    /// Latest time at which the process ends.
    pub deadline: Duration,
}

/// Announced stops, by replica.
#[derive(Clone, Debug, Default)]
pub struct Departures {
    table: BTreeMap<NodeId, Announcement>,
}

impl Departures {
    /// Records that a replica announced the end of its process within `remaining`.
    pub fn record(&mut self, id: NodeId, remaining: Duration, now: Duration) {
        self.table.insert(id, Announcement { heard_at: now, deadline: now + remaining });
    }

    /// Records a heartbeat, and withdraws an announcement that is no longer repeated: its sender was restarted and
    /// is not leaving any more. The announcement of a replica without heartbeats stays, since that replica has
    /// stopped.
    pub fn record_heartbeat(&mut self, id: NodeId, now: Duration) {
        if self.table.get(&id).is_some_and(|announcement| now > announcement.heard_at + WITHDRAWN_AFTER) {
            self.table.remove(&id);
        }
    }

    /// Removes the announcements of replicas that are no longer members.
    pub fn retain(&mut self, is_member: impl Fn(NodeId) -> bool) {
        self.table.retain(|id, _| is_member(*id));
    }

    /// Returns whether a replica has announced a planned stop.
    pub fn is_leaving(&self, id: NodeId) -> bool {
        self.table.contains_key(&id)
    }

    /// Returns the latest time at which the process of a leaving replica ends.
    pub fn deadline(&self, id: NodeId) -> Option<Duration> {
        self.table.get(&id).map(|announcement| announcement.deadline)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&NodeId, &Announcement)> {
        self.table.iter()
    }
}
