//! Counters of an owner over all its functions since it started, for its status page and metrics.

use crate::keyed_operations::KeyedOperations;
use crate::queue_wait::BlockedTime;
use crate::refusals::RefusalCounts;
use serde_json::{Map, Value, json};

/// Counters that only grow, also when a function moves to another owner.
#[derive(Clone, Debug, Default)]
pub struct OwnerCounters {
    /// Requests answered as not run, regardless of who decided so.
    pub refusals: u64,
    /// Requests that this owner itself refused.
    pub refused: RefusalCounts,
    /// Time that queues were blocked, summed over functions.
    pub blocked: BlockedTime,
    /// Requests with a run-once key.
    pub keyed: KeyedCounters,
}

/// Requests with a run-once key, counted by outcome.
#[derive(Clone, Debug, Default)]
pub struct KeyedCounters {
    /// Claims that the registries granted.
    pub granted: u64,
    /// Claims released because their request was sent to no instance.
    pub released: u64,
    /// Repeats answered from this owner's memory.
    pub answered_from_memory: u64,
    /// Repeats answered with what the registries had recorded.
    pub answered_by_registries: u64,
    /// Repeats that waited for an operation running here.
    pub waited: u64,
    /// Repeats refused because the operation of their key is still running.
    pub refused_as_running: u64,
    /// Repeats of an operation whose owner was lost before it recorded an answer.
    pub unknown: u64,
}

impl KeyedCounters {
    /// Returns the counters and the number of operations and answers held now, by name.
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
    /// Returns the refusals by reason, each split into `own` and `continued` requests.
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
    /// Returns the blocked milliseconds by cause.
    pub fn to_json(&self) -> Value {
        let entries = self.by_cause().map(|(cause, time)| (cause.label().to_owned(), time.as_millis() as u64));
        entries.map(|(label, ms)| (label, Value::from(ms))).collect::<Map<_, _>>().into()
    }
}
