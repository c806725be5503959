//! Status of a function owner as JSON, for the operations port.

use crate::function_owner::FunctionOwner;
use crate::instance::Phase;
use serde_json::{Value, json};

/// State of a headcount plan at the owner that executes it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlanStatus {
    /// Instance counts of the plan, one for each step.
    pub desired: Vec<u32>,
    /// Instance count of the plan for the current step.
    pub planned: Option<u32>,
    /// Instance count that the owner aims for.
    pub wanted: u32,
    pub ready: u32,
    pub starting: u32,
    pub fence: u64,
}

impl PlanStatus {
    pub fn to_json(&self) -> Value {
        json!({
            "desired": self.desired, "played": self.planned, "wanted": self.wanted, "fence": self.fence,
            "actual": {"ready": self.ready, "starting": self.starting},
        })
    }
}

impl FunctionOwner {
    /// Returns the state of the plans of the functions owned here.
    pub fn plans(&self) -> impl Iterator<Item = (&String, PlanStatus)> {
        let now = self.now;
        self.schedulers.iter().filter(|(_, scheduler)| scheduler.leaving.is_none()).map(move |(name, scheduler)| {
            let status = PlanStatus {
                desired: scheduler.player.plan().to_vec(),
                planned: scheduler.player.planned_count(now),
                wanted: scheduler.desired,
                ready: scheduler.count(Phase::Ready),
                starting: scheduler.count(Phase::Starting),
                fence: scheduler.player.fence(),
            };
            (name, status)
        })
    }

    /// Returns the status of this owner and of its active functions.
    pub fn status(&mut self) -> Value {
        let now = self.now;
        let mut functions = serde_json::Map::new();
        for (name, scheduler) in &mut self.schedulers {
            let (requests, seconds) = scheduler.budget.counts(now);
            if !scheduler.is_awake()
                && (requests, seconds) == (0, 0)
                && scheduler.adopting.is_none()
                && scheduler.leaving.is_none()
            {
                continue;
            }
            functions.insert(
                name.clone(),
                json!({
                    "held": scheduler.queued.len(), "in_flight": scheduler.in_flight,
                    "starting": scheduler.count(Phase::Starting), "ready": scheduler.count(Phase::Ready),
                    "draining": scheduler.count(Phase::Draining),
                    "desired": scheduler.desired, "plan": scheduler.player.plan(), "played": scheduler.player.planned_count(now),
                    "fixed": scheduler.function.fixed, "fallbacks": scheduler.player.fallbacks,
                    "early_asks": scheduler.player.early_requests,
                    "requests_10s": requests, "second_tries_10s": seconds,
                    "turned_away_5s": scheduler.rejection_limit.rejections(now),
                    "free_slots": scheduler.free_slots(now), "unproven": scheduler.rejection_limit.in_flight(),
                    "blocked_ms": scheduler.blocked.to_json(), "refused": scheduler.refused.to_json(),
                    "adopting": scheduler.adopting.is_some(), "leaving": scheduler.leaving.is_some(),
                }),
            );
        }
        let (tasks, running, store_requests) = self.depths();
        json!({
            "tasks": tasks, "running": running, "ledger_asks": store_requests, "refusals": self.counters.refusals,
            "refused": self.counters.refused.to_json(), "blocked_ms": self.counters.blocked.to_json(),
            "core_near": self.registries_reachable, "starts_left": self.starts_left, "functions": functions,
            "keyed": self.counters.keyed.to_json(&self.keyed),
        })
    }
}
