//! How far entries have travelled along the chain in the present view: from the predecessor to this replica,
//! and from this replica to its successor.

use std::time::Duration;

/// Progress towards both neighbours; started anew with each view.
#[derive(Clone)]
pub struct ReplicationProgress {
    /// The newest entry the head had when the view began, as the predecessor says. A tail that has synced all up
    /// to it holds everything that may have been committed before.
    pub fence: Option<u64>,
    /// The newest entry this replica had when it entered the view; sent to the successor as its fence.
    pub own_fence: u64,
    /// The newest entry sent to the successor, once that has said where it stands.
    pub sent: Option<u64>,
    /// The newest entry the successor reported as synced.
    pub acknowledged: u64,
    /// When that last moved on, or entries were last sent again.
    pub acknowledged_at: Duration,
}

impl ReplicationProgress {
    /// At the beginning of a view, where the newest entry here is `last`.
    pub fn new(last: u64, now: Duration) -> Self {
        ReplicationProgress { fence: None, own_fence: last, sent: None, acknowledged: 0, acknowledged_at: now }
    }

    /// The successor says that it holds everything up to here.
    pub fn start_from(&mut self, seq: u64, now: Duration) {
        self.acknowledged = seq;
        self.sent = Some(seq);
        self.acknowledged_at = now;
    }

    /// The successor synced everything up to here.
    pub fn acknowledge(&mut self, seq: u64, now: Duration) {
        if seq > self.acknowledged {
            self.acknowledged = seq;
            self.acknowledged_at = now;
        }
    }
}
