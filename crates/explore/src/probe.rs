//! Probe from a state: after any further losses within the declared tolerance, and with no other fault, the
//! cluster must commit changes again and still hold everything committed before.

use crate::clock::Isolation;
use crate::world::World;

/// Clock steps, of half a suspicion timeout each, within which the cluster must recover: about 20 s.
const RECOVERY_STEPS: usize = 45;
/// Further clock steps within which a change must be committed.
const COMMIT_STEPS: usize = 12;
/// Clock steps after which a machine that was told to leave is stopped even if its member is not ready,
/// because its grace period is over.
const LEAVING_STEPS: usize = 9;

impl World {
    /// Records a violation if the cluster does not recover from some tolerated set of further losses.
    pub fn probe(&mut self) {
        if self.history.violation.is_some() || self.newest_view().is_none() {
            return;
        }
        for lost in self.possible_further_losses() {
            if let Some(violation) = self.check_without(&lost) {
                return self.history.record_violation(|| violation);
            }
        }
    }

    /// Simulates the loss of these machines and returns a description of the violation, if any.
    fn check_without(&self, lost: &[usize]) -> Option<String> {
        let mut world = self.clone();
        lost.iter().for_each(|index| world.lose_permanently(*index));
        for step in 0..RECOVERY_STEPS {
            world.advance(Isolation::None);
            world.settle(Isolation::None);
            world.stop_leaving_machines(step >= LEAVING_STEPS);
        }
        let before = world.history.committed.len();
        for _ in 0..COMMIT_STEPS {
            if let Some(head) = world.head() {
                world.propose(head);
            }
            world.advance(Isolation::None);
            world.settle(Isolation::None);
        }
        if let Some(violation) = world.history.violation {
            return Some(format!("after the loss of machines {lost:?}: {violation}"));
        }
        let view = world.newest_view().cloned();
        (world.history.committed.len() == before)
            .then(|| format!("(g) no change is committed after the loss of machines {lost:?}: {view:?}"))
    }

    fn lose_permanently(&mut self, index: usize) {
        self.wipe(index);
        self.stop(index);
    }

    fn stop_leaving_machines(&mut self, grace_is_over: bool) {
        for index in 0..self.machines.len() {
            let is_leaving = self.machines[index].leaving && self.machines[index].member.is_some();
            if is_leaving && (grace_is_over || self.may_stop(index)) {
                self.stop(index);
            }
        }
    }

    fn head(&self) -> Option<usize> {
        let is_current_head = |index: &usize| {
            let member = self.machines[*index].member.as_ref();
            member.is_some_and(|member| member.is_head() && member.view().number == self.newest_number())
        };
        (0..self.machines.len()).find(is_current_head)
    }

    fn newest_number(&self) -> u64 {
        self.newest_view().map_or(0, |view| view.number)
    }
}
