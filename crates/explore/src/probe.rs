//! A look ahead from a state: with every further loss that was declared to be bearable, and no other
//! trouble, the cluster must take changes again and still hold what was committed.

use crate::passing::Silence;
use crate::world::World;

/// Half suspicion times until the cluster must have mended itself: about twenty seconds.
const MENDING_STEPS: usize = 45;
/// Within these many more a change must be committed.
const ENTRY_STEPS: usize = 12;
/// A machine that was told to leave ends after so many, whether it may or not: its grace is over.
const LEAVING_STEPS: usize = 9;

impl World {
    pub fn probe(&mut self) {
        if self.history.violation.is_some() || self.newest_view().is_none() {
            return;
        }
        for lost in self.further_losses() {
            if let Some(told) = self.without(&lost) {
                return self.history.break_rule(|| told);
            }
        }
    }

    fn without(&self, lost: &[usize]) -> Option<String> {
        let mut world = self.clone();
        lost.iter().for_each(|index| world.lose_for_good(*index));
        for step in 0..MENDING_STEPS {
            world.advance(Silence::None);
            world.settle(Silence::None);
            world.end_leaving(step >= LEAVING_STEPS);
        }
        let before = world.history.committed.len();
        for _ in 0..ENTRY_STEPS {
            if let Some(head) = world.head() {
                world.propose(head);
            }
            world.advance(Silence::None);
            world.settle(Silence::None);
        }
        if let Some(told) = world.history.violation {
            return Some(format!("after the loss of machines {lost:?}: {told}"));
        }
        let view = world.newest_view().cloned();
        (world.history.committed.len() == before)
            .then(|| format!("(g) nothing is committed after the loss of machines {lost:?}: {view:?}"))
    }

    fn lose_for_good(&mut self, index: usize) {
        self.wipe(index);
        self.stop(index);
    }

    fn end_leaving(&mut self, is_over: bool) {
        for index in 0..self.machines.len() {
            let is_leaving = self.machines[index].leaving && self.machines[index].member.is_some();
            if is_leaving && (is_over || self.may_stop(index)) {
                self.stop(index);
            }
        }
    }

    fn head(&self) -> Option<usize> {
        let leads = |index: &usize| {
            let member = self.machines[*index].member.as_ref();
            member.is_some_and(|member| member.is_head() && member.view().number == self.newest_number())
        };
        (0..self.machines.len()).find(leads)
    }

    fn newest_number(&self) -> u64 {
        self.newest_view().map_or(0, |view| view.number)
    }
}
