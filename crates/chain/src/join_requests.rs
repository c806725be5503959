//! Who asks to join the chain, since when, and when last.

use crate::snapshot::RETRY_INTERVAL;
use std::collections::BTreeMap;
use std::time::Duration;
use wire::NodeId;

/// So many are remembered; further ones are passed over until some are forgotten.
const MAX_REQUESTS: usize = 16;
/// Whoever has not asked for this long is forgotten.
const REQUEST_TTL: Duration = Duration::from_secs(10);

/// One replica's wish to join.
#[derive(Clone, Copy, Hash)]
pub struct JoinRequest {
    /// Since when it asks, as far as is known here.
    pub since: Duration,
    /// When it last asked.
    pub last: Duration,
}

/// Wishes to join, by replica.
#[derive(Clone, Default)]
pub struct JoinRequests {
    table: BTreeMap<NodeId, JoinRequest>,
}

impl JoinRequests {
    /// Records a request. Who asks says how long it has waited, since whoever is the tail now may not have heard
    /// it before.
    pub fn record(&mut self, id: NodeId, waited: Duration, now: Duration) {
        self.table.retain(|_, request| now < request.last + REQUEST_TTL);
        if self.table.len() < MAX_REQUESTS || self.table.contains_key(&id) {
            let request = self.table.entry(id).or_insert(JoinRequest { since: now, last: now });
            request.since = request.since.min(now.saturating_sub(waited));
            request.last = now;
        }
    }

    /// Whether a replica has asked lately.
    pub fn is_recent(&self, id: NodeId, now: Duration) -> bool {
        self.table.get(&id).is_some_and(|request| now < request.last + RETRY_INTERVAL * 3)
    }

    /// Whether a replica has been asking for this long.
    pub fn has_waited(&self, id: NodeId, period: Duration, now: Duration) -> bool {
        self.table.get(&id).is_some_and(|request| now >= request.since + period)
    }

    /// Who asks or asked.
    pub fn ids(&self) -> impl Iterator<Item = NodeId> {
        self.table.keys().copied()
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&NodeId, &JoinRequest)> {
        self.table.iter()
    }
}
