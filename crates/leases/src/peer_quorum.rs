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
    pub agreeing: BTreeSet<NodeId>,
    done: bool,
}

/// Newest epoch and membership that a peer holds.
pub(crate) struct Held {
    /// Newest epoch that is active, staged or known.
    pub epoch: u64,
    pub membership: u64,
}

/// A peer that requested confirmation by a majority.
struct WaitingPeer {
    peer: NodeId,
    request_id: u64,
    since: Duration,
}

/// State of the confirmations by peers.
#[derive(Default)]
pub struct Peers {
    round: Option<PeerRound>,
    /// Routers that answered recent rounds.
    answering: BTreeSet<NodeId>,
    /// Index of the next router to query among those that did not answer.
    next_unknown: usize,
    /// Peers that requested confirmation by a majority.
    waiting: Vec<WaitingPeer>,
    relayed: Option<(u64, Duration)>,
    relay: usize,
    unanswered: u32,
}

impl Follower {
    fn wants_peers(&self) -> bool {
        let core_is_near =
            self.lease.core_confirmed.is_some_and(|requested_at| self.now < requested_at + self.timing.hold / 2);
        !core_is_near && self.answers_peers()
    }

    fn answers_peers(&self) -> bool {
        self.epochs.is_initialized && self.epochs.quorum().contains(&self.me) && !self.is_guarded()
    }

    fn relays(&self) -> Vec<NodeId> {
        let able = |id: &NodeId| self.membership.member(*id).map_or(0, |line| line.capacity.processor_milli);
        let mut relays: Vec<NodeId> = self.epochs.quorum().to_vec();
        relays.sort_by_cached_key(|id| (std::cmp::Reverse(able(id)), *id));
        relays.truncate(MAX_RELAYS);
        relays
    }

    pub(crate) fn peers_due(&self) -> Duration {
        let near = self.lease.core_confirmed.map_or(Duration::ZERO, |requested_at| requested_at + self.timing.hold / 2);
        if !self.answers_peers() || (self.now < near && self.peers.waiting.is_empty()) {
            return if self.epochs.is_initialized { near.max(self.now + ROUND_TIMEOUT) } else { Duration::MAX };
        }
        let idle = self.now + ROUND_TIMEOUT;
        let round = self
            .peers
            .round
            .as_ref()
            .map_or(idle, |it| it.requested_at + if it.done { SHARED_ROUND_INTERVAL } else { ROUND_TIMEOUT });
        let round = if self.peers.waiting.is_empty() { round.max(idle) } else { round };
        self.peers.relayed.map_or(round, |(_, requested_at)| round.min(requested_at + RELAY_REQUEST_INTERVAL))
    }

    pub(crate) fn tick_peers(&mut self) {
        let now = self.now;
        let wants = self.wants_peers();
        if !wants {
            (self.peers.relayed, self.peers.relay, self.peers.unanswered) = (None, 0, 0);
        }
        if !self.answers_peers() {
            self.peers.waiting.clear();
            self.peers.round = None;
            return;
        }
        self.peers.waiting.retain(|waiting| now < waiting.since + self.timing.guard);
        let small = self.epochs.quorum().len() <= self.timing.relay_above;
        if wants && !small {
            self.request_from_relay();
        }
        if (wants && small) || !self.peers.waiting.is_empty() {
            self.maybe_start_round(small);
        } else {
            self.peers.round = None;
        }
    }

    fn request_from_relay(&mut self) {
        let now = self.now;
        if self.peers.relayed.is_some_and(|(_, requested_at)| now < requested_at + RELAY_REQUEST_INTERVAL) {
            return;
        }
        let request_id = self.next_request_number();
        self.peers.relayed = Some((request_id, now));
        let relays = self.relays();
        if self.peers.unanswered >= MAX_UNANSWERED_RELAY_REQUESTS {
            (self.peers.relay, self.peers.unanswered) = (self.peers.relay + 1, 0);
        }
        self.peers.unanswered += 1;
        let to = relays[self.peers.relay % relays.len()];
        if to == self.me {
            self.collect(to, request_id, self.epochs.active());
        } else {
            let (active, membership) = (self.epochs.active(), self.membership.number);
            let message = LeaseMessage::MajorityRequest { request_id, active, membership };
            self.outs.push(FollowerOutput::ToPeer { to, message });
        }
    }

