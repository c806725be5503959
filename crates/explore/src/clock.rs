//! Time as an explicit choice: clocks advance in steps of half the suspicion time, in which heartbeats
//! arrive at once, while at most one machine is frozen or cut off.

use crate::world::{World, machine_index};
use chain::Input;
use std::time::Duration;
use wire::NodeId;

/// Half the time after which a silent member is suspected: a longer step would look like a freeze.
const STEP_DURATION: Duration = Duration::from_millis(450);
const STEPS_PER_CHOICE: usize = 3;
/// How long a machine that is told to stop may wait.
pub const GRACE: Duration = Duration::from_secs(4);
/// More deliveries than any exchange without a loop needs.
const MAX_DELIVERIES: usize = 20_000;

/// Who is not heard while time passes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Isolation {
    None,
    /// Its process does not run.
    Frozen(usize),
    /// Its process runs, and nothing reaches it or leaves it.
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

    /// One step of the clocks, with a tick of every process that runs.
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

    /// Delivers all that is under way, link by link in the order sent, until nothing is left. What
    /// concerns a silent machine stays under way if it is frozen, and is lost if it is cut off.
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

    /// Lands one write or delivers one message, and says whether there was any.
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
