//! Planned stops. A replica that is told to stop announces this with its heartbeats and stays a full member until the
//! others can do without it: enough of them hold all data, and they keep a majority of votes after the number of
//! losses to tolerate. A joiner takes the vote of a leaving replica in the view in which it joins, so that there is
//! never an extra vote. The leaving replica then stays in the chain without a vote until the joiner is a full member,
//! and is removed by the others. Shortly before its deadline it is removed in any case, if the others are enough to
//! continue; at the deadline its process ends, which to the others is a crash.

use super::ChainReplica;
use super::view_repair::{next_view_with_chain, optimizer_for};
use crate::departures::{Departure, DepartureWait};
use std::time::Duration;
use wire::{ChainMessage, NodeAddress, NodeId, View};

/// Time before its deadline at which a replica is removed from the chain even if the others can then not tolerate
/// another loss: a crash at the deadline would block every entry until the replica is suspected.
const FORCED_REMOVAL_LEAD: Duration = Duration::from_millis(600);
/// Difference between deadlines up to which replicas count as told to stop together.
const SIMULTANEOUS_DEADLINE_GAP: Duration = Duration::from_millis(250);
/// Minimum length of the chain that a planned stop may leave.
const MIN_CHAIN_AFTER_LEAVING: usize = 2;
/// Time after which replicas that are all told to stop have received each other's announcements.
const COLLECTIVE_STOP_DELAY: Duration = Duration::from_millis(250);

impl ChainReplica {
    /// Starts a planned stop whose process ends within this time; a second request changes nothing. From now on the
    /// replica does not ask to join, and stays in the chain no longer than needed.
    pub(super) fn leave(&mut self, within: Duration) {
        let now = self.clock.now;
        self.rules.departure.get_or_insert(Departure { since: now, deadline: now + within });
        self.announce_departure();
        self.maybe_finish_leaving();
    }

    pub(super) fn is_leaving(&self) -> bool {
        self.rules.departure.is_some()
    }

    /// Announces the planned stop to all peers; called with each heartbeat.
    pub(super) fn announce_departure(&mut self) {
        let now = self.clock.now;
        let Some(departure) = self.rules.departure else { return };
        let remaining_ms = departure.deadline.saturating_sub(now).as_millis() as u64;
        for peer in self.peers() {
            self.send(peer, ChainMessage::Leaving { remaining_ms });
        }
    }

    pub(super) fn handle_leaving(&mut self, from: NodeId, remaining: Duration) {
        if self.is_peer(from) && from != self.me() {
            self.rules.departures.record(from, remaining, self.clock.now);
        }
    }

    /// Proposes the view without this replica once that is safe and no other membership change is in progress.
    pub(super) fn maybe_finish_leaving(&mut self) {
        let is_blocked = self.meta.view.learner != 0 || self.agreement.is_busy(self.clock.now);
        if !self.is_leaving() || is_blocked || !self.is_relied_on() {
            return;
        }
        if let Some(next) = self.view_without_leaver(self.me()) {
            self.propose_view(next);
        }
    }

    /// Returns the next view without a chain member that has no vote and so cannot propose the view itself.
    pub(super) fn view_without_voteless_member(&self) -> Option<View> {
        let view = &self.meta.view;
        let voteless = view.chain.iter().copied().find(|id| !view.is_voter(*id))?;
        self.view_without_leaver(voteless)
    }

    /// Returns the next view without a leaving replica, if that view still tolerates the configured losses, or if it
    /// can at least accept entries and the replica has to leave now.
    fn view_without_leaver(&self, leaver: NodeId) -> Option<View> {
        if self.meta.view.learner != 0 {
            return None;
        }
        let next = self.view_without(leaver);
        let is_safe = self.departure_obstacle(&next).is_none();
        let accepts_entries = next.chain.as_slice().len() >= self.min_chain_after_leaving();
        let must_leave = self.is_near_deadline(leaver) || self.has_later_leaver(leaver);
        (is_safe || (accepts_entries && must_leave)).then_some(next)
    }

