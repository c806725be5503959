//! The front's passes: tasks whose home was lost, tasks that may be tried now, tasks out of time.

use crate::front::Front;
use crate::front_types::{Reply, Stage};
use wire::{NodeId, Outcome};

impl Front {
    /// The home was lost with tasks on it: what they came to is in doubt, and they are tried on
    /// with the next home, which knows from the ledger or the budget whether it may run them.
    pub(crate) fn doubt_home(&mut self, lost: impl Fn(NodeId) -> bool) {
        for record in self.table.values_mut() {
            if let Stage::Carried { home } = record.stage
                && home != self.me
                && lost(home)
            {
                record.stage = Stage::Waiting;
                record.again_at = self.now;
                record.tries = record.tries.saturating_add(1);
                record.doubt = true;
            }
        }
    }

    pub(crate) fn pass(&mut self) {
        let now = self.now;
        let tasks: Vec<u64> = self.table.keys().copied().collect();
        for task in tasks {
            let Some(record) = self.table.get(&task) else { continue };
            match record.stage {
                Stage::Waiting if now + self.limits.margin >= record.due => {
                    let reply = if record.doubt {
                        Reply::own(504, Some(Outcome::Unknown), "the outcome is not known")
                    } else {
                        Reply::own(503, Some(Outcome::NotRun), "not run in time").again(self.spread(task, 1))
                    };
                    self.answer(task, reply);
                }
                Stage::Waiting if now >= record.again_at => self.attempt(task),
                Stage::Carried { .. } if now >= record.due + self.limits.slack => {
                    self.answer(task, Reply::own(504, Some(Outcome::Unknown), "the outcome is not known"));
                }
                _ => {}
            }
        }
    }
}
