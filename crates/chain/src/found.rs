//! Founding a cluster, once: three empty seeds that see each other and nobody else each bind,
//! on disk, to the same three, and only when all three have said so does the first view stand.
//! A machine that comes up empty beside a living cluster is told its view and asks to join.

use crate::member::Member;
use crate::types::Output;
use std::time::Duration;
use wire::{ChainMsg, Seat, View};

const EVERY: Duration = Duration::from_millis(250);
const FRESH: Duration = Duration::from_millis(1500);
const SEATS: usize = 3;

impl Member {
    pub(crate) fn found(&mut self) {
        if self.now < self.asked_at + EVERY || self.last > 0 {
            return;
        }
        let seat = self.meta.seat.clone();
        let bound = self.meta.accepted.clone();
        self.outs.push(Output::SendSeeds { message: ChainMsg::FoundAsk { seat, bound } });
    }

    pub(crate) fn on_found_ask(&mut self, seat: Seat, bound: View) {
        if self.meta.view.number > 0 {
            let view = self.meta.view.clone();
            return self.send(seat.id, ChainMsg::Decided { view });
        }
        self.founders.insert(seat.id, (seat, self.now, bound));
        let mine = (self.meta.seat.clone(), self.now, self.meta.accepted.clone());
        self.founders.insert(self.meta.seat.id, mine);
        let now = self.now;
        self.founders.retain(|_, (_, heard, _)| now < *heard + FRESH);
        if self.meta.accepted_ballot == 0 {
            if self.founders.len() == SEATS {
                let voters: Vec<Seat> = self.founders.values().map(|(seat, ..)| seat.clone()).collect();
                let chain: Vec<u64> = voters.iter().map(|seat| seat.id).collect();
                let optimizer = chain[1];
                self.meta.accepted =
                    View { number: 1, chain: chain.into(), voters: voters.into(), fresh: 0, optimizer };
                self.meta.accepted_ballot = 1;
                self.keep_meta(Vec::new());
            }
            return;
        }
        let first = self.meta.accepted.clone();
        let agreed = first
            .chain
            .iter()
            .all(|id| *id == self.meta.seat.id || self.founders.get(id).is_some_and(|(_, _, bound)| *bound == first));
        if agreed && self.writing.is_none() {
            self.adopt(first);
        }
    }

    pub(crate) fn on_decided(&mut self, view: View) {
        if self.meta.view.number == 0 && self.meta.accepted_ballot == 0 && self.last == 0 {
            return;
        }
        self.adopt(view);
    }
}
