//! What may happen next in a state, and making it happen.

use crate::passing::Silence;
use crate::world::World;
use std::fmt::{Display, Formatter};
use wire::{ChainMessage, NodeId};

/// One step of a run. Machines are named by their index.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Choice {
    /// One message arrives, in whatever order.
    Deliver {
        from: NodeId,
        to: NodeId,
        place: usize,
    },
    /// One message is lost.
    Drop {
        from: NodeId,
        to: NodeId,
        place: usize,
    },
    /// A machine's oldest write is synced.
    Land(usize),
    /// All messages arrive and all writes land, in the order sent, until nothing is under way.
    Settle,
    /// Three half suspicion times pass; messages stay under way.
    Pass(Silence),
    /// Three half suspicion times pass with all messages and writes finished in between.
    Calm(Silence),
    Propose(usize),
    Confirm(usize),
    /// The process dies; its unsynced write is lost, or lands unreported.
    Crash {
        machine: usize,
        write_lands: bool,
    },
    Restart(usize),
    /// The process dies and its disk is lost; the machine starts empty under a new identity.
    Wipe(usize),
    Leave(usize),
    /// A machine that was told to leave ends.
    EndLeaving(usize),
    /// A new machine starts, the successor of one that is to leave.
    Join {
        replaces: usize,
    },
    /// A view forged by a planted fault is spread.
    Forge,
}

impl Display for Choice {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        write!(f, "{self:?}")
    }
}

impl World {
    /// Everything that may happen next within the budget and the declared losses.
    pub fn choices(&self) -> Vec<Choice> {
        let mut choices = Vec::new();
        self.progress_choices(&mut choices);
        self.fault_choices(&mut choices);
        self.membership_choices(&mut choices);
        if self.may_forge_view() {
            choices.push(Choice::Forge);
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
                choices.push(Choice::Land(index));
            }
            if machine.member.is_some() && self.budget.entries > 0 {
                choices.push(Choice::Propose(index));
            }
            if machine.member.as_ref().is_some_and(|member| member.is_tail()) && self.budget.confirms > 0 {
                choices.push(Choice::Confirm(index));
            }
        }
        for ((from, to), messages) in &self.frames {
            for place in 0..messages.len() {
                choices.push(Choice::Deliver { from: *from, to: *to, place });
            }
        }
        if self.budget.passes > 0 {
            choices.push(Choice::Calm(Silence::None));
            choices.extend(self.may_stall().then_some(Choice::Pass(Silence::None)));
        }
    }

    /// Whose writes are under way: while time passes their disks hang, which counts as a loss.
    pub(crate) fn stalled(&self) -> impl Iterator<Item = usize> {
        (0..self.machines.len()).filter(|index| !self.machines[*index].pending.is_empty())
    }

    fn may_stall(&self) -> bool {
        let counted = self.stalled().filter(|index| !self.is_missed_already(*index)).count();
        self.lost_count() + counted <= self.losses
    }

    fn fault_choices(&self, choices: &mut Vec<Choice>) {
        if self.budget.drops > 0 {
            for ((from, to), messages) in &self.frames {
                let droppable = |message: &ChainMessage| !matches!(message, ChainMessage::ProposalReply { .. });
                let places = (0..messages.len()).filter(|place| droppable(&messages[*place]));
                choices.extend(places.map(|place| Choice::Drop { from: *from, to: *to, place }));
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
                choices.push(Choice::Crash { machine: index, write_lands: false });
                if !machine.pending.is_empty() {
                    choices.push(Choice::Crash { machine: index, write_lands: true });
                }
            }
            if self.budget.wipes > 0 {
                choices.push(Choice::Wipe(index));
            }
            if self.budget.silences > 0 && self.budget.passes > 0 {
                if self.stalled().all(|stalled| stalled == index) {
                    choices.push(Choice::Pass(Silence::Frozen(index)));
                    choices.push(Choice::Pass(Silence::Cut(index)));
                }
                choices.push(Choice::Calm(Silence::Cut(index)));
            }
        }
    }

    fn membership_choices(&self, choices: &mut Vec<Choice>) {
        for (index, machine) in self.machines.iter().enumerate() {
            if machine.member.is_none() {
                continue;
            }
            let succeeded = machine.successor.is_some_and(|successor| !self.machines[successor].troubled);
            let may_go = succeeded || self.may_lose(index);
            let may_end = (succeeded && self.may_stop(index)) || self.may_lose(index);
            if machine.leaving && may_end {
                choices.push(Choice::EndLeaving(index));
            }
            if !machine.leaving && may_go && self.budget.leaves > 0 {
                choices.push(Choice::Leave(index));
            }
            if self.budget.joins > 0 && machine.successor.is_none() && self.machines.len() < 10 {
                choices.push(Choice::Join { replaces: index });
            }
        }
    }

    pub fn take(&mut self, choice: &Choice) {
        match *choice {
            Choice::Deliver { from, to, place } => {
                let message = self.unsend(from, to, place);
                self.deliver(from, to, message);
            }
            Choice::Drop { from, to, place } => {
                self.unsend(from, to, place);
                self.budget.drops -= 1;
            }
            Choice::Land(index) => self.land(index),
            Choice::Settle => self.settle(Silence::None),
            Choice::Pass(silence) => self.pass(silence, false),
            Choice::Calm(silence) => self.pass(silence, true),
            Choice::Propose(index) => {
                self.budget.entries -= 1;
                self.propose(index);
            }
            Choice::Confirm(index) => {
                self.budget.confirms -= 1;
                self.confirm(index);
            }
            Choice::Crash { machine, write_lands } => self.crash(machine, write_lands),
            Choice::Restart(index) => self.start(index),
            Choice::Wipe(index) => {
                self.budget.wipes -= 1;
                self.wipe(index);
            }
            Choice::Leave(index) => {
                self.budget.leaves -= 1;
                self.machines[index].leaving = true;
                self.machines[index].troubled |= self.machines[index].successor.is_none();
                self.feed(index, chain::Input::Leave { within: crate::passing::GRACE });
            }
            Choice::EndLeaving(index) => {
                self.machines[index].removed = self.machines[index].successor.is_some();
                self.machines[index].left_in_order = self.may_stop(index) && self.has_left(index);
                self.stop(index);
            }
            Choice::Join { replaces } => {
                self.budget.joins -= 1;
                let index = self.add_machine(false);
                self.machines[replaces].successor = Some(index);
            }
            Choice::Forge => self.forge_view(),
        }
        self.check();
    }

    fn unsend(&mut self, from: NodeId, to: NodeId, place: usize) -> ChainMessage {
        let Some(messages) = self.frames.get_mut(&(from, to)) else { panic!("no message from {from} to {to}") };
        messages.remove(place)
    }

    fn crash(&mut self, index: usize, write_lands: bool) {
        self.budget.crashes -= 1;
        if write_lands && !self.machines[index].pending.is_empty() {
            let (_, batch) = self.machines[index].pending.remove(0);
            self.machines[index].disk.apply(&batch);
        }
        self.stop(index);
    }

    pub(crate) fn wipe(&mut self, index: usize) {
        self.stop(index);
        let machine = &mut self.machines[index];
        machine.disk = chain::StoredReplica::default();
        machine.wipes += 1;
        machine.may_found = false;
        self.start(index);
    }
}
