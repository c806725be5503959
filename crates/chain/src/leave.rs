//! A planned stop: the member names the view without itself, and goes on trying until that is decided.

use crate::copy::RETRY;
use crate::member::Member;
use crate::view::optimizer_for;
use std::time::Duration;
use wire::{NodeAddress, NodeId, View};

/// How long a member that leaves waits for a newcomer to hold everything first.
const SUCCESSOR_PATIENCE: Duration = Duration::from_millis(3200);

impl Member {
    /// From now on it neither asks to join again nor stays in the chain longer than it must.
    pub(crate) fn leave(&mut self) {
        self.leaving_since.get_or_insert(self.now);
        self.finish_leaving();
    }

    /// Proposes the view without this member while enough are left to keep the copies it takes, and no
    /// other change of the membership is under way.
    pub(crate) fn finish_leaving(&mut self) {
        let held_up = self.meta.view.learner != 0 || self.proposal.is_some() || self.now < self.propose_after;
        if !self.is_leaving() || self.may_stop() || held_up || self.awaits_successor() {
            return;
        }
        if let Some(next) = self.without_me() {
            self.propose(next);
        }
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving_since.is_some()
    }

    /// Whether a machine without a seat asks to join, which may be to take this member's part.
    fn awaits_successor(&self) -> bool {
        let is_patient = self.leaving_since.is_some_and(|since| self.now < since + SUCCESSOR_PATIENCE);
        let mut newcomers = self.newcomers.iter().filter(|(id, _)| !self.is_voter(**id));
        is_patient && newcomers.any(|(_, (_, last))| self.now < *last + RETRY * 3)
    }

    /// Whether nothing that the others rely on is left to this member: it is out of the chain, and has no
    /// seat that would count against their majority once it is empty.
    pub fn may_stop(&self) -> bool {
        let seat_to_give_up = self.is_voter(self.meta.node.id) && self.has_spare_seats();
        !self.is_chained() && !seat_to_give_up
    }

    fn has_spare_seats(&self) -> bool {
        self.meta.view.voters.as_slice().len() > self.enough()
    }

    /// Its seat goes with it where the others are enough: an empty one would count against the majority.
    fn without_me(&self) -> Option<View> {
        let me = self.meta.node.id;
        let view = &self.meta.view;
        let left: Vec<NodeId> = view.chain.iter().copied().filter(|id| *id != me).collect();
        if left.len() < self.copies().max(2) {
            return None;
        }
        let mut next = view.clone();
        next.number += 1;
        next.optimizer = optimizer_for(&left, view.optimizer);
        next.chain = left.into();
        if self.has_spare_seats() {
            let voters: Vec<NodeAddress> = view.voters.iter().filter(|node| node.id != me).cloned().collect();
            next.voters = voters.into();
        }
        Some(next)
    }
}
