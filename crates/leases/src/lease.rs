//! Lease of a router: until when it may serve by its active epoch, as confirmed by the core or by its peers.

use std::collections::BTreeMap;
use std::time::Duration;
use wire::NodeId;

/// Registry that last confirmed the lease.
#[derive(Clone, Copy)]
pub struct ConfirmingTail {
    /// Id of the registry.
    pub id: NodeId,
    /// When it last confirmed the lease.
    pub heard_at: Duration,
}

/// When the confirmations of the lease expire; zero if there is none.
#[derive(Clone, Copy)]
pub struct LeaseEnds {
    /// End of the confirmation by the core.
    pub by_core: Duration,
    /// End of the confirmation by peers.
    pub by_peers: Duration,
}

impl LeaseEnds {
    /// Returns the ends without the confirmation by peers.
    pub fn without_peers(self) -> Self {
        LeaseEnds { by_peers: Duration::ZERO, ..self }
    }
}

/// Lease of a router and its unanswered renewals. A confirmation counts from its request, so a router that was paused
/// or is late ends its lease too early rather than too late.
#[derive(Default)]
pub struct Lease {
    /// When the newest confirmation of the active epoch by the core was requested.
    pub core_confirmed: Option<Duration>,
    /// When the newest confirmation of any epoch by the core was requested.
    pub core_heard: Option<Duration>,
    /// When the newest confirmation by a majority of peers was requested.
    pub peers_confirmed: Option<Duration>,
    /// When a renewal was last sent; `None` makes the next one due at once.
    pub renewed_at: Option<Duration>,
    /// Registry that is the tail, if known.
    pub tail: Option<ConfirmingTail>,
    /// Whether the core counts this router among the members.
    pub is_member: bool,
    pending: BTreeMap<u64, Duration>,
}

impl Lease {
    /// Records that a renewal was sent, and drops renewals older than `duration`, the longest lease.
    pub fn record_renewal(&mut self, request_id: u64, now: Duration, duration: Duration) {
        self.pending.insert(request_id, now);
        self.pending.retain(|_, requested_at| now < *requested_at + duration);
    }

    /// Removes an answered renewal and returns when it was sent.
    pub fn complete_renewal(&mut self, request_id: u64) -> Option<Duration> {
        self.pending.remove(&request_id)
    }

    /// Drops the confirmations, which apply to the previous epoch, after another epoch was activated.
    pub fn reset(&mut self) {
        self.core_confirmed = None;
        self.peers_confirmed = None;
        self.renewed_at = None;
    }

    /// Records that the core confirmed the active epoch in response to a renewal sent at `requested_at`.
    pub fn record_core_confirmation(&mut self, requested_at: Duration) {
        self.core_confirmed = self.core_confirmed.max(Some(requested_at));
        self.core_heard = self.core_heard.max(Some(requested_at));
    }

    /// Returns when the confirmations expire: `by_core` and `by_peers` are their durations. A confirmation by peers
    /// also expires `peer_hold` after the last confirmation by the core was requested.
    pub fn ends(&self, by_core: Duration, by_peers: Duration, peer_hold: Duration) -> LeaseEnds {
        let end = |requested_at: Option<Duration>, duration: Duration| {
            requested_at.map_or(Duration::ZERO, |at| at + duration)
        };
        let peers_end = end(self.peers_confirmed, by_peers).min(end(self.core_heard, peer_hold));
        LeaseEnds { by_core: end(self.core_confirmed, by_core), by_peers: peers_end }
    }
}