    pub(crate) fn collect(&mut self, from: NodeId, request_id: u64, active: u64) {
        if active == self.epochs.active() && self.answers_peers() && self.peers.waiting.len() < MAX_WAITING {
            self.peers.waiting.retain(|waiting| waiting.peer != from);
            self.peers.waiting.push(WaitingPeer { peer: from, request_id, since: self.now });
            self.maybe_start_round(false);
        }
    }

    /// Begins a round, unless the interval since the start of the last one has not passed.
    fn maybe_start_round(&mut self, all: bool) {
        let now = self.now;
        let every = |round: &PeerRound| if round.done && !all { SHARED_ROUND_INTERVAL } else { ROUND_TIMEOUT };
        if self.peers.round.as_ref().is_some_and(|round| now < round.requested_at + every(round)) {
            return;
        }
        let request_id = self.next_request_number();
        let others: Vec<NodeId> = self.epochs.quorum().iter().copied().filter(|id| *id != self.me).collect();
        let count = if all {
            others.len()
        } else {
            (self.epochs.quorum().len() / 2 + self.epochs.quorum().len() / 8 + 1).min(others.len())
        };
        let (known, unknown): (Vec<NodeId>, Vec<NodeId>) =
            others.iter().copied().partition(|id| self.peers.answering.contains(id));
        let next_unknown = self.peers.next_unknown % unknown.len().max(1);
        let requested_at: Vec<NodeId> =
            known.iter().chain(&unknown[next_unknown..]).chain(&unknown[..next_unknown]).copied().take(count).collect();
        self.peers.next_unknown = next_unknown + count.saturating_sub(known.len());
        self.peers.answering.retain(|id| !requested_at.contains(id));
        self.peers.round = Some(PeerRound { request_id, requested_at: now, agreeing: [self.me].into(), done: false });
        for to in requested_at {
            let (active, membership) = (self.epochs.active(), self.membership.number);
            let message = LeaseMessage::PeerRequest { request_id, active, membership };
            self.outs.push(FollowerOutput::ToPeer { to, message });
        }
    }

    pub(crate) fn handle_majority_reply(&mut self, request_id: u64) {
        if let Some((_, requested_at)) = self.peers.relayed.filter(|(number, _)| *number == request_id) {
            self.peers.unanswered = 0;
            self.lease.peers_confirmed = self.lease.peers_confirmed.max(Some(requested_at));
        }
    }

    pub(crate) fn handle_peer_reply(&mut self, from: NodeId, request_id: u64, held: Held) {
        let guarded = self.is_guarded();
        let Some(round) = self.peers.round.as_mut().filter(|round| round.request_id == request_id) else { return };
        let is_newer = held.epoch > self.epochs.active() || held.membership > self.membership.number;
        if is_newer || !self.epochs.quorum().contains(&from) {
            return;
        }
        self.peers.answering.insert(from);
        round.agreeing.insert(from);
        if round.agreeing.len() * 2 <= self.epochs.quorum().len() || guarded {
            return;
        }
        round.done = true;
        let requested_at = round.requested_at;
        self.lease.peers_confirmed = self.lease.peers_confirmed.max(Some(requested_at));
        let (active, membership) = (self.epochs.active(), self.membership.number);
        // Requests that arrived after the round began are answered by the next one.
        let answered: Vec<WaitingPeer> =
            self.peers.waiting.extract_if(.., |waiting| waiting.since <= requested_at).collect();
        for WaitingPeer { peer: to, request_id, .. } in answered {
            let message = LeaseMessage::MajorityReply { request_id, active, membership };
            if to == self.me {
                self.peers.unanswered = 0;
            } else {
                self.outs.push(FollowerOutput::ToPeer { to, message });
            }
        }
        if !self.peers.waiting.is_empty() {
            self.maybe_start_round(false);
        }
    }
}
