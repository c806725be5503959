//! Time as an explicit choice: the clocks advance in steps of half the suspicion timeout. During a step
//! heartbeats arrive at once and at most one machine is frozen or cut off.

use crate::world::{World, machine_index};
use chain::Input;
use std::time::Duration;
use wire::NodeId;

/// Half the suspicion timeout: to the members a longer step would look like a freeze.
const STEP_DURATION: Duration = Duration::from_millis(450);
/// Number of clock steps in one choice that advances the clocks.
const STEPS_PER_CHOICE: usize = 3;
/// Maximum time a machine that is told to leave may wait before it stops.
pub const GRACE: Duration = Duration::from_secs(4);
/// Limit on deliveries in one call; an exchange of messages without a loop needs fewer.
const MAX_DELIVERIES: usize = 20_000;

/// Machine that is unreachable while the clocks advance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Isolation {
    /// No machine.
    None,
    /// The process does not run.
    Frozen(usize),
    /// The process runs, but no message reaches it or leaves it.
    Cut(usize),
}

impl Isolation {
    fn machine(self) -> Option<usize> {
        match self {
            Isolation::None => None,
            Isolation::Frozen(index) | Isolation::Cut(index) => Some(index),
        }
    }
}

impl World {
    /// Advances the clocks by one choice, with or without delivering messages and completing writes.
    pub(crate) fn advance_steps(&mut self, isolation: Isolation, settle: bool) {
        self.budget.passes -= 1;
        if let Some(index) = isolation.machine() {
            self.budget.silences -= 1;
            self.machines[index].is_faulty = true;
        }
        if !settle {
            let stalled: Vec<usize> = self.stalled().collect();
            stalled.into_iter().for_each(|index| self.machines[index].is_faulty = true);
        }
        for _ in 0..STEPS_PER_CHOICE {
            self.advance(isolation);
            if settle {
                self.settle(isolation);
            }
        }
        if settle && isolation == Isolation::None {
            self.mark_recovered();
        }
    }

    /// Advances the clocks by one step and ticks every process that is not frozen.
    pub(crate) fn advance(&mut self, isolation: Isolation) {
        self.now += STEP_DURATION;
        self.advancing = true;
        self.isolated = isolation.machine();
        for index in 0..self.machines.len() {
            if isolation != Isolation::Frozen(index) {
                self.handle_input(index, Input::Tick);
            }
        }
        self.advancing = false;
        self.isolated = None;
    }

    /// Delivers all messages, link by link in the order sent, and completes all writes until none is left.
    /// Messages from or to a frozen machine stay in flight; those from or to a machine cut off are lost.
    pub(crate) fn settle(&mut self, isolation: Isolation) {
        if let Isolation::Cut(index) = isolation {
            self.frames.retain(|(from, to), _| machine_index(*from) != index && machine_index(*to) != index);
        }
        for _ in 0..MAX_DELIVERIES {
            if !self.finish_next(isolation) {
                return;
            }
        }
    }

    /// Completes one write or delivers one message; returns whether there was any.
    pub(crate) fn finish_next(&mut self, isolation: Isolation) -> bool {
        let has_pending_write =
            |index: &usize| !self.machines[*index].pending.is_empty() && isolation != Isolation::Frozen(*index);
        if let Some(index) = (0..self.machines.len()).find(has_pending_write) {
            self.complete_write(index);
            return true;
        }
        let Some((from, to)) = self.next_link(isolation.machine()) else { return false };
        let Some(messages) = self.frames.get_mut(&(from, to)) else { return false };
        let message = messages.remove(0);
        self.deliver(from, to, message);
        true
    }

    fn next_link(&self, isolated: Option<usize>) -> Option<(NodeId, NodeId)> {
        let is_reachable = |id: NodeId| Some(machine_index(id)) != isolated;
        let mut waiting = self.frames.iter().filter(|(_, messages)| !messages.is_empty());
        waiting.find(|((from, to), _)| is_reachable(*from) && is_reachable(*to)).map(|(link, _)| *link)
    }
}