    fn min_chain_after_leaving(&self) -> usize {
        self.required_replicas().max(MIN_CHAIN_AFTER_LEAVING)
    }

    fn is_near_deadline(&self, leaver: NodeId) -> bool {
        self.deadline_of(leaver).is_some_and(|deadline| self.clock.now + FORCED_REMOVAL_LEAD >= deadline)
    }

    /// Returns whether another member of the chain is told to stop with a later deadline. The replica with the earlier
    /// deadline then leaves at once, so that it can be back, or replaced, before the next deadline: if each waited
    /// for its own deadline, they would be absent together.
    fn has_later_leaver(&self, leaver: NodeId) -> bool {
        let Some(deadline) = self.deadline_of(leaver) else { return false };
        let is_later = |id: &NodeId| {
            let other = self.deadline_of(*id).filter(|_| *id != leaver);
            other.is_some_and(|other| other > deadline + SIMULTANEOUS_DEADLINE_GAP)
        };
        self.meta.view.chain.iter().any(is_later)
    }

    fn deadline_of(&self, leaver: NodeId) -> Option<Duration> {
        let own = self.rules.departure.filter(|_| leaver == self.me()).map(|departure| departure.deadline);
        own.or_else(|| self.rules.departures.deadline(leaver))
    }

    /// Returns the next view without a leaving replica. Its vote is removed too if enough voters remain, since an
    /// absent voter makes a majority harder to reach.
    fn view_without(&self, leaver: NodeId) -> View {
        let view = &self.meta.view;
        let remaining: Vec<NodeId> = view.chain.iter().copied().filter(|id| *id != leaver).collect();
        let mut next = view.clone();
        next.number += 1;
        next.optimizer = optimizer_for(&remaining, view.optimizer);
        next.chain = remaining.into();
        if self.has_spare_voters() {
            let voters: Vec<NodeAddress> = view.voters.iter().filter(|voter| voter.id != leaver).cloned().collect();
            next.voters = voters.into();
        }
        next
    }

    /// Returns why a view without a leaving replica would be too weak, or `None` if it is safe.
    fn departure_obstacle(&self, next: &View) -> Option<DepartureWait> {
        if next.chain.as_slice().len() < self.min_chain_after_leaving() {
            return Some(DepartureWait::Replicas);
        }
        let voters = next.voters.as_slice().len();
        let present = next.voters.iter().filter(|voter| self.is_present_in(next, voter.id)).count();
        let after_losses = present.saturating_sub(self.rules.tolerated_losses);
        (after_losses * 2 <= voters).then_some(DepartureWait::Successor)
    }

    /// Returns whether a replica is in the chain of a view and not suspected.
    fn is_present_in(&self, view: &View, id: NodeId) -> bool {
        view.is_in_chain(id) && (id == self.me() || !self.detector.is_suspect(id, self.clock.now))
    }

    /// Returns the index of a leaving voter, whose vote is available to a joiner.
    pub(super) fn voter_index_of_leaver(&self) -> Option<usize> {
        let is_leaving = |id: NodeId| self.rules.departures.is_leaving(id) || (id == self.me() && self.is_leaving());
        self.meta.view.voters.iter().position(|voter| is_leaving(voter.id))
    }

    pub(super) fn has_spare_voters(&self) -> bool {
        self.meta.view.voters.as_slice().len() > self.min_voters()
    }

    /// Returns the latest time at which this process ends, if it was told to stop.
    pub fn departure_deadline(&self) -> Option<Duration> {
        self.rules.departure.map(|departure| departure.deadline)
    }

    /// Returns whether the process may end: the others no longer rely on this replica and one of them has adopted
    /// the view without it, or all replicas stop together.
    pub fn may_stop(&self) -> bool {
        self.departure_wait().is_none()
    }

