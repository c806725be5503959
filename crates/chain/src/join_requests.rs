//! Replicas that ask to join the chain, with the times of their first and latest request.

use crate::snapshot::RETRY_INTERVAL;
use std::collections::BTreeMap;
use std::time::Duration;
use wire::NodeId;

/// Maximum number of remembered replicas; requests of others are ignored until some expire.
const MAX_REQUESTS: usize = 16;
/// Time after its latest request for which a replica is remembered.
const REQUEST_TTL: Duration = Duration::from_secs(10);

/// Request of one replica to join.
#[derive(Clone, Copy, Hash)]
pub struct JoinRequest {
    /// When the replica began to ask, as far as known here.
    pub since: Duration,
    /// When the replica last asked.
    pub last: Duration,
}

/// Requests to join, by replica.
#[derive(Clone, Default)]
pub struct JoinRequests {
    table: BTreeMap<NodeId, JoinRequest>,
}

impl JoinRequests {
    /// Records a request. The requester reports how long it has waited, because the current tail may not have
    /// received its earlier requests.
    pub fn record(&mut self, id: NodeId, waited: Duration, now: Duration) {
        self.table.retain(|_, request| now < request.last + REQUEST_TTL);
        if self.table.len() < MAX_REQUESTS || self.table.contains_key(&id) {
            let request = self.table.entry(id).or_insert(JoinRequest { since: now, last: now });
            request.since = request.since.min(now.saturating_sub(waited));
            request.last = now;
        }
    }

    /// Returns whether a replica has asked within the last few retry intervals.
    pub fn is_recent(&self, id: NodeId, now: Duration) -> bool {
        self.table.get(&id).is_some_and(|request| now < request.last + RETRY_INTERVAL * 3)
    }

    /// Returns whether a replica has been asking for at least `period`.
    pub fn has_waited(&self, id: NodeId, period: Duration, now: Duration) -> bool {
        self.table.get(&id).is_some_and(|request| now >= request.since + period)
    }

    /// Returns the ids of the remembered replicas.
    pub fn ids(&self) -> impl Iterator<Item = NodeId> {
        self.table.keys().copied()
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&NodeId, &JoinRequest)> {
        self.table.iter()
    }
}
