//! The choices available in a state, and their execution.

use crate::clock::Isolation;
use crate::world::World;
use std::fmt::{Display, Formatter};
use wire::{ChainMessage, NodeId};

/// One step of a run. Machines are identified by their index.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Choice {
    /// One message arrives, in any order. `position` is its index among the messages in flight on the link.
    Deliver { from: NodeId, to: NodeId, position: usize },
    /// One message is lost.
    Drop { from: NodeId, to: NodeId, position: usize },
    /// The oldest write of a machine is synced.
    CompleteWrite(usize),
    /// All messages are delivered and all writes completed, in the order sent, until none is left.
    Settle,
    /// The clocks advance by three half suspicion timeouts; messages stay in flight.
    AdvanceClocks(Isolation),
    /// The clocks advance by three half suspicion timeouts; all messages and writes complete in between.
    AdvanceAndDeliver(Isolation),
    /// A change is proposed at a machine.
    Propose(usize),
    /// A tail is asked to confirm its reads.
    Confirm(usize),
    /// The process crashes; its oldest unsynced write is lost, or synced without a report.
    Crash { machine: usize, write_synced: bool },
    /// The process starts again from its disk.
    Restart(usize),
    /// The process crashes and its disk is lost; the machine starts empty with a new node id.
    Wipe(usize),
    /// A machine is told to leave the chain.
    Leave(usize),
    /// The process of a machine that was told to leave stops.
    EndLeaving(usize),
    /// A new machine starts as the successor of one that will leave.
    Join { replaces: usize },
    /// A view forged by a planted fault is sent to the voters.
    ForgeView,
}

impl Display for Choice {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        write!(f, "{self:?}")
    }
}

impl World {
    /// Returns every choice allowed by the budget and the declared number of losses.
    pub fn choices(&self) -> Vec<Choice> {
        let mut choices = Vec::new();
        self.progress_choices(&mut choices);
        self.fault_choices(&mut choices);
        self.membership_choices(&mut choices);
        if self.can_forge_view() {
            choices.push(Choice::ForgeView);
        }
        choices
    }

    fn progress_choices(&self, choices: &mut Vec<Choice>) {
        let pending = self.machines.iter().any(|machine| !machine.pending.is_empty());
        let messages = self.frames.values().any(|messages| !messages.is_empty());
        if pending || messages {
            choices.push(Choice::Settle);
        }
        for (index, machine) in self.machines.iter().enumerate() {
            if !machine.pending.is_empty() {
                choices.push(Choice::CompleteWrite(index));
            }
            if machine.member.is_some() && self.budget.entries > 0 {
                choices.push(Choice::Propose(index));
            }
            if machine.member.as_ref().is_some_and(|member| member.is_tail()) && self.budget.confirms > 0 {
                choices.push(Choice::Confirm(index));
            }
        }
        for ((from, to), messages) in &self.frames {
            for position in 0..messages.len() {
                choices.push(Choice::Deliver { from: *from, to: *to, position });
            }
        }
        if self.budget.passes > 0 {
            choices.push(Choice::AdvanceAndDeliver(Isolation::None));
            choices.extend(self.may_stall_writes().then_some(Choice::AdvanceClocks(Isolation::None)));
        }
    }

    /// Returns the machines with pending writes. If the clocks advance meanwhile, their disks are stalled, which
    /// counts as a loss.
    pub(crate) fn stalled(&self) -> impl Iterator<Item = usize> {
        (0..self.machines.len()).filter(|index| !self.machines[*index].pending.is_empty())
    }

    fn may_stall_writes(&self) -> bool {
        let newly_stalled = self.stalled().filter(|index| !self.is_already_unavailable(*index)).count();
        self.lost_count() + newly_stalled <= self.losses
    }

