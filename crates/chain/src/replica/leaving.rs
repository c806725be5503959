//! A planned stop: the replica proposes the view without itself, and goes on trying until that is decided.

use super::ChainReplica;
use super::view_repair::optimizer_for;
use std::time::Duration;
use wire::{NodeAddress, NodeId, View};

/// How long a replica that leaves waits for a joiner to hold everything first.
const SUCCESSOR_TIMEOUT: Duration = Duration::from_millis(3200);
/// No view is left with fewer replicas in its chain by a planned stop.
const MIN_CHAIN_AFTER_LEAVING: usize = 2;

impl ChainReplica {
    /// From now on it neither asks to join again nor stays in the chain longer than it must.
    pub(super) fn leave(&mut self) {
        self.rules.leaving_since.get_or_insert(self.clock.now);
        self.maybe_finish_leaving();
    }

    /// Proposes the view without this replica while enough are left, and no other change of the membership is
    /// in progress.
    pub(super) fn maybe_finish_leaving(&mut self) {
        let is_blocked = self.meta.view.learner != 0 || self.agreement.is_busy(self.clock.now);
        if !self.is_leaving() || self.may_stop() || is_blocked || self.awaits_successor() {
            return;
        }
        if let Some(next) = self.view_without_this_replica() {
            self.propose_view(next);
        }
    }

    pub(super) fn is_leaving(&self) -> bool {
        self.rules.leaving_since.is_some()
    }

    /// Whether a machine that is no voter asks to join, which may be to replace this one.
    fn awaits_successor(&self) -> bool {
        let now = self.clock.now;
        let is_patient = self.rules.leaving_since.is_some_and(|since| now < since + SUCCESSOR_TIMEOUT);
        let requests = &self.rules.join_requests;
        is_patient && requests.ids().any(|id| !self.meta.view.is_voter(id) && requests.is_recent(id, now))
    }

    /// Whether nothing that the others rely on is left to this replica: it is out of the chain, and is no voter
    /// that would count against their majority once it is gone.
    pub fn may_stop(&self) -> bool {
        let has_vote_to_give_up = self.meta.view.is_voter(self.me()) && self.has_spare_voters();
        !self.is_in_chain() && !has_vote_to_give_up
    }

    fn has_spare_voters(&self) -> bool {
        self.meta.view.voters.as_slice().len() > self.min_voters()
    }

    /// Its vote goes with it where the others are enough: an absent voter would count against the majority.
    fn view_without_this_replica(&self) -> Option<View> {
        let me = self.me();
        let view = &self.meta.view;
        let remaining: Vec<NodeId> = view.chain.iter().copied().filter(|id| *id != me).collect();
        if remaining.len() < self.required_replicas().max(MIN_CHAIN_AFTER_LEAVING) {
            return None;
        }
        let mut next = view.clone();
        next.number += 1;
        next.optimizer = optimizer_for(&remaining, view.optimizer);
        next.chain = remaining.into();
        if self.has_spare_voters() {
            let voters: Vec<NodeAddress> = view.voters.iter().filter(|voter| voter.id != me).cloned().collect();
            next.voters = voters.into();
        }
        Some(next)
    }
}
