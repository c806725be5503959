//! A router's view of the system as JSON and as metrics, for its operations port.

use crate::home::Home;
use crate::instance::Phase;
use serde_json::{Value, json};

/// A headcount plan as its home plays it.
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

impl Home {
    /// The plans of the functions homed here.
    pub fn plans(&self) -> impl Iterator<Item = (&String, Played)> {
        let now = self.now;
        self.desks.iter().filter(|(_, desk)| desk.leaving.is_none()).map(move |(name, desk)| {
            let played = Played {
                desired: desk.player.plan().to_vec(),
                played: desk.player.played(now),
                wanted: desk.desired,
                ready: desk.count(Phase::Ready),
                starting: desk.count(Phase::Starting),
                fence: desk.player.fence(),
            };
            (name, played)
        })
    }

    pub fn status(&mut self) -> Value {
        let now = self.now;
        let mut functions = serde_json::Map::new();
        for (name, desk) in &mut self.desks {
            let (requests, seconds) = desk.budget.counts(now);
            if !desk.is_awake() && (requests, seconds) == (0, 0) && desk.adopting.is_none() && desk.leaving.is_none() {
                continue;
            }
            functions.insert(
                name.clone(),
                json!({
                    "held": desk.held.len(), "in_flight": desk.in_flight,
                    "starting": desk.count(Phase::Starting), "ready": desk.count(Phase::Ready),
                    "draining": desk.count(Phase::Draining),
                    "desired": desk.desired, "plan": desk.player.plan(), "played": desk.player.played(now),
                    "fixed": desk.function.fixed, "fallbacks": desk.player.fallbacks,
                    "early_asks": desk.player.early_asks,
                    "requests_10s": requests, "second_tries_10s": seconds,
                    "turned_away_5s": desk.risk.turned(now),
                    "adopting": desk.adopting.is_some(), "leaving": desk.leaving.is_some(),
                }),
            );
        }
        let (tasks, running, asks) = self.depths();
        json!({
            "tasks": tasks, "running": running, "ledger_asks": asks, "refusals": self.refusals,
            "core_near": self.core_near, "starts_left": self.starts_left, "functions": functions,
        })
    }
}
