//! Requests that an owner refused before they ran, counted by reason.

use std::collections::BTreeMap;

/// Why an owner refused a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RefusalReason {
    /// The function's queue is full.
    QueueFull,
    /// It would wait longer than it is worth waiting.
    ExpectedWait,
    /// Too little of its time was left for an answer.
    Expired,
    /// Its class needs the registries, which are not reached.
    CoreUnreachable,
    /// The run-once or deferred store takes no more.
    StoreFull,
    /// An instance rejected it, or its function moved to another owner that may not try it again.
    NoFurtherAttempt,
}

impl RefusalReason {
    /// The value of the metric's label `reason`.
    pub fn label(self) -> &'static str {
        match self {
            RefusalReason::QueueFull => "queue_full",
            RefusalReason::ExpectedWait => "expected_wait",
            RefusalReason::Expired => "expired",
            RefusalReason::CoreUnreachable => "core_unreachable",
            RefusalReason::StoreFull => "store_full",
            RefusalReason::NoFurtherAttempt => "no_further_attempt",
        }
    }
}

/// One kind of refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// Whether the request came with part of its route's time used: a nested call or a caller's further try.
    pub is_continued: bool,
}

/// Refusals by kind.
#[derive(Clone, Debug, Default)]
pub struct RefusalCounts {
    counts: BTreeMap<Refusal, u64>,
}

impl RefusalCounts {
    /// Counts one.
    pub fn add(&mut self, refusal: Refusal) {
        *self.counts.entry(refusal).or_default() += 1;
    }

    /// Each kind that was met, with its count.
    pub fn by_kind(&self) -> impl Iterator<Item = (Refusal, u64)> + '_ {
        self.counts.iter().map(|(refusal, count)| (*refusal, *count))
    }
}
