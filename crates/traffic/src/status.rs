//! A router's view of the system as JSON and as metrics, for its operations port.

use crate::function_owner::FunctionOwner;
use crate::instance::Phase;
use serde_json::{Value, json};

/// A headcount plan as its owner plays it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Played {
    pub desired: Vec<u32>,
    pub played: Option<u32>,
    pub wanted: u32,
    pub ready: u32,
    pub starting: u32,
    pub fence: u64,
}

impl Played {
    pub fn to_json(&self) -> Value {
        json!({
            "desired": self.desired, "played": self.played, "wanted": self.wanted, "fence": self.fence,
            "actual": {"ready": self.ready, "starting": self.starting},
        })
    }
}

impl FunctionOwner {
    /// The plans of the functions homed here.
    pub fn plans(&self) -> impl Iterator<Item = (&String, Played)> {
        let now = self.now;
        self.schedulers.iter().filter(|(_, scheduler)| scheduler.leaving.is_none()).map(move |(name, scheduler)| {
            let played = Played {
                desired: scheduler.player.plan().to_vec(),
                played: scheduler.player.planned_count(now),
                wanted: scheduler.desired,
                ready: scheduler.count(Phase::Ready),
                starting: scheduler.count(Phase::Starting),
                fence: scheduler.player.fence(),
            };
            (name, played)
        })
    }

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
