//! A planned stop: the member names the view without itself, and goes on trying until that is decided.

use crate::member::Member;
use crate::view::optimizer_for;
use wire::{NodeId, Seat, View};

impl Member {
    /// From now on it neither asks to join again nor stays in the chain longer than it must.
    pub(crate) fn leave(&mut self) {
        self.leaving = true;
        self.finish_leaving();
    }

    /// Proposes the view without this member while enough are left to keep the copies it takes, and no
    /// other change of the membership is under way.
    pub(crate) fn finish_leaving(&mut self) {
        let held_up = self.meta.view.fresh != 0 || self.proposal.is_some() || self.now < self.propose_after;
        if !self.leaving || self.may_stop() || held_up {
            return;
        }
        if let Some(next) = self.without_me() {
            self.propose(next);
        }
    }

    /// Whether nothing that the others rely on is left to this member: it is out of the chain, and has no
    /// seat that would count against their majority once it is empty.
    pub fn may_stop(&self) -> bool {
        !self.is_chained() && !(self.is_voter(self.meta.seat.id) && self.has_spare_seats())
    }

    fn has_spare_seats(&self) -> bool {
        self.meta.view.voters.as_slice().len() > self.enough()
    }

    /// Its seat goes with it where the others are enough: an empty one would count against the majority.
    fn without_me(&self) -> Option<View> {
        let me = self.meta.seat.id;
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
            let voters: Vec<Seat> = view.voters.iter().filter(|seat| seat.id != me).cloned().collect();
            next.voters = voters.into();
        }
        Some(next)
    }
}