    /// Returns the condition that a planned stop still waits for.
    pub fn departure_wait(&self) -> Option<DepartureWait> {
        let view = &self.meta.view;
        if view.number == 0 || self.all_stop_together() {
            return None;
        }
        if !self.is_relied_on() {
            return (!self.is_view_acknowledged).then_some(DepartureWait::Acknowledgement);
        }
        let obstacle = self.departure_obstacle(&self.view_without(self.me()));
        Some(obstacle.unwrap_or(DepartureWait::MembershipChange))
    }

    /// Returns whether this replica is in the chain, or has a vote that it can still give up.
    fn is_relied_on(&self) -> bool {
        let has_vote_to_give_up = self.meta.view.is_voter(self.me()) && self.has_spare_voters();
        self.is_in_chain() || has_vote_to_give_up
    }

    /// Returns whether every replica of the chain was told to stop and no other replica asks to join: there is no
    /// replica to hand over to, and the disks keep the data.
    fn all_stop_together(&self) -> bool {
        let now = self.clock.now;
        let Some(departure) = self.rules.departure else { return false };
        let is_leaving = |id: &NodeId| *id == self.me() || self.rules.departures.is_leaving(*id);
        let requests = &self.rules.join_requests;
        let has_joiner = requests.ids().any(|id| !self.meta.view.is_in_chain(id) && requests.is_recent(id, now));
        now >= departure.since + COLLECTIVE_STOP_DELAY && !has_joiner && self.meta.view.chain.iter().all(is_leaving)
    }

    /// Returns the next view with these replicas left in the chain after others were lost. The vote of a lost replica
    /// is removed too, if enough voters remain, when it had announced its stop or when its vote keeps the others
    /// from tolerating further losses.
    pub(super) fn repaired_view(&self, remaining: Vec<NodeId>) -> View {
        let view = &self.meta.view;
        let prevents_tolerance = self.absent_voter_prevents_tolerance(&remaining);
        let is_given_up = |voter: &NodeAddress| {
            let is_lost = view.is_in_chain(voter.id) && !remaining.contains(&voter.id);
            is_lost && (prevents_tolerance || self.rules.departures.is_leaving(voter.id))
        };
        let index = view.voters.iter().position(is_given_up);
        let mut next = next_view_with_chain(view, remaining);
        if let Some(index) = index.filter(|_| view.learner == 0 && self.has_spare_voters()) {
            let mut voters = next.voters.into_vec();
            voters.remove(index);
            next.voters = voters.into();
        }
        next
    }

    /// Returns whether the voters in this chain could tolerate the configured losses if one absent voter were removed.
    /// This happens when a machine is lost just after its successor was given an additional vote.
    pub(super) fn absent_voter_prevents_tolerance(&self, chain: &[NodeId]) -> bool {
        let voters = self.meta.view.voters.as_slice();
        let present = voters.iter().filter(|voter| chain.contains(&voter.id)).count();
        let after_losses = present.saturating_sub(self.rules.tolerated_losses);
        let tolerates_losses = after_losses * 2 > voters.len();
        let would_tolerate_losses = after_losses * 2 > voters.len() - 1;
        present >= self.min_voters() && !tolerates_losses && would_tolerate_losses
    }

    /// Returns the next view in which a replica that gave its vote to a joiner has a vote again, in place of a voter
    /// that was lost since.
    pub(super) fn view_with_vote_returned(&self) -> Option<View> {
        let (view, now) = (&self.meta.view, self.clock.now);
        let former = self.rules.former_voter.as_ref().filter(|node| view.is_in_chain(node.id))?;
        if view.learner != 0 || view.is_voter(former.id) {
            return None;
        }
        let is_returning = |id: NodeId| self.rules.join_requests.is_recent(id, now);
        let is_lost = |voter: &NodeAddress| {
            !view.is_in_chain(voter.id) && self.detector.is_suspect(voter.id, now) && !is_returning(voter.id)
        };
        let index = view.voters.iter().position(is_lost)?;
        let mut next = view.clone();
        let mut voters = next.voters.into_vec();
        voters[index] = former.clone();
        next.voters = voters.into();
        next.number += 1;
        Some(next)
    }
}