    fn fault_choices(&self, choices: &mut Vec<Choice>) {
        if self.budget.drops > 0 {
            for ((from, to), messages) in &self.frames {
                let droppable = |message: &ChainMessage| !matches!(message, ChainMessage::ProposalReply { .. });
                let positions = (0..messages.len()).filter(|position| droppable(&messages[*position]));
                choices.extend(positions.map(|position| Choice::Drop { from: *from, to: *to, position }));
            }
        }
        for (index, machine) in self.machines.iter().enumerate() {
            if machine.member.is_none() {
                if !machine.removed {
                    choices.push(Choice::Restart(index));
                }
                continue;
            }
            if !self.may_lose(index) {
                continue;
            }
            if self.budget.crashes > 0 {
                choices.push(Choice::Crash { machine: index, write_synced: false });
                if !machine.pending.is_empty() {
                    choices.push(Choice::Crash { machine: index, write_synced: true });
                }
            }
            if self.budget.wipes > 0 {
                choices.push(Choice::Wipe(index));
            }
            if self.budget.silences > 0 && self.budget.passes > 0 {
                if self.stalled().all(|stalled| stalled == index) {
                    choices.push(Choice::AdvanceClocks(Isolation::Frozen(index)));
                    choices.push(Choice::AdvanceClocks(Isolation::Cut(index)));
                }
                choices.push(Choice::AdvanceAndDeliver(Isolation::Cut(index)));
            }
        }
    }

    fn membership_choices(&self, choices: &mut Vec<Choice>) {
        for (index, machine) in self.machines.iter().enumerate() {
            if machine.member.is_none() {
                continue;
            }
            let has_intact_successor = machine.successor.is_some_and(|successor| !self.machines[successor].is_faulty);
            let may_leave = has_intact_successor || self.may_lose(index);
            let may_end = (has_intact_successor && self.may_stop(index)) || self.may_lose(index);
            if machine.leaving && may_end {
                choices.push(Choice::EndLeaving(index));
            }
            if !machine.leaving && may_leave && self.budget.leaves > 0 {
                choices.push(Choice::Leave(index));
            }
            if self.budget.joins > 0 && machine.successor.is_none() && self.machines.len() < 10 {
                choices.push(Choice::Join { replaces: index });
            }
        }
    }

    /// Executes a choice and checks the invariants of the resulting state.
    pub fn apply_choice(&mut self, choice: &Choice) {
        match *choice {
            Choice::Deliver { from, to, position } => {
                let message = self.take_message(from, to, position);
                self.deliver(from, to, message);
            }
            Choice::Drop { from, to, position } => {
                self.take_message(from, to, position);
                self.budget.drops -= 1;
            }
            Choice::CompleteWrite(index) => self.complete_write(index),
            Choice::Settle => self.settle(Isolation::None),
            Choice::AdvanceClocks(isolation) => self.advance_steps(isolation, false),
            Choice::AdvanceAndDeliver(isolation) => self.advance_steps(isolation, true),
            Choice::Propose(index) => {
                self.budget.entries -= 1;
                self.propose(index);
            }
            Choice::Confirm(index) => {
                self.budget.confirms -= 1;
                self.confirm(index);
            }
            Choice::Crash { machine, write_synced } => self.crash(machine, write_synced),
            Choice::Restart(index) => self.start(index),
            Choice::Wipe(index) => {
                self.budget.wipes -= 1;
                self.wipe(index);
            }
            Choice::Leave(index) => {
                self.budget.leaves -= 1;
                self.machines[index].leaving = true;
                self.machines[index].is_faulty |= self.machines[index].successor.is_none();
                self.handle_input(index, chain::Input::Leave { within: crate::clock::GRACE });
            }
            Choice::EndLeaving(index) => {
                self.machines[index].removed = self.machines[index].successor.is_some();
                self.machines[index].left_cleanly = self.may_stop(index) && self.has_left(index);
                self.stop(index);
            }
            Choice::Join { replaces } => {
                self.budget.joins -= 1;
                let index = self.add_machine(false);
                self.machines[replaces].successor = Some(index);
            }
            Choice::ForgeView => self.forge_view(),
        }
        self.check();
    }

    /// Removes a message in flight from its link.
    fn take_message(&mut self, from: NodeId, to: NodeId, position: usize) -> ChainMessage {
        let Some(messages) = self.frames.get_mut(&(from, to)) else {
            panic!("no message in flight from {from} to {to}")
        };
        messages.remove(position)
    }

    fn crash(&mut self, index: usize, write_synced: bool) {
        self.budget.crashes -= 1;
        if write_synced && !self.machines[index].pending.is_empty() {
            let (_, batch) = self.machines[index].pending.remove(0);
            self.machines[index].disk.apply(&batch);
        }
        self.stop(index);
    }

    /// Stops a machine, clears its disk and starts it with a new node id.
    pub(crate) fn wipe(&mut self, index: usize) {
        self.stop(index);
        let machine = &mut self.machines[index];
        machine.disk = chain::StoredReplica::default();
        machine.wipes += 1;
        machine.is_founder = false;
        self.start(index);
    }
}
