//! Counts of requests that an owner refused before they ran, by reason.

use std::collections::BTreeMap;

/// Why an owner refused a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RefusalReason {
    /// The function's queue is full.
    QueueFull,
    /// There is no memory for the request.
    NoMemory,
    /// The expected wait is longer than is useful to the caller.
    ExpectedWait,
    /// Too little time was left for an answer.
    Expired,
    /// The request's class needs the registries, which cannot be reached.
    CoreUnreachable,
    /// The run-once or deferred store is full.
    StoreFull,
    /// An instance rejected the request, or its function moved to another owner that may not try it again.
    NoFurtherAttempt,
}

impl RefusalReason {
    /// Returns the value of the metric label `reason`.
    pub fn label(self) -> &'static str {
        match self {
            RefusalReason::QueueFull => "queue_full",
            RefusalReason::NoMemory => "no_memory",
            RefusalReason::ExpectedWait => "expected_wait",
            RefusalReason::Expired => "expired",
            RefusalReason::CoreUnreachable => "core_unreachable",
            RefusalReason::StoreFull => "store_full",
            RefusalReason::NoFurtherAttempt => "no_further_attempt",
        }
    }
}

/// Kind of a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Refusal {
    /// Reason of the refusal.
    pub reason: RefusalReason,
    /// Whether part of the route's time was used when the request came: a nested call or a caller's retry.
    pub is_continued: bool,
}

/// Refusals by kind.
#[derive(Clone, Debug, Default)]
pub struct RefusalCounts {
    counts: BTreeMap<Refusal, u64>,
}

impl RefusalCounts {
    /// Counts one refusal.
    pub fn add(&mut self, refusal: Refusal) {
        *self.counts.entry(refusal).or_default() += 1;
    }

    /// Returns each kind that occurred, with its count.
    pub fn by_kind(&self) -> impl Iterator<Item = (Refusal, u64)> + '_ {
        self.counts.iter().map(|(refusal, count)| (*refusal, *count))
    }
}
