//! Agreement on the next view: one Paxos decision per view number, on which the voters of the preceding view vote.
//! Promises and acceptances are sent only after the write that contains them is synced.

use super::ChainReplica;
use crate::types::Output;
use crate::view_agreement::{AcceptedView, is_majority};
use std::collections::BTreeSet;
use std::time::Duration;
use wire::{ChainMessage, NodeId, View};

/// Maximum backoff of a rejected proposer in heartbeat intervals; proposers back off for different numbers of them.
const MAX_BACKOFF_HEARTBEATS: u64 = 5;

impl ChainReplica {
    /// Proposes a view, if this replica is a voter.
    pub(super) fn propose_view(&mut self, value: View) {
        let me = self.me();
        let Some(rank) = self.meta.view.voters.iter().position(|voter| voter.id == me) else { return };
        let slot = self.meta.view.number + 1;
        let proposal = self.agreement.start_proposal(slot, value, self.meta.promised, rank, self.clock.now);
        let proposal_number = proposal.number;
        self.send_to_voters(&ChainMessage::Prepare { slot, proposal_number });
    }

    /// Writes identity, view and votes; the outputs are released once these are synced.
    pub(super) fn write_meta(&mut self, on_synced: Vec<Output>) {
        self.writes.add_meta(self.meta.clone(), on_synced);
    }

    pub(super) fn handle_prepare(&mut self, from: NodeId, slot: u64, proposal_number: u64) {
        if !self.is_next_slot(from, slot) {
            return;
        }
        if proposal_number <= self.meta.promised {
            return self.reject_proposal(from, slot);
        }
        self.meta.promised = proposal_number;
        let message = ChainMessage::PrepareReply {
            slot,
            proposal_number,
            accepted_number: self.meta.accepted_number,
            accepted: self.meta.accepted.clone(),
        };
        self.write_meta(vec![Output::Send { to: from, message }]);
    }

    pub(super) fn handle_accept(&mut self, from: NodeId, slot: u64, proposal_number: u64, view: View) {
        if !self.is_next_slot(from, slot) {
            return;
        }
        if proposal_number < self.meta.promised {
            return self.reject_proposal(from, slot);
        }
        self.meta.promised = proposal_number;
        self.meta.accepted_number = proposal_number;
        self.meta.accepted = view;
        self.agreement.record_accept(self.clock.now);
        let message = ChainMessage::AcceptReply { slot, proposal_number };
        self.write_meta(vec![Output::Send { to: from, message }]);
    }

    fn reject_proposal(&mut self, proposer: NodeId, slot: u64) {
        let proposal_number = self.meta.promised;
        self.send(proposer, ChainMessage::ProposalRejected { slot, proposal_number });
    }

    /// Returns whether a slot is that of the next view. A proposer of an earlier slot is sent the current view.
    fn is_next_slot(&mut self, from: NodeId, slot: u64) -> bool {
        let number = self.meta.view.number;
        if slot <= number {
            let view = self.meta.view.clone();
            self.send(from, ChainMessage::Decided { view });
        }
        number > 0 && slot == number + 1
    }

    pub(super) fn handle_prepare_reply(
        &mut self,
        from: NodeId,
        slot: u64,
        proposal_number: u64,
        accepted_number: u64,
        accepted: View,
    ) {
        let voters = self.meta.view.voters.as_slice().len();
        let is_voter = self.meta.view.is_voter(from);
        let Some(proposal) = self.agreement.open_proposal(slot, proposal_number) else { return };
        if !is_voter || proposal.is_accepting {
            return;
        }
        proposal.promises.insert(from, AcceptedView { proposal_number: accepted_number, view: accepted });
        if !is_majority(proposal.promises.len(), voters) {
            return;
        }
        proposal.is_accepting = true;
        let newest = proposal.promises.values().max_by_key(|accepted| accepted.proposal_number).cloned();
        if let Some(accepted) = newest
            && accepted.proposal_number > 0
        {
            proposal.value = accepted.view;
        }
        let view = proposal.value.clone();
        self.send_to_voters(&ChainMessage::Accept { slot, proposal_number, view });
    }

    pub(super) fn handle_accept_reply(&mut self, from: NodeId, slot: u64, proposal_number: u64) {
        let voters = self.meta.view.voters.as_slice().len();
        let is_voter = self.meta.view.is_voter(from);
        let Some(proposal) = self.agreement.open_proposal(slot, proposal_number) else { return };
        if !is_voter {
            return;
        }
        proposal.accepts.insert(from);
        if is_majority(proposal.accepts.len(), voters) {
            let view = proposal.value.clone();
            self.announce_decision(&view);
            self.adopt(view);
        }
    }

    fn announce_decision(&mut self, view: &View) {
        let old_voters = self.meta.view.voters.iter();
        let voters = old_voters.chain(view.voters.iter()).map(|voter| voter.id);
        // Members without a vote also need the view, to learn their position or that they were removed.
        let concerned: BTreeSet<NodeId> = voters.chain(self.meta.view.chain.iter().copied()).collect();
        for id in concerned {
            self.send(id, ChainMessage::Decided { view: view.clone() });
        }
    }

    pub(super) fn handle_proposal_rejected(&mut self, slot: u64, proposal_number: u64) {
        let heartbeats = 1 + (self.me() ^ proposal_number) % MAX_BACKOFF_HEARTBEATS;
        let backoff = Duration::from_millis(self.timing.heartbeat.as_millis() as u64 * heartbeats);
        self.agreement.record_rejection(slot, proposal_number, self.clock.now, backoff);
    }
}
