//! Keeping the view true to the machines: heartbeats, suspicion, taking a silent or unwell member out,
//! adopting what was decided, and confirming by a majority that no newer view has begun.

use crate::member::Member;
use crate::register::is_majority;
use crate::types::{Output, State};
use std::collections::BTreeSet;
use wire::{ChainMessage, LogEntry, NodeAddress, NodeId, View};

#[derive(Clone, Default)]
pub struct Round {
    pub number: u64,
    pub begun: std::time::Duration,
    pub pending_replies: BTreeSet<NodeId>,
    pub running: bool,
    pub wanted: u64,
    pub needs: Option<(u64, u64)>,
}

impl Member {
    pub(crate) fn adopt(&mut self, view: View) {
        let me = self.meta.node.id;
        let mine = view.voters.iter().any(|node| node.id == me);
        if view.number <= self.meta.view.number || (self.meta.view.number == 0 && !mine) {
            return;
        }
        self.note_returns(&view);
        let report = self.change_tail(&view);
        self.meta.view = view.clone();
        self.meta.promised = 0;
        self.meta.accepted_number = 0;
        self.meta.accepted = View::default();
        self.highest_seen_number = 0;
        self.proposal = None;
        self.suspecting = None;
        self.heard_from_all();
        self.keep_meta(report.into_iter().collect());
        self.drop_copy_of_former_tail();
        self.enter_line();
        self.outs.push(Output::Viewed { view });
    }

    pub(crate) fn heard_from_all(&mut self) {
        let now = self.now;
        for node in self.meta.view.voters.clone().iter() {
            self.heard.insert(node.id, (now, false));
        }
    }

    pub(crate) fn on_heartbeat(&mut self, from: NodeId, view: u64, round: u64, unhealthy: bool) {
        if let Some((_, known)) = self.heard.get_mut(&from) {
            *known = unhealthy;
        }
        if view < self.meta.view.number {
            let view = self.meta.view.clone();
            return self.send(from, ChainMessage::Decided { view });
        }
        let has_accepted_next = (self.meta.accepted_number > 0) as u8;
        if has_accepted_next == 0 {
            self.note_answer(from);
        }
        self.send(from, ChainMessage::HeartbeatAck { view: self.meta.view.number, round, has_accepted_next });
    }

    /// Only an answer shows that a member is there: one that still sends but receives nothing would hold
    /// up every entry and every confirmation of the view.
    pub(crate) fn on_heartbeat_ack(&mut self, from: NodeId, view: u64, round: u64, has_accepted_next: bool) {
        if let Some((heard, _)) = self.heard.get_mut(&from) {
            *heard = self.now;
        }
        if !self.round.running || round != self.round.number || view != self.meta.view.number || has_accepted_next {
            return;
        }
        if self.is_voter(from) {
            self.round.pending_replies.insert(from);
        }
        if !is_majority(self.round.pending_replies.len(), self.meta.view.voters.as_slice().len()) {
            return;
        }
        self.round.running = false;
        if self.is_current_tail() {
            self.round.needs = Some((self.round.number, self.last));
            self.release_round();
        }
        if self.round.wanted > self.round.number {
            self.begin_round();
        }
    }

    pub(crate) fn release_round(&mut self) {
        if let Some((round, seq)) = self.round.needs
            && self.committed >= seq
            && self.is_current_tail()
        {
            self.round.needs = None;
            self.outs.push(Output::Confirmed { round });
        }
    }

    /// Rounds of confirmation are numbered from here, differently by each process of a member: a receipt
    /// of a round that an earlier process began must not count for one of this.
    pub fn numbering_rounds_from(mut self, first: u64) -> Self {
        self.round.wanted = first;
        self.round.number = first;
        self
    }

    pub fn ask_confirm(&mut self) -> u64 {
        self.round.wanted = self.round.number + 1;
        self.round.wanted
    }

    pub(crate) fn begin_round(&mut self) {
        self.round.number += 1;
        self.round.pending_replies.clear();
        self.round.running = true;
        self.round.begun = self.now;
        self.heartbeat();
    }

