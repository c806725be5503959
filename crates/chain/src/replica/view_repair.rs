//! Repair of the view: proposes the next one to remove suspected replicas, or to complete a decision that was left
//! open.

use super::ChainReplica;
use crate::view_agreement::is_majority;
use wire::{NodeId, View};

impl ChainReplica {
    /// Proposes the next view if needed: to complete a decision that was left open, which would otherwise block
    /// every confirmation, or to remove unresponsive and unhealthy replicas.
    pub(super) fn maybe_repair_view(&mut self) {
        let now = self.clock.now;
        if let Some(proposal) = self.agreement.proposal() {
            if now > proposal.started_at + self.timing.suspect_after {
                self.agreement.abandon();
            }
            return;
        }
        let is_backing_off = self.agreement.is_backing_off(now);
        if self.has_open_decision() && !is_backing_off {
            let mut unchanged = self.meta.view.clone();
            unchanged.number += 1;
            return self.propose_view(unchanged);
        }
        let may_remove_suspects = self.is_in_chain() && self.meta.view.learner != self.me() && !self.is_unhealthy();
        if may_remove_suspects && !is_backing_off && self.hears_majority() {
            self.remove_suspects();
        }
    }

    /// Returns whether a proposal was accepted here and not decided for so long that this voter should complete it.
    /// The waiting time grows with the rank of the voter, so that voters do not compete.
    fn has_open_decision(&self) -> bool {
        let me = self.me();
        let rank = self.meta.view.voters.iter().position(|voter| voter.id == me).unwrap_or_default() as u32 + 1;
        let completion_delay = self.timing.suspect_after / 2 * rank;
        self.meta.accepted_number > 0 && self.clock.now > self.agreement.accepted_at() + completion_delay
    }

    /// Returns whether a majority of voters answers. A replica without a majority may itself be the isolated one; it
    /// must not propose removals, since its messages could still arrive later and take effect.
    fn hears_majority(&self) -> bool {
        let (me, now) = (self.me(), self.clock.now);
        let voters = self.meta.view.voters.as_slice();
        let heard = voters.iter().filter(|voter| voter.id == me || !self.detector.is_suspect(voter.id, now)).count();
        is_majority(heard, voters.len())
    }

    fn remove_suspects(&mut self) {
        let (me, now) = (self.me(), self.clock.now);
        let view = &self.meta.view;
        let chain = view.chain.as_slice();
        let is_alive = |id: &NodeId| *id == me || !self.detector.is_suspect(*id, now);
        let remaining: Vec<NodeId> = chain.iter().copied().filter(is_alive).collect();
        let first_to_propose = remaining.iter().copied().find(|id| *id != view.learner && view.is_voter(*id));
        if remaining.len() == chain.len() {
            self.detector.clear_chain_suspicion();
            if let Some(next) = self.view_with_own_address() {
                return self.propose_view(next);
            }
            if first_to_propose == Some(me)
                && let Some(next) = self.next_cleanup_view()
            {
                self.propose_view(next);
            }
            return;
        }
        // The first remaining replica may still reach all others while a link between two of them is lost. Then a
        // replica that misses another one proposes, sooner the nearer it is to the head.
        let position = view.position_of(me).unwrap_or_default() as u32;
        let since = self.detector.record_chain_suspicion(now);
        if first_to_propose != Some(me) && now < since + self.timing.suspect_after * position {
            return;
        }
        let next = self.repaired_view(remaining);
        self.propose_view(next);
    }

    /// Returns the next view that completes a departure, returns a vote or removes an absent voter, for use while
    /// all members of the chain are healthy.
    fn next_cleanup_view(&self) -> Option<View> {
        self.view_without_voteless_member()
            .or_else(|| self.view_with_vote_returned())
            .or_else(|| self.view_without_absent_voter())
    }
}

/// Returns the next view with these replicas in its chain, all of them members of the current chain.
pub(super) fn next_view_with_chain(view: &View, chain: Vec<NodeId>) -> View {
    let mut next = view.clone();
    next.number += 1;
    next.learner = if chain.contains(&view.learner) { view.learner } else { 0 };
    next.optimizer = optimizer_for(&chain, view.optimizer);
    next.chain = chain.into();
    next
}

/// Returns the replica that hosts the optimizer: the present host while it is in the chain, else the replica after
/// the head.
pub(super) fn optimizer_for(chain: &[NodeId], present: NodeId) -> NodeId {
    if chain.contains(&present) {
        return present;
    }
    chain.get(1).or(chain.first()).copied().unwrap_or_default()
}
