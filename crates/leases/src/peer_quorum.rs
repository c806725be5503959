//! Confirms leases without the core: a majority of the active epoch's quorum reply that they hold no newer epoch,
//! staged ones included. An epoch can only be activated once a majority of the same quorum has staged it, so the two
//! majorities share a machine. Nor may they hold a newer membership: owners depend on it, and this router may have been
//! removed without knowing.
//!
//! In a large quorum, routers do not all query each other. A few strong machines, the relays, query a majority in
//! rounds on behalf of the others, and a request is answered by a round begun after it arrived. A round queries a few
//! more machines than a majority, starting with those that answered before.

use crate::follower::Follower;
use crate::follower_types::FollowerOutput;
use std::collections::BTreeSet;
use std::time::Duration;
use wire::{LeaseMessage, NodeId};

/// Time after which an incomplete round is replaced by a new one.
const ROUND_TIMEOUT: Duration = Duration::from_millis(50);
/// Minimum time between rounds on behalf of other routers, so that many requests share a round.
const SHARED_ROUND_INTERVAL: Duration = Duration::from_millis(30);
/// Interval of requests to a relay; a confirmation by peers lasts 200 ms.
const RELAY_REQUEST_INTERVAL: Duration = Duration::from_millis(80);
/// Number of unanswered requests after which the next relay is used.
const MAX_UNANSWERED_RELAY_REQUESTS: u32 = 2;
/// Maximum number of relays in a quorum.
const MAX_RELAYS: usize = 4;
/// Maximum number of routers that wait for a round.
const MAX_WAITING: usize = 4096;

/// A round of requests to the quorum.
pub struct PeerRound {
    pub request_id: u64,
    pub requested_at: Duration,
    pub confirmed_by: BTreeSet<NodeId>,
    is_complete: bool,
}

/// Newest epoch and membership that a peer holds.
pub(crate) struct HeldVersions {
    /// Newest epoch that is active, staged or known.
    pub epoch: u64,
    pub membership: u64,
}

/// A peer that requested confirmation by a majority.
struct WaitingPeer {
    peer: NodeId,
    request_id: u64,
    arrived_at: Duration,
}

/// State of the confirmations by peers.
#[derive(Default)]
pub struct PeerConfirmations {
    round: Option<PeerRound>,
    /// Routers that answered recent rounds.
    recent_responders: BTreeSet<NodeId>,
    /// Index of the next router to query among those that did not answer.
    next_unresponsive: usize,
    /// Peers that requested confirmation by a majority.
    waiting: Vec<WaitingPeer>,
    relay_request: Option<(u64, Duration)>,
    relay_index: usize,
    unanswered_relay_requests: u32,
}

impl Follower {
    fn needs_peer_confirmation(&self) -> bool {
        let core_confirmed_recently =
            self.lease.core_confirmed.is_some_and(|requested_at| self.now < requested_at + self.timing.hold / 2);
        !core_confirmed_recently && self.can_query_peers()
    }

    fn can_query_peers(&self) -> bool {
        self.epochs.is_initialized && self.epochs.quorum().contains(&self.me) && !self.newer_epoch_is_known()
    }

    fn relays(&self) -> Vec<NodeId> {
        let processor_capacity =
            |id: &NodeId| self.membership.member(*id).map_or(0, |member| member.capacity.processor_milli);
        let mut relays: Vec<NodeId> = self.epochs.quorum().to_vec();
        relays.sort_by_cached_key(|id| (std::cmp::Reverse(processor_capacity(id)), *id));
        relays.truncate(MAX_RELAYS);
        relays
    }

    pub(crate) fn next_peer_request_due(&self) -> Duration {
        let core_confirmation_ends =
            self.lease.core_confirmed.map_or(Duration::ZERO, |requested_at| requested_at + self.timing.hold / 2);
        if !self.can_query_peers() || (self.now < core_confirmation_ends && self.peers.waiting.is_empty()) {
            return if self.epochs.is_initialized {
                core_confirmation_ends.max(self.now + ROUND_TIMEOUT)
            } else {
                Duration::MAX
            };
        }
        let idle = self.now + ROUND_TIMEOUT;
        let round = self.peers.round.as_ref().map_or(idle, |round| {
            round.requested_at + if round.is_complete { SHARED_ROUND_INTERVAL } else { ROUND_TIMEOUT }
        });
        let round = if self.peers.waiting.is_empty() { round.max(idle) } else { round };
        self.peers.relay_request.map_or(round, |(_, requested_at)| round.min(requested_at + RELAY_REQUEST_INTERVAL))
    }

    pub(crate) fn tick_peer_confirmations(&mut self) {
        let now = self.now;
        let is_needed = self.needs_peer_confirmation();
        if !is_needed {
            (self.peers.relay_request, self.peers.relay_index, self.peers.unanswered_relay_requests) = (None, 0, 0);
        }
        if !self.can_query_peers() {
            self.peers.waiting.clear();
            self.peers.round = None;
            return;
        }
        self.peers.waiting.retain(|waiting| now < waiting.arrived_at + self.timing.guard);
        let is_small = self.epochs.quorum().len() <= self.timing.relay_above;
        if is_needed && !is_small {
            self.request_from_relay();
        }
        if (is_needed && is_small) || !self.peers.waiting.is_empty() {
            self.start_round_if_due(is_small);
        } else {
            self.peers.round = None;
        }
    }

