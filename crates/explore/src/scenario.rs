//! Start states of a search: clusters brought without faults to a state worth exploring from.

use crate::budget::Budget;
use crate::clock::Isolation;
use crate::faults::PlantedFault;
use crate::world::World;

/// Clock steps without faults, of half a suspicion timeout each, after which every machine has formed or
/// joined the chain.
const FORMING_STEPS: usize = 60;

/// A start state of a search.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// Three machines with one change committed; one may be lost.
    Three,
    /// Like `Three`, with the disk of one machine just lost: it asks to join with a new node id.
    Wiped,
    /// Like `Wiped`, when the wiped machine has just been added to the chain as a learner.
    Learning,
    /// Like `Three`, with a fourth machine just joined as the successor of the third.
    Replacing,
    /// Six machines of which two may be lost.
    Six,
    /// Eight machines of which two may be lost.
    Eight,
    /// Three machines that start with empty disks.
    Founding,
}

impl Scenario {
    /// Returns the scenario with this name on the command line.
    pub fn from_name(name: &str) -> Option<Scenario> {
        match name {
            "three" => Some(Scenario::Three),
            "wiped" => Some(Scenario::Wiped),
            "learning" => Some(Scenario::Learning),
            "replacing" => Some(Scenario::Replacing),
            "six" => Some(Scenario::Six),
            "eight" => Some(Scenario::Eight),
            "founding" => Some(Scenario::Founding),
            _ => None,
        }
    }

    /// Builds the start state; the fault is planted only once this state is reached.
    pub fn build(self, budget: Budget, planted_fault: PlantedFault) -> World {
        let (losses, count) = match self {
            Scenario::Six => (2, 6),
            Scenario::Eight => (2, 8),
            _ => (1, 3),
        };
        let mut world = World::new(losses, budget, PlantedFault::None);
        for index in 0..count {
            world.add_machine(index < 3);
        }
        if self == Scenario::Founding {
            world.planted_fault = planted_fault;
            return world;
        }
        world.run_without_faults(FORMING_STEPS);
        world.propose(0);
        world.run_without_faults(2);
        match self {
            Scenario::Wiped => world.wipe(2),
            Scenario::Learning => {
                world.wipe(2);
                world.run_until_learner();
            }
            Scenario::Replacing => {
                let successor = world.add_machine(false);
                world.machines[2].successor = Some(successor);
                world.run_without_faults(FORMING_STEPS);
            }
            _ => {}
        }
        world.planted_fault = planted_fault;
        world.check();
        world
    }
}

impl World {
    fn run_without_faults(&mut self, steps: usize) {
        for _ in 0..steps {
            self.advance(Isolation::None);
            self.settle(Isolation::None);
            self.mark_recovered();
        }
    }

    fn run_until_learner(&mut self) {
        let has_learner = |world: &World| world.newest_view().is_some_and(|view| view.learner != 0);
        for _ in 0..FORMING_STEPS {
            self.advance(Isolation::None);
            while !has_learner(self) && self.finish_next(Isolation::None) {}
            if has_learner(self) {
                return;
            }
        }
    }
}
