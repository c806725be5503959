//! Time as an explicit choice: clocks advance in steps of half the suspicion time, in which heartbeats
//! arrive at once, while at most one machine is frozen or cut off.

use crate::world::{World, machine_of};
use chain::Input;
use std::time::Duration;
use wire::NodeId;

/// Half the time after which a silent member is suspected: a longer step would look like a freeze.
const STEP: Duration = Duration::from_millis(450);
const STEPS: usize = 3;
/// How long a machine that is told to stop may wait.
pub const GRACE: Duration = Duration::from_secs(4);
/// More deliveries than any exchange without a loop needs.
const MOST_DELIVERIES: usize = 20_000;

/// Who is not heard while time passes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Silence {
    None,
    /// Its process does not run.
    Frozen(usize),
    /// Its process runs, and nothing reaches it or leaves it.
    Cut(usize),
}

impl Silence {
    fn machine(self) -> Option<usize> {
        match self {
            Silence::None => None,
            Silence::Frozen(index) | Silence::Cut(index) => Some(index),
        }
    }
}

impl World {
    pub(crate) fn pass(&mut self, silence: Silence, settle: bool) {
        self.budget.passes -= 1;
        if let Some(index) = silence.machine() {
            self.budget.silences -= 1;
            self.machines[index].troubled = true;
        }
        if !settle {
            let stalled: Vec<usize> = self.stalled().collect();
            stalled.into_iter().for_each(|index| self.machines[index].troubled = true);
        }
        for _ in 0..STEPS {
            self.advance(silence);
            if settle {
                self.settle(silence);
            }
        }
        if settle && silence == Silence::None {
            self.note_recovered();
        }
    }

    /// One step of the clocks, with a tick of every process that runs.
    pub(crate) fn advance(&mut self, silence: Silence) {
        self.now += STEP;
        self.passing = true;
        self.silent = silence.machine();
        for index in 0..self.machines.len() {
            if silence != Silence::Frozen(index) {
                self.feed(index, Input::Tick);
            }
        }
        self.passing = false;
        self.silent = None;
    }

    /// Delivers all that is under way, link by link in the order sent, until nothing is left. What
    /// concerns a silent machine stays under way if it is frozen, and is lost if it is cut off.
    pub(crate) fn settle(&mut self, silence: Silence) {
        if let Silence::Cut(index) = silence {
            self.frames.retain(|(from, to), _| machine_of(*from) != index && machine_of(*to) != index);
        }
        for _ in 0..MOST_DELIVERIES {
            if !self.finish_next(silence) {
                return;
            }
        }
    }

    /// Lands one write or delivers one message, and says whether there was any.
    pub(crate) fn finish_next(&mut self, silence: Silence) -> bool {
        let writes = |index: &usize| !self.machines[*index].pending.is_empty() && silence != Silence::Frozen(*index);
        if let Some(index) = (0..self.machines.len()).find(writes) {
            self.land(index);
            return true;
        }
        let Some((from, to)) = self.next_link(silence.machine()) else { return false };
        let Some(messages) = self.frames.get_mut(&(from, to)) else { return false };
        let message = messages.remove(0);
        self.deliver(from, to, message);
        true
    }

    fn next_link(&self, silent: Option<usize>) -> Option<(NodeId, NodeId)> {
        let reaches = |id: NodeId| Some(machine_of(id)) != silent;
        let mut waiting = self.frames.iter().filter(|(_, messages)| !messages.is_empty());
        waiting.find(|((from, to), _)| reaches(*from) && reaches(*to)).map(|(link, _)| *link)
    }
}