    fn request_from_relay(&mut self) {
        let now = self.now;
        if self.peers.relay_request.is_some_and(|(_, requested_at)| now < requested_at + RELAY_REQUEST_INTERVAL) {
            return;
        }
        let request_id = self.next_request_number();
        self.peers.relay_request = Some((request_id, now));
        let relays = self.relays();
        if self.peers.unanswered_relay_requests >= MAX_UNANSWERED_RELAY_REQUESTS {
            (self.peers.relay_index, self.peers.unanswered_relay_requests) = (self.peers.relay_index + 1, 0);
        }
        self.peers.unanswered_relay_requests += 1;
        let to = relays[self.peers.relay_index % relays.len()];
        if to == self.me {
            self.add_waiting_peer(to, request_id, self.epochs.active());
        } else {
            let (active, membership) = (self.epochs.active(), self.membership.number);
            let message = LeaseMessage::MajorityRequest { request_id, active, membership };
            self.outputs.push(FollowerOutput::ToPeer { to, message });
        }
    }

    pub(crate) fn add_waiting_peer(&mut self, from: NodeId, request_id: u64, active: u64) {
        if active == self.epochs.active() && self.can_query_peers() && self.peers.waiting.len() < MAX_WAITING {
            self.peers.waiting.retain(|waiting| waiting.peer != from);
            self.peers.waiting.push(WaitingPeer { peer: from, request_id, arrived_at: self.now });
            self.start_round_if_due(false);
        }
    }

    /// Begins a round, unless the interval since the start of the last one has not passed.
    fn start_round_if_due(&mut self, query_all: bool) {
        let now = self.now;
        let interval =
            |round: &PeerRound| if round.is_complete && !query_all { SHARED_ROUND_INTERVAL } else { ROUND_TIMEOUT };
        if self.peers.round.as_ref().is_some_and(|round| now < round.requested_at + interval(round)) {
            return;
        }
        let request_id = self.next_request_number();
        let others: Vec<NodeId> = self.epochs.quorum().iter().copied().filter(|id| *id != self.me).collect();
        let count = if query_all {
            others.len()
        } else {
            (self.epochs.quorum().len() / 2 + self.epochs.quorum().len() / 8 + 1).min(others.len())
        };
        let (responsive, unresponsive): (Vec<NodeId>, Vec<NodeId>) =
            others.iter().copied().partition(|id| self.peers.recent_responders.contains(id));
        let next_unresponsive = self.peers.next_unresponsive % unresponsive.len().max(1);
        let targets: Vec<NodeId> = responsive
            .iter()
            .chain(&unresponsive[next_unresponsive..])
            .chain(&unresponsive[..next_unresponsive])
            .copied()
            .take(count)
            .collect();
        self.peers.next_unresponsive = next_unresponsive + count.saturating_sub(responsive.len());
        self.peers.recent_responders.retain(|id| !targets.contains(id));
        self.peers.round =
            Some(PeerRound { request_id, requested_at: now, confirmed_by: [self.me].into(), is_complete: false });
        for to in targets {
            let (active, membership) = (self.epochs.active(), self.membership.number);
            let message = LeaseMessage::PeerRequest { request_id, active, membership };
            self.outputs.push(FollowerOutput::ToPeer { to, message });
        }
    }

    pub(crate) fn handle_majority_reply(&mut self, request_id: u64) {
        if let Some((_, requested_at)) = self.peers.relay_request.filter(|(number, _)| *number == request_id) {
            self.peers.unanswered_relay_requests = 0;
            self.lease.peers_confirmed = self.lease.peers_confirmed.max(Some(requested_at));
        }
    }

    pub(crate) fn handle_peer_reply(&mut self, from: NodeId, request_id: u64, held: HeldVersions) {
        let newer_epoch_known = self.newer_epoch_is_known();
        let Some(round) = self.peers.round.as_mut().filter(|round| round.request_id == request_id) else { return };
        let is_newer = held.epoch > self.epochs.active() || held.membership > self.membership.number;
        if is_newer || !self.epochs.quorum().contains(&from) {
            return;
        }
        self.peers.recent_responders.insert(from);
        round.confirmed_by.insert(from);
        if round.confirmed_by.len() * 2 <= self.epochs.quorum().len() || newer_epoch_known {
            return;
        }
        round.is_complete = true;
        let requested_at = round.requested_at;
        self.lease.peers_confirmed = self.lease.peers_confirmed.max(Some(requested_at));
        let (active, membership) = (self.epochs.active(), self.membership.number);
        // Requests that arrived after the round began are answered by the next one.
        let answered: Vec<WaitingPeer> =
            self.peers.waiting.extract_if(.., |waiting| waiting.arrived_at <= requested_at).collect();
        for WaitingPeer { peer: to, request_id, .. } in answered {
            let message = LeaseMessage::MajorityReply { request_id, active, membership };
            if to == self.me {
                self.peers.unanswered_relay_requests = 0;
            } else {
                self.outputs.push(FollowerOutput::ToPeer { to, message });
            }
        }
        if !self.peers.waiting.is_empty() {
            self.start_round_if_due(false);
        }
    }
}
