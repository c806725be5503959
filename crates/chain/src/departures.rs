//! Replicas that have announced a planned stop, and until when each can wait for it.

use std::collections::BTreeMap;
use std::time::Duration;
use wire::NodeId;

/// Whoever sends heartbeats and has not repeated its announcement for so long has withdrawn it, by a restart.
const WITHDRAWN_AFTER: Duration = Duration::from_secs(1);

/// What a planned stop still waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DepartureWait {
    /// Another change of the membership is in progress.
    MembershipChange,
    /// Too few others hold everything.
    Replicas,
    /// The voters that would be left could not bear the losses that are to be tolerated.
    Successor,
    /// Nobody else is known to have adopted the view without this replica.
    Acknowledgement,
}

impl DepartureWait {
    /// The word for it in status pages and logs.
    pub fn name(self) -> &'static str {
        match self {
            DepartureWait::MembershipChange => "membership-change",
            DepartureWait::Replicas => "replicas",
            DepartureWait::Successor => "successor",
            DepartureWait::Acknowledgement => "acknowledgement",
        }
    }
}

/// This replica's own planned stop.
#[derive(Clone, Copy, Debug)]
pub struct Departure {
    /// Since when it is asked to stop.
    pub since: Duration,
    /// Its process ends at this moment, whatever is in order by then.
    pub deadline: Duration,
}

/// Another replica's announcement.
#[derive(Clone, Copy, Debug, Hash)]
pub struct Announcement {
    /// When it was last heard.
    pub heard_at: Duration,
    /// When the process ends at the latest.
    pub deadline: Duration,
}

/// Announcements, by replica.
#[derive(Clone, Debug, Default)]
pub struct Departures {
    table: BTreeMap<NodeId, Announcement>,
}

impl Departures {
    /// A replica announces that its process ends within this time.
    pub fn record(&mut self, id: NodeId, remaining: Duration, now: Duration) {
        self.table.insert(id, Announcement { heard_at: now, deadline: now + remaining });
    }

    /// A replica is heard. One that was started again is not leaving any more and says so by its silence about it;
    /// one that is silent altogether has gone.
    pub fn record_heartbeat(&mut self, id: NodeId, now: Duration) {
        if self.table.get(&id).is_some_and(|announcement| now > announcement.heard_at + WITHDRAWN_AFTER) {
            self.table.remove(&id);
        }
    }

    /// Forgets those that are neither voters nor in the chain any more.
    pub fn retain(&mut self, is_member: impl Fn(NodeId) -> bool) {
        self.table.retain(|id, _| is_member(*id));
    }

    /// Whether a replica has announced that it leaves.
    pub fn is_leaving(&self, id: NodeId) -> bool {
        self.table.contains_key(&id)
    }

    /// When the process of a replica that leaves ends at the latest.
    pub fn deadline(&self, id: NodeId) -> Option<Duration> {
        self.table.get(&id).map(|announcement| announcement.deadline)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&NodeId, &Announcement)> {
        self.table.iter()
    }
}
