//! What an owner counts over all its functions since it started, for its status and metrics.

use crate::keyed_operations::KeyedOperations;
use crate::queue_wait::BlockedTime;
use crate::refusals::RefusalCounts;
use serde_json::{Map, Value, json};

/// Counts that only grow, also where a function moves to another owner.
#[derive(Clone, Debug, Default)]
pub struct OwnerCounters {
    /// Requests answered as not run, whoever decided it.
    pub refusals: u64,
    /// Those that this owner refused by itself.
    pub refused: RefusalCounts,
    /// Time that queues were blocked, summed over functions.
    pub blocked: BlockedTime,
    /// Operations under a key.
    pub keyed: KeyedCounters,
}

/// Requests with a run-once key, counted by what became of them.
#[derive(Clone, Debug, Default)]
pub struct KeyedCounters {
    /// Claims that the registries granted.
    pub granted: u64,
    /// Claims given back, since their request was sent nowhere.
    pub released: u64,
    /// Repeats answered from this owner's memory.
    pub answered_from_memory: u64,
    /// Repeats answered with what the registries had recorded.
    pub answered_by_registries: u64,
    /// Repeats that waited for an operation under way here.
    pub waited: u64,
    /// Repeats told that their key is in work.
    pub refused_as_running: u64,
    /// Repeats of an operation whose owner was lost before it recorded an answer.
    pub unknown: u64,
}

impl KeyedCounters {
    /// Counts by name, with what is kept now.
    pub fn to_json(&self, operations: &KeyedOperations) -> Value {
        json!({
            "running": operations.running(), "answers": operations.answers(),
            "answer_bytes": operations.answer_bytes(), "granted": self.granted, "released": self.released,
            "from_memory": self.answered_from_memory, "from_registries": self.answered_by_registries,
            "waited": self.waited, "refused_as_running": self.refused_as_running, "unknown": self.unknown,
        })
    }
}

impl RefusalCounts {
    /// `own` and `continued` requests by reason.
    pub fn to_json(&self) -> Value {
        let mut page = Map::new();
        for (refusal, count) in self.by_kind() {
            let kind = if refusal.is_continued { "continued" } else { "own" };
            page.entry(refusal.reason.label()).or_insert_with(|| Map::new().into())[kind] = count.into();
        }
        page.into()
    }
}

impl BlockedTime {
    /// Milliseconds by cause.
    pub fn to_json(&self) -> Value {
        let entries = self.by_cause().map(|(cause, time)| (cause.label().to_owned(), time.as_millis() as u64));
        entries.map(|(label, ms)| (label, Value::from(ms))).collect::<Map<_, _>>().into()
    }
}
