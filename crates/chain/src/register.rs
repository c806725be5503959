//! The view register: one Paxos decision per view number, voted on by the voters of the view
//! before it. Promises and acceptances leave only with the write that keeps them.

use crate::member::Member;
use crate::types::Output;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use wire::{ChainMessage, NodeId, View};

#[derive(Clone, Debug)]
pub struct Proposal {
    pub slot: u64,
    pub proposal_number: u64,
    pub value: View,
    pub promises: BTreeMap<NodeId, (u64, View)>,
    pub accepts: BTreeSet<NodeId>,
    pub accepting: bool,
    pub begun: Duration,
}

pub fn is_majority(count: usize, of: usize) -> bool {
    count * 2 > of
}

impl Member {
    pub(crate) fn is_voter(&self, id: NodeId) -> bool {
        self.meta.view.voters.iter().any(|node| node.id == id)
    }

    pub(crate) fn propose(&mut self, value: View) {
        let Some(rank) = self.meta.view.voters.iter().position(|node| node.id == self.meta.node.id) else {
            return;
        };
        let round = (self.meta.promised.max(self.highest_seen_number) >> 8) + 1;
        let proposal_number = (round << 8) | rank as u64;
        let slot = self.meta.view.number + 1;
        self.proposal = Some(Proposal {
            slot,
            proposal_number,
            value,
            promises: BTreeMap::new(),
            accepts: BTreeSet::new(),
            accepting: false,
            begun: self.now,
        });
        self.send_voters(ChainMessage::Prepare { slot, proposal_number });
    }

    pub(crate) fn keep_meta(&mut self, after: Vec<Output>) {
        self.next.meta = Some(self.meta.clone());
        self.next_after.extend(after);
        self.dirty = true;
    }

    pub(crate) fn send_voters(&mut self, message: ChainMessage) {
        for node in self.meta.view.voters.clone().iter() {
            self.send(node.id, message.clone());
        }
    }

    pub(crate) fn on_prepare(&mut self, from: NodeId, slot: u64, proposal_number: u64) {
        if !self.slot_is_next(from, slot) {
            return;
        }
        if proposal_number <= self.meta.promised {
            let proposal_number = self.meta.promised;
            return self.send(from, ChainMessage::ProposalRejected { slot, proposal_number });
        }
        self.meta.promised = proposal_number;
        let promise = ChainMessage::PrepareReply {
            slot,
            proposal_number,
            accepted_number: self.meta.accepted_number,
            accepted: self.meta.accepted.clone(),
        };
        self.keep_meta(vec![Output::Send { to: from, message: promise }]);
    }

    pub(crate) fn on_accept(&mut self, from: NodeId, slot: u64, proposal_number: u64, view: View) {
        if !self.slot_is_next(from, slot) {
            return;
        }
        if proposal_number < self.meta.promised {
            let proposal_number = self.meta.promised;
            return self.send(from, ChainMessage::ProposalRejected { slot, proposal_number });
        }
        self.meta.promised = proposal_number;
        self.meta.accepted_number = proposal_number;
        self.meta.accepted = view;
        self.accepted_at = self.now;
        self.keep_meta(vec![Output::Send { to: from, message: ChainMessage::AcceptReply { slot, proposal_number } }]);
    }

    fn slot_is_next(&mut self, from: NodeId, slot: u64) -> bool {
        let number = self.meta.view.number;
        if slot <= number {
            let view = self.meta.view.clone();
            self.send(from, ChainMessage::Decided { view });
        }
        number > 0 && slot == number + 1
    }

    pub(crate) fn on_promise(
        &mut self,
        from: NodeId,
        slot: u64,
        proposal_number: u64,
        accepted_number: u64,
        accepted: View,
    ) {
        let voters = self.meta.view.voters.as_slice().len();
        let voter = self.is_voter(from);
        let Some(proposal) = self.proposal.as_mut() else { return };
        if !voter || proposal.accepting || (proposal.slot, proposal.proposal_number) != (slot, proposal_number) {
            return;
        }
        proposal.promises.insert(from, (accepted_number, accepted));
        if !is_majority(proposal.promises.len(), voters) {
            return;
        }
        proposal.accepting = true;
        let strongest = proposal.promises.values().max_by_key(|(strength, _)| *strength).cloned();
        if let Some((strength, view)) = strongest
            && strength > 0
        {
            proposal.value = view;
        }
        let view = proposal.value.clone();
        self.send_voters(ChainMessage::Accept { slot, proposal_number, view });
    }

    pub(crate) fn on_accepted(&mut self, from: NodeId, slot: u64, proposal_number: u64) {
        let voters = self.meta.view.voters.as_slice().len();
        let voter = self.is_voter(from);
        let Some(proposal) = self.proposal.as_mut() else { return };
        if !voter || (proposal.slot, proposal.proposal_number) != (slot, proposal_number) {
            return;
        }
        proposal.accepts.insert(from);
        if is_majority(proposal.accepts.len(), voters) {
            let view = proposal.value.clone();
            let told: BTreeSet<NodeId> =
                self.meta.view.voters.iter().chain(view.voters.iter()).map(|node| node.id).collect();
            for id in told {
                self.send(id, ChainMessage::Decided { view: view.clone() });
            }
            self.adopt(view);
        }
    }

    pub(crate) fn on_refused(&mut self, slot: u64, proposal_number: u64) {
        self.highest_seen_number = self.highest_seen_number.max(proposal_number);
        // A voter that has promised this very ballot, and was asked twice, has refused nothing.
        let outbid = |proposal: &Proposal| proposal.slot == slot && proposal_number > proposal.proposal_number;
        if self.proposal.as_ref().is_some_and(outbid) {
            self.proposal = None;
            let wait = self.timing.heartbeat.as_millis() as u64 * (1 + (self.meta.node.id ^ proposal_number) % 5);
            self.propose_after = self.now + Duration::from_millis(wait);
        }
    }
}
