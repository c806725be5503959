//! Rules for which machines count as lost, and faults planted around the members to test the explorer: a
//! disk that reports too early, forged votes, forged replies, a forged view. The code of the members is
//! unchanged.

use crate::world::{World, machine_index};
use chain::Input;
use wire::{ChainMessage, NodeAddress, NodeId};

/// A fault planted to check that the explorer detects it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum PlantedFault {
    #[default]
    None,
    /// The disk reports each write before it is synced.
    EarlySync,
    /// A proposer receives a vote that no voter cast.
    ForgedVote,
    /// A forged view with only a learner in its chain is sent to the voters.
    LoneLearner,
    /// A member is told that its successor in the chain has synced entries that were only sent to it.
    ForgedCopy,
}

impl PlantedFault {
    /// Returns the fault with this name on the command line.
    pub fn from_name(name: &str) -> Option<PlantedFault> {
        match name {
            "none" => Some(PlantedFault::None),
            "early-sync" => Some(PlantedFault::EarlySync),
            "forged-vote" => Some(PlantedFault::ForgedVote),
            "lone-learner" => Some(PlantedFault::LoneLearner),
            "forged-copy" => Some(PlantedFault::ForgedCopy),
            _ => None,
        }
    }
}

impl World {
    /// Returns whether a machine counts as lost. While a machine with a successor leaves, the successor counts
    /// in its place.
    fn is_lost(&self, index: usize) -> bool {
        let machine = &self.machines[index];
        if self.is_leaving_or_removed(index) && machine.successor.is_some() {
            return self.left_uncleanly(index);
        }
        machine.is_faulty && (!self.is_joining(index) || self.replaces_leaving_machine(index))
    }

    fn is_leaving_or_removed(&self, index: usize) -> bool {
        self.machines[index].removed || self.machines[index].leaving
    }

    fn replaces_leaving_machine(&self, index: usize) -> bool {
        (0..self.machines.len())
            .any(|other| self.is_leaving_or_removed(other) && self.machines[other].successor == Some(index))
    }

    /// Returns whether a leaving machine had a fault or stopped too early and so still counts as lost: it does
    /// until none of its node ids is a voter.
    fn left_uncleanly(&self, index: usize) -> bool {
        let machine = &self.machines[index];
        machine.is_faulty && !machine.left_cleanly && self.has_voter(index)
    }

    /// Returns whether any node id that a machine ever had is a voter.
    pub(crate) fn has_voter(&self, index: usize) -> bool {
        let is_own_identity = |node: &NodeAddress| machine_index(node.id) == index;
        self.newest_view().is_some_and(|view| view.voters.iter().any(is_own_identity))
    }

    /// Returns whether the machine has left: none of its node ids is in the chain, and none is a voter that
    /// the remaining voters could do without.
    pub(crate) fn has_left(&self, index: usize) -> bool {
        let Some(newest) = self.newest_view() else { return true };
        let in_chain = newest.chain.iter().any(|id| machine_index(*id) == index);
        let has_spare_voter = newest.voters.as_slice().len() > self.losses * 2 + 1;
        let can_give_up_voter = has_spare_voter && self.has_voter(index);
        !in_chain && !can_give_up_voter
    }

    /// Returns whether a new machine was never fully in the chain. It does not count as lost, because the
    /// machine that it replaces does, unless one of its node ids is a voter and it cannot vote.
    fn is_joining(&self, index: usize) -> bool {
        let machine = &self.machines[index];
        let is_own_identity = |node: &NodeAddress| node.id == machine.id;
        let is_voter = self.newest_view().is_some_and(|view| view.voters.iter().any(is_own_identity));
        let can_vote = machine.member.is_some() && !machine.leaving && is_voter;
        !machine.was_in_chain && !machine.is_founder && (can_vote || !self.has_voter(index))
    }

    /// Returns the number of machines that count as lost.
    pub(crate) fn lost_count(&self) -> usize {
        (0..self.machines.len()).filter(|index| self.is_lost(*index)).count()
    }

