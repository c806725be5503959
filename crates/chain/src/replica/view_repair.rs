//! Keeping the view true to the machines: proposing the next one when suspected replicas must be taken out, or
//! when a decision was left open.

use super::ChainReplica;
use crate::view_agreement::is_majority;
use wire::{NodeId, View};

impl ChainReplica {
    /// Proposes the next view when it must: to finish a decision that was left open, which else would hold up
    /// every confirmation, or to take silent and unhealthy replicas out.
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
        let is_able = self.is_in_chain() && self.meta.view.learner != self.me() && !self.is_unhealthy();
        if is_able && !is_backing_off && self.hears_majority() {
            self.remove_suspects();
        }
    }

    /// Whether a proposal was accepted here and never decided. Voters wait for each other in turn.
    fn has_open_decision(&self) -> bool {
        let me = self.me();
        let rank = self.meta.view.voters.iter().position(|voter| voter.id == me).unwrap_or_default() as u32 + 1;
        let patience = self.timing.suspect_after / 2 * rank;
        self.meta.accepted_number > 0 && self.clock.now > self.agreement.accepted_at() + patience
    }

    /// Who hears no majority may be the one that is cut off; it takes nobody out, lest its messages do so once
    /// they arrive after all.
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
            self.detector.clear_suspicion();
            if let Some(next) = self.view_with_own_address() {
                return self.propose_view(next);
            }
            if first_to_propose == Some(me)
                && let Some(next) = self.view_with_departures_settled()
            {
                self.propose_view(next);
            }
            return;
        }
        // The first of those that remain may be in touch with all of them while a link between two others is
        // lost: then whoever misses one proposes, the nearer to the head the sooner.
        let position = view.position_of(me).unwrap_or_default() as u32;
        let since = self.detector.suspect_chain(now);
        if first_to_propose != Some(me) && now < since + self.timing.suspect_after * position {
            return;
        }
        let next = self.repaired_view(remaining);
        self.propose_view(next);
    }

    /// The next view without a replica that leaves or a voter that is gone, where all of the chain are there.
    fn view_with_departures_settled(&self) -> Option<View> {
        self.view_without_voteless_member()
            .or_else(|| self.view_with_vote_returned())
            .or_else(|| self.view_without_vacant_voter())
    }
}

/// The next view with these replicas in its chain, who are all in the chain of the present one.
pub(super) fn next_view_with_chain(view: &View, chain: Vec<NodeId>) -> View {
    let mut next = view.clone();
    next.number += 1;
    next.learner = if chain.contains(&view.learner) { view.learner } else { 0 };
    next.optimizer = optimizer_for(&chain, view.optimizer);
    next.chain = chain.into();
    next
}

/// Who hosts the optimizer: whoever did, while it is in the chain, else the replica after the head.
pub(super) fn optimizer_for(chain: &[NodeId], present: NodeId) -> NodeId {
    if chain.contains(&present) {
        return present;
    }
    chain.get(1).or(chain.first()).copied().unwrap_or_default()
}
