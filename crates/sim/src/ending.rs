//! What is checked once a run has ended, and what is told of it.

use crate::chances::Sort;
use crate::world::World;
use std::time::Duration;

const HANDFUL: u64 = 5;
const STILL: Duration = Duration::from_secs(15);

impl World {
    pub fn check_end(&mut self) {
        let now = self.now;
        self.check_read_back();
        self.check_orders();
        self.check_deferred();
        self.rules.all_served(now);
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

    /// What was accepted and has not run yet waits in the store, and is still being worked off: after a
    /// loss of all that was known of it, no faster than retries may be sent.
    fn check_deferred(&mut self) {
        let now = self.now;
        let waiting = self.rules.accepted_but_never_run();
        let tail = self
            .registries
            .iter()
            .filter_map(|node| node.core.as_ref())
            .max_by_key(|core| core.replica().positions().committed);
        let kept = |key: &str, service: &str| {
            let scope = self.callers.scopes.get(key).cloned().unwrap_or_else(|| format!("{service}/k-{key}"));
            let id = traffic::stored_id(&scope);
            tail.is_some_and(|core| core.state().contains_key(&format!("p/{service}/{id}")))
        };
        let lost: Vec<&String> =
            waiting.iter().filter(|(key, service)| !kept(key, service)).map(|(key, _)| key).collect();
        let told = match (lost.first(), waiting.len()) {
            (Some(first), _) => format!("{} accepted tasks vanished, such as {first}", lost.len()),
            (None, count) if count > 0 && now > self.rules.newly_run + STILL => {
                format!("{count} accepted tasks stand still")
            }
            _ => return,
        };
        self.rules.tell(now, told);
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
                machines.follower.active_epoch(),
                machines.follower.staged_epoch(),
                machines.follower.membership().number,
                machines.follower.tail(),
                machines.front.request_count(),
                machines.owner.depths(),
            ),
            None => format!("router {n}: down"),
        });
        registries.chain(routers).collect()
    }

    pub fn summary(&self) -> String {
        let callers = &self.callers;
        format!(
            "steps {} runs {} answered {} refused {} unknown {} lost {} acked {} refused changes {} unknown changes {} starts {} judged seconds {} short {:?} back by entries, by copies {:?} caught up: judged {} longest {} ms",
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
            self.brought_back,
            self.catch_up.judged,
            self.catch_up.longest.as_millis(),
        )
    }
}