    /// Returns whether losing the machine would not increase the number of lost machines.
    pub(crate) fn is_already_unavailable(&self, index: usize) -> bool {
        self.is_lost(index) || !self.machines[index].was_in_chain && !self.has_voter(index)
    }

    /// Returns whether the machine may be lost within the declared tolerance.
    pub(crate) fn may_lose(&self, index: usize) -> bool {
        self.is_already_unavailable(index) || self.lost_count() < self.losses
    }

    /// Marks each machine as recovered that is in the chain of the newest view and not its learner. Called
    /// after a period without faults.
    pub(crate) fn mark_recovered(&mut self) {
        let Some(newest) = self.newest_view().cloned() else { return };
        for machine in &mut self.machines {
            let Some(member) = &machine.member else { continue };
            let in_chain = newest.chain.as_slice().contains(&machine.id) && newest.learner != machine.id;
            if in_chain && member.view().number == newest.number && !machine.leaving {
                machine.is_faulty = false;
                machine.was_in_chain = true;
            }
        }
    }

    /// Returns every set of machines that may still be lost in addition to those already lost. Empty if more
    /// are lost than declared, which happens when a leaving machine joins again.
    pub(crate) fn possible_further_losses(&self) -> Vec<Vec<usize>> {
        if self.lost_count() > self.losses {
            return Vec::new();
        }
        let remaining_losses = self.losses.saturating_sub(self.lost_count());
        let intact: Vec<usize> = (0..self.machines.len())
            .filter(|index| self.machines[*index].member.is_some() && !self.is_lost(*index))
            .collect();
        let mut sets = vec![Vec::new()];
        for _ in 0..remaining_losses {
            sets = sets
                .iter()
                .flat_map(|set| {
                    let last_chosen = set.last().copied();
                    let more = intact.iter().filter(move |index| last_chosen.is_none_or(|last| **index > last));
                    more.map(move |index| [set.as_slice(), &[*index]].concat())
                })
                .collect();
        }
        sets
    }

    /// Reports a write as synced before it is, if that fault is planted.
    pub(crate) fn report_early_sync(&mut self, index: usize, ticket: u64) {
        if self.planted_fault == PlantedFault::EarlySync {
            self.handle_input(index, Input::Written { ticket });
        }
    }

    /// Sends a reply to a message that its receiver has not given, if such a fault is planted.
    pub(crate) fn forge_reply(&mut self, from: NodeId, to: NodeId, message: &ChainMessage) {
        let forged = match (self.planted_fault, message) {
            (PlantedFault::ForgedVote, ChainMessage::Accept { slot, proposal_number, .. }) => {
                ChainMessage::AcceptReply { slot: *slot, proposal_number: *proposal_number }
            }
            (PlantedFault::ForgedCopy, ChainMessage::Append { view, entries, .. }) => {
                let Some(last) = entries.as_slice().last() else { return };
                ChainMessage::Synced { view: *view, seq: last.seq, committed: last.seq }
            }
            _ => return,
        };
        self.frames.entry((to, from)).or_default().push(forged);
    }

    /// Returns whether the planted fault can forge a view now.
    pub(crate) fn can_forge_view(&self) -> bool {
        self.planted_fault == PlantedFault::LoneLearner && self.newest_view().is_some_and(|view| view.learner != 0)
    }

    /// Sends all voters a decided view with only the learner in its chain.
    pub(crate) fn forge_view(&mut self) {
        let Some(newest) = self.newest_view().cloned() else { return };
        let learner = newest.learner;
        let mut view = newest;
        view.number += 1;
        view.learner = 0;
        view.chain = vec![learner].into();
        for node in view.voters.clone().iter() {
            self.handle_input(
                machine_index(node.id),
                Input::Message { from: learner, message: ChainMessage::Decided { view: view.clone() } },
            );
        }
    }
}
