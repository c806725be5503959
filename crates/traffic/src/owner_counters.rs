//! What an owner counts over all its functions since it started, for its status and metrics.

use crate::queue_wait::BlockedTime;
use crate::refusals::RefusalCounts;
use serde_json::{Map, Value};

/// Counts that only grow, also where a function moves to another owner.
#[derive(Clone, Debug, Default)]
pub struct OwnerCounters {
    /// Requests answered as not run, whoever decided it.
    pub refusals: u64,
    /// Those that this owner refused by itself.
    pub refused: RefusalCounts,
    /// Time that queues were blocked, summed over functions.
    pub blocked: BlockedTime,
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
