//! Planned stops. A replica that is to stop announces it with its heartbeats and stays a full member until the others
//! can do without it: enough of them hold everything, and their votes are a majority after as many losses as are
//! to be tolerated. A newcomer takes the vote of a replica that leaves in the view in which it joins, so that there
//! is no moment with a vote too many; the leaver then stays in the chain without a vote until the newcomer is a full
//! member, and the others take it out. Shortly before its deadline it is taken out all the same, if the others
//! are enough to go on; at the deadline its process ends as by a crash.

use super::ChainReplica;
use super::view_repair::{next_view_with_chain, optimizer_for};
use crate::departures::{Departure, DepartureWait};
use std::time::Duration;
use wire::{ChainMessage, NodeAddress, NodeId, View};

/// So long before its deadline a replica is taken out of the chain though a loss more could not be borne without it:
/// a crash at the deadline would hold up every entry until it is suspected.
const FINAL_PERIOD: Duration = Duration::from_millis(600);
/// Deadlines as near as this are of replicas that were told to stop together.
const SIMULTANEOUS: Duration = Duration::from_millis(250);
/// No view is left with fewer replicas in its chain by a planned stop.
const MIN_CHAIN_AFTER_LEAVING: usize = 2;
/// Where all replicas of the chain stop, they have heard so of each other after this.
const COMMON_STOP_DELAY: Duration = Duration::from_millis(250);

impl ChainReplica {
    /// The process ends within this time; a second request changes nothing. From now on the replica does not ask to
    /// join, and stays in the chain no longer than it must.
    pub(super) fn leave(&mut self, within: Duration) {
        let now = self.clock.now;
        self.rules.departure.get_or_insert(Departure { since: now, deadline: now + within });
        self.announce_departure();
        self.maybe_finish_leaving();
    }

    pub(super) fn is_leaving(&self) -> bool {
        self.rules.departure.is_some()
    }

    /// Goes out beside each heartbeat.
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

    /// Proposes the view without this replica once that is safe, and no other change of the membership is in
    /// progress.
    pub(super) fn maybe_finish_leaving(&mut self) {
        let is_blocked = self.meta.view.learner != 0 || self.agreement.is_busy(self.clock.now);
        if !self.is_leaving() || is_blocked || !self.is_relied_on() {
            return;
        }
        if let Some(next) = self.view_without_leaver(self.me()) {
            self.propose_view(next);
        }
    }

    /// The next view in which a replica without a vote is no longer in the chain. It cannot propose that itself.
    pub(super) fn view_without_voteless_member(&self) -> Option<View> {
        let view = &self.meta.view;
        let voteless = view.chain.iter().copied().find(|id| !view.is_voter(*id))?;
        self.view_without_leaver(voteless)
    }

    /// The next view without a replica that leaves, if that view bears what is to be tolerated, or goes on at least
    /// and the deadline is near.
    fn view_without_leaver(&self, leaver: NodeId) -> Option<View> {
        if self.meta.view.learner != 0 {
            return None;
        }
        let next = self.view_without(leaver);
        let is_safe = self.departure_obstacle(&next).is_none();
        let goes_on = next.chain.as_slice().len() >= self.min_chain_after_leaving();
        let must_go = self.is_final_period(leaver) || self.yields_to_later_leaver(leaver);
        (is_safe || (goes_on && must_go)).then_some(next)
    }

    fn min_chain_after_leaving(&self) -> usize {
        self.required_replicas().max(MIN_CHAIN_AFTER_LEAVING)
    }

    fn is_final_period(&self, leaver: NodeId) -> bool {
        self.deadline_of(leaver).is_some_and(|deadline| self.clock.now + FINAL_PERIOD >= deadline)
    }

    /// Of several in the chain that are to stop, the first goes at once, so that it may be back, or replaced, before
    /// the next one's deadline: if all waited for theirs, they would be missing together.
    fn yields_to_later_leaver(&self, leaver: NodeId) -> bool {
        let Some(deadline) = self.deadline_of(leaver) else { return false };
        let is_later = |id: &NodeId| {
            let other = self.deadline_of(*id).filter(|_| *id != leaver);
            other.is_some_and(|other| other > deadline + SIMULTANEOUS)
        };
        self.meta.view.chain.iter().any(is_later)
    }

