//! Progress of replication in the current view: from the predecessor to this replica, and from this replica to
//! its successor.

use std::time::Duration;

/// Replication progress with both neighbours; reset with each view.
#[derive(Clone)]
pub struct ReplicationProgress {
    /// Newest entry that the head had when the view began, as reported by the predecessor. A tail that has synced
    /// the log up to this entry holds everything that may have been committed before the view.
    pub fence: Option<u64>,
    /// Newest entry that this replica had when it entered the view; sent to the successor as its fence.
    pub own_fence: u64,
    /// Newest entry sent to the successor; `None` until the successor has reported its position.
    pub sent: Option<u64>,
    /// Newest entry that the successor reported as synced.
    pub acknowledged: u64,
    /// When `acknowledged` last advanced, or entries were last resent.
    pub acknowledged_at: Duration,
}

impl ReplicationProgress {
    /// Creates the progress at the beginning of a view in which the newest entry here is `last`.
    pub fn new(last: u64, now: Duration) -> Self {
        ReplicationProgress { fence: None, own_fence: last, sent: None, acknowledged: 0, acknowledged_at: now }
    }

    /// Records that the successor holds all entries up to `seq`, after which sending continues.
    pub fn start_from(&mut self, seq: u64, now: Duration) {
        self.acknowledged = seq;
        self.sent = Some(seq);
        self.acknowledged_at = now;
    }

    /// Records that the successor synced all entries up to `seq`.
    pub fn acknowledge(&mut self, seq: u64, now: Duration) {
        if seq > self.acknowledged {
            self.acknowledged = seq;
            self.acknowledged_at = now;
        }
    }
}
