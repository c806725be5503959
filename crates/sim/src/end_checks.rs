//! Checks at the end of a run, and its summary.

use crate::sorts::Sort;
use crate::world::World;
use std::time::Duration;

const MAX_UNSERVED: u64 = 5;
const MAX_STALL: Duration = Duration::from_secs(15);

impl World {
    /// Runs the checks of a finished run.
    pub fn check_end(&mut self) {
        let now = self.now;
        self.check_read_back();
        self.check_orders();
        self.check_deferred();
        self.rules.check_fair_service(now);
        let [flooders, others] = self.callers.unserved;
        let unserved = match self.plan.sort {
            Sort::Planned | Sort::Wake | Sort::Calm => flooders + others,
            Sort::Flood => others,
            _ => 0,
        };
        if unserved > MAX_UNSERVED {
            self.rules.report_violation(
                now,
                format!("{unserved} tasks refused or with unknown outcome though no fault should have affected them"),
            );
        }
        let from = self.plan.fault_phases[0].0.saturating_sub(Duration::from_secs(5));
        self.judged_seconds = self.rules.check_recovery(from, self.plan.final_fault);
    }

    /// Checks that accepted tasks that haven't run are still in the store and that tasks keep being run. After the
    /// loss of all in-memory state of the backlog it is worked off no faster than the limit on retries allows.
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
        let message = match (lost.first(), waiting.len()) {
            (Some(first), _) => format!("{} accepted tasks are missing from the store, such as {first}", lost.len()),
            (None, count) if count > 0 && now > self.rules.last_first_run + MAX_STALL => {
                format!("{count} accepted tasks make no progress")
            }
            _ => return,
        };
        self.rules.report_violation(now, message);
    }

    /// Returns a line on the state of each node, for the log of a run.
    pub fn node_states(&self) -> Vec<String> {
        let registries = self.registries.iter().enumerate().map(|(n, node)| match &node.core {
            Some(core) => format!("registry {n}: {}", core.status()),
            None => format!("registry {n}: down"),
        });
        let routers = self.routers.iter().enumerate().map(|(n, node)| match &node.process {
            Some(process) => format!(
                "router {n}: step {} staged {} membership {} tail {:x?}, front {}, owner {:?}",
                process.follower.active_epoch(),
                process.follower.staged_epoch(),
                process.follower.membership().number,
                process.follower.tail(),
                process.front.request_count(),
                process.owner.depths(),
            ),
            None => format!("router {n}: down"),
        });
        registries.chain(routers).collect()
    }

    /// Returns the counts of a run.
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
            self.platform.starts,
            self.judged_seconds,
            callers.unserved,
            self.catch_up_counts,
            self.catch_up.judged_checks,
            self.catch_up.longest_wait.as_millis(),
        )
    }
}