    fn deadline_of(&self, leaver: NodeId) -> Option<Duration> {
        let own = self.rules.departure.filter(|_| leaver == self.me()).map(|departure| departure.deadline);
        own.or_else(|| self.rules.departures.deadline(leaver))
    }

    /// Its vote goes with it where the others are enough: an absent voter would count against the majority.
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

    /// Why a view that a leaver is no member of any more would be too weak.
    fn departure_obstacle(&self, next: &View) -> Option<DepartureWait> {
        if next.chain.as_slice().len() < self.min_chain_after_leaving() {
            return Some(DepartureWait::Replicas);
        }
        let voters = next.voters.as_slice().len();
        let present = next.voters.iter().filter(|voter| self.is_present_in(next, voter.id)).count();
        let after_losses = present.saturating_sub(self.rules.tolerated_losses);
        (after_losses * 2 <= voters).then_some(DepartureWait::Successor)
    }

    /// Whether a replica is in the chain of a view and not thought to be lost.
    fn is_present_in(&self, view: &View, id: NodeId) -> bool {
        view.is_in_chain(id) && (id == self.me() || !self.detector.is_suspect(id, self.clock.now))
    }

    /// The vote of a replica that leaves is free for a newcomer.
    pub(super) fn voter_index_of_leaver(&self) -> Option<usize> {
        let is_leaving = |id: NodeId| self.rules.departures.is_leaving(id) || (id == self.me() && self.is_leaving());
        self.meta.view.voters.iter().position(|voter| is_leaving(voter.id))
    }

    pub(super) fn has_spare_voters(&self) -> bool {
        self.meta.view.voters.as_slice().len() > self.min_voters()
    }

    /// When this process ends at the latest, if it was told to stop.
    pub fn departure_deadline(&self) -> Option<Duration> {
        self.rules.departure.map(|departure| departure.deadline)
    }

    /// Whether the process may end: nothing that the others rely on is left to this replica and one of them has
    /// adopted the view that says so, or all of them stop too.
    pub fn may_stop(&self) -> bool {
        self.departure_wait().is_none()
    }

    /// What a planned stop waits for.
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

    /// Whether this replica is in the chain, or has a vote that would be missed though it need not be.
    fn is_relied_on(&self) -> bool {
        let has_vote_to_give_up = self.meta.view.is_voter(self.me()) && self.has_spare_voters();
        self.is_in_chain() || has_vote_to_give_up
    }

    /// Whether every replica of the chain has been told to stop, and nobody asks to join: there is no one to hand
    /// anything over to, and the disks keep what was taken.
    fn all_stop_together(&self) -> bool {
        let now = self.clock.now;
        let Some(departure) = self.rules.departure else { return false };
        let is_leaving = |id: &NodeId| *id == self.me() || self.rules.departures.is_leaving(*id);
        let requests = &self.rules.join_requests;
        let someone_joins = requests.ids().any(|id| !self.meta.view.is_in_chain(id) && requests.is_recent(id, now));
        now >= departure.since + COMMON_STOP_DELAY && !someone_joins && self.meta.view.chain.iter().all(is_leaving)
    }

    /// The next view with these replicas left in the chain, after others were lost. The vote of a lost one goes with
    /// it, where the others are enough, if it had announced its stop or weighs on their majority.
    pub(super) fn repaired_view(&self, remaining: Vec<NodeId>) -> View {
        let view = &self.meta.view;
        let weighs = self.absent_voters_weigh(&remaining);
        let is_given_up = |voter: &NodeAddress| {
            let is_lost = view.is_in_chain(voter.id) && !remaining.contains(&voter.id);
            is_lost && (weighs || self.rules.departures.is_leaving(voter.id))
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

    /// Whether the voters in this chain could bear the losses that are to be tolerated were it not for an absent
    /// voter: as where a machine is lost whose successor has just got a vote of its own.
    pub(super) fn absent_voters_weigh(&self, chain: &[NodeId]) -> bool {
        let voters = self.meta.view.voters.as_slice();
        let present = voters.iter().filter(|voter| chain.contains(&voter.id)).count();
        let after_losses = present.saturating_sub(self.rules.tolerated_losses);
        let bears_losses = after_losses * 2 > voters.len();
        let would_bear_losses = after_losses * 2 > voters.len() - 1;
        present >= self.min_voters() && !bears_losses && would_bear_losses
    }

    /// The next view in which a replica that gave its vote to a newcomer has one again, in the place of a voter that
    /// has been lost since.
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
