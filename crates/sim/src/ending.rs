//! What is checked once a run has ended, and what is told of it.

use crate::chances::Sort;
use crate::world::World;
use std::time::Duration;

const HANDFUL: u64 = 5;

impl World {
    pub fn check_end(&mut self) {
        let now = self.now;
        self.check_read_back();
        let lost = self.rules.accepted_but_never_run();
        if !lost.is_empty() {
            let (count, some) = (lost.len(), &lost[..lost.len().min(5)]);
            self.rules.tell(now, format!("{count} accepted but never run, such as {some:?}"));
        }
        let [flooders, others] = self.callers.short_of;
        let short = match self.plan.sort {
            Sort::Planned | Sort::Wake | Sort::Calm => flooders + others,
            Sort::Flood => others,
            _ => 0,
        };
        if short > HANDFUL {
            self.rules.tell(now, format!("{short} tasks refused or unknown though nothing was to keep them"));
        }
        let from = self.plan.bouts[0].0.saturating_sub(Duration::from_secs(5));
        self.judged = self.rules.recovered(from, self.plan.final_fault);
    }

    /// Where each node stands, for the story of a run that ended badly.
    pub fn standings(&self) -> Vec<String> {
        let registries = self.registries.iter().enumerate().map(|(n, node)| match &node.core {
            Some(core) => format!("registry {n}: {}", core.status()),
            None => format!("registry {n}: down"),
        });
        let routers = self.routers.iter().enumerate().map(|(n, node)| match &node.machines {
            Some(machines) => format!(
                "router {n}: step {} staged {} roster {} tail {:x?}, front {}, home {:?}",
                machines.follower.step_number(),
                machines.follower.staged_number(),
                machines.follower.roster().number,
                machines.follower.tail(),
                machines.front.depth(),
                machines.home.depths(),
            ),
            None => format!("router {n}: down"),
        });
        registries.chain(routers).collect()
    }

    pub fn summary(&self) -> String {
        let callers = &self.callers;
        format!(
            "steps {} runs {} answered {} refused {} unknown {} lost {} acked {} refused changes {} unknown changes {} starts {} judged seconds {} short {:?}",
            self.steps,
            self.rules.run_count,
            callers.answered,
            callers.refused,
            callers.unknown,
            callers.lost,
            self.operators.acked.len(),
            self.operators.refused.len(),
            self.operators.unknown.len(),
            self.yard.starts,
            self.judged,
            callers.short_of,
        )
    }
}
