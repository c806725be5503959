//! A router's lease: until when it may serve by its active epoch, on the word of the core or of its peers.

use std::collections::BTreeMap;
use std::time::Duration;
use wire::NodeId;

/// The registry that last confirmed the lease, and when.
#[derive(Clone, Copy)]
pub struct ConfirmingTail {
    /// The registry.
    pub id: NodeId,
    /// When it last did.
    pub heard_at: Duration,
}

/// Until when each side's word lasts, zero where there is none.
#[derive(Clone, Copy)]
pub struct LeaseEnds {
    /// The core's.
    pub by_core: Duration,
    /// The peers'.
    pub by_peers: Duration,
}

impl LeaseEnds {
    /// Without the peers' word.
    pub fn without_peers(self) -> Self {
        LeaseEnds { by_peers: Duration::ZERO, ..self }
    }
}

/// The lease, and the renewals that are not answered. A confirmation counts from when it was requested, so a
/// frozen or late router can only be too careful.
#[derive(Default)]
pub struct Lease {
    /// When the newest confirmation by the core was requested.
    pub core_confirmed: Option<Duration>,
    /// When the newest confirmation by the core of any epoch was requested.
    pub core_heard: Option<Duration>,
    /// When the newest confirmation by a majority of peers was requested.
    pub peers_confirmed: Option<Duration>,
    /// When a renewal was last sent; none makes the next due at once.
    pub renewed_at: Option<Duration>,
    /// The tail, as far as it is known.
    pub tail: Option<ConfirmingTail>,
    /// Whether the core counts this router among the members.
    pub is_member: bool,
    pending: BTreeMap<u64, Duration>,
}

impl Lease {
    /// A renewal is sent under this number. Those that are older than the longest lease are forgotten.
    pub fn record_renewal(&mut self, request_id: u64, now: Duration, duration: Duration) {
        self.pending.insert(request_id, now);
        self.pending.retain(|_, requested_at| now < *requested_at + duration);
    }

    /// A renewal is answered; returns when it was requested.
    pub fn take_renewal(&mut self, request_id: u64) -> Option<Duration> {
        self.pending.remove(&request_id)
    }

    /// Another epoch is active: what was confirmed was confirmed of the one before.
    pub fn reset(&mut self) {
        self.core_confirmed = None;
        self.peers_confirmed = None;
        self.renewed_at = None;
    }

    /// The core confirms the active epoch, in answer to a request of this moment.
    pub fn record_core_confirmation(&mut self, requested_at: Duration) {
        self.core_confirmed = self.core_confirmed.max(Some(requested_at));
        self.core_heard = self.core_heard.max(Some(requested_at));
    }

    /// Until when it lasts, if the core's word lasts so long and the peers' so long, though never longer than
    /// `peer_hold` after the core was last heard.
    pub fn ends(&self, by_core: Duration, by_peers: Duration, peer_hold: Duration) -> LeaseEnds {
        let end =
            |requested_at: Option<Duration>, lasts: Duration| requested_at.map_or(Duration::ZERO, |at| at + lasts);
        let peers_end = end(self.peers_confirmed, by_peers).min(end(self.core_heard, peer_hold));
        LeaseEnds { by_core: end(self.core_confirmed, by_core), by_peers: peers_end }
    }
}