    pub(crate) fn heartbeat(&mut self) {
        let message = ChainMessage::Heartbeat {
            view: self.meta.view.number,
            round: self.round.number,
            unhealthy: self.is_unwell() as u8,
        };
        self.send_voters(message);
    }

    pub(crate) fn is_unwell(&self) -> bool {
        let stalled = self.writing.as_ref().is_some_and(|write| self.now > write.begun + self.timing.stall);
        self.faulted || stalled
    }

    pub(crate) fn is_suspect(&self, id: NodeId) -> bool {
        match self.heard.get(&id) {
            Some((heard, unhealthy)) => *unhealthy || self.now > *heard + self.timing.suspect,
            None => true,
        }
    }

    /// Proposes the next view when it must: to finish a decision that was begun and left open, which
    /// else would hold up every confirmation, or to take silent and unwell members out.
    pub(crate) fn mend(&mut self) {
        let me = self.meta.node.id;
        let view = &self.meta.view;
        let chain = view.chain.as_slice();
        if let Some(proposal) = &self.proposal {
            if self.now > proposal.begun + self.timing.suspect {
                self.proposal = None;
            }
            return;
        }
        let rank = view.voters.iter().position(|node| node.id == me).unwrap_or_default() as u32 + 1;
        let left_open = self.meta.accepted_number > 0 && self.now > self.accepted_at + self.timing.suspect / 2 * rank;
        if left_open && self.now >= self.propose_after {
            let mut same = view.clone();
            same.number += 1;
            return self.propose(same);
        }
        if !chain.contains(&me) || view.learner == me || self.is_unwell() || self.now < self.propose_after {
            return;
        }
        let left: Vec<NodeId> = chain.iter().copied().filter(|id| *id == me || !self.is_suspect(*id)).collect();
        let chosen_mender = left.iter().copied().find(|id| *id != view.learner);
        if !self.hears_majority() {
            return;
        }
        if left.len() == chain.len() {
            self.suspecting = None;
            if chosen_mender == Some(me)
                && let Some(next) = self.without_empty_seat()
            {
                self.propose(next);
            }
            return;
        }
        // The first of those left may be in touch with all of them while a link between two others is
        // lost: then whoever misses one proposes, the nearer to the head the sooner.
        let place = chain.iter().position(|id| *id == me).unwrap_or_default() as u32;
        let since = *self.suspecting.get_or_insert(self.now);
        if chosen_mender != Some(me) && self.now < since + self.timing.suspect * place {
            return;
        }
        let mut next = view.clone();
        next.number += 1;
        next.learner = if left.contains(&view.learner) { view.learner } else { 0 };
        next.optimizer = optimizer_for(&left, view.optimizer);
        next.chain = left.into();
        self.propose(next);
    }

    /// Who hears no majority may be the one that is cut off; it takes nobody out, lest its messages do so
    /// once they arrive after all.
    fn hears_majority(&self) -> bool {
        let voters = self.meta.view.voters.as_slice();
        let me = self.meta.node.id;
        let heard = voters.iter().filter(|node| node.id == me || !self.is_suspect(node.id)).count();
        is_majority(heard, voters.len())
    }
}

/// What others may look at.
impl Member {
    pub fn view(&self) -> &View {
        &self.meta.view
    }
    pub fn state(&self) -> &State {
        &self.state
    }
    /// The state as far as it is known here to be committed: nothing in it can be lost.
    pub fn committed_state(&self) -> &State {
        &self.committed_state
    }
    pub fn node(&self) -> &NodeAddress {
        &self.meta.node
    }
    pub fn entries(&self) -> impl Iterator<Item = &LogEntry> {
        self.log.iter()
    }
    pub fn suspects(&self) -> Vec<NodeId> {
        self.meta.view.voters.iter().map(|node| node.id).filter(|id| self.is_suspect(*id)).collect()
    }
    pub fn positions(&self) -> (u64, u64, u64) {
        (self.last, self.synced, self.committed)
    }
}

pub fn optimizer_for(chain: &[NodeId], holder: NodeId) -> NodeId {
    if chain.contains(&holder) {
        return holder;
    }
    chain.get(1).or(chain.first()).copied().unwrap_or_default()
}
