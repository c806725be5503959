//! Why the queued requests of a function are not sent, and for how long. A queue that exists despite free slots is
//! caused by the owner's own limits, so it is distinguished from one that waits for slots.

use std::collections::BTreeMap;
use std::time::Duration;

/// How long a limit of the owner may hold requests back despite free slots before a warning is logged.
const WARNING_DELAY: Duration = Duration::from_secs(1);

/// Why no queued request of a function may be sent now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum QueueBlock {
    /// No instance has a free slot.
    NoFreeSlot,
    /// There are free slots, but too many requests already sent might still be rejected.
    RejectionRisk,
    /// There are free slots, but every queued request waits for its retry delay or for another instance.
    RetryDelay,
}

impl QueueBlock {
    /// Returns the value of the metric label `cause`.
    pub fn label(self) -> &'static str {
        match self {
            QueueBlock::NoFreeSlot => "no_free_slot",
            QueueBlock::RejectionRisk => "rejection_risk",
            QueueBlock::RetryDelay => "retry_delay",
        }
    }
}

/// Time that queues were blocked, by cause.
#[derive(Clone, Debug, Default)]
pub struct BlockedTime {
    by_cause: BTreeMap<QueueBlock, Duration>,
}

impl BlockedTime {
    /// Adds time to a cause.
    pub fn add(&mut self, cause: QueueBlock, time: Duration) {
        *self.by_cause.entry(cause).or_default() += time;
    }

    /// Returns each cause that occurred, with its total time.
    pub fn by_cause(&self) -> impl Iterator<Item = (QueueBlock, Duration)> + '_ {
        self.by_cause.iter().map(|(cause, time)| (*cause, *time))
    }
}

/// Time for which one cause blocked a queue between two observations.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Blocked {
    /// Cause of the block.
    pub cause: QueueBlock,
    /// Time since the previous observation.
    pub time: Duration,
}

/// State of one function's queue, observed after each pass.
#[derive(Clone, Debug, Default)]
pub struct QueueWait {
    cause: Option<QueueBlock>,
    observed_at: Duration,
    blocked_since: Duration,
    is_warned: bool,
}

impl QueueWait {
    /// Records what blocks the queue now, `None` if it is empty. Returns what blocked it since the last call.
    pub fn observe(&mut self, now: Duration, cause: Option<QueueBlock>) -> Option<Blocked> {
        let before = self.cause.map(|cause| Blocked { cause, time: now.saturating_sub(self.observed_at) });
        if cause != self.cause {
            self.blocked_since = now;
            self.is_warned = false;
        }
        self.cause = cause;
        self.observed_at = now;
        before
    }

    /// Returns whether the queue was blocked at the last observation.
    pub fn is_blocked(&self) -> bool {
        self.cause.is_some()
    }

    /// Returns whether the owner's limit has held the queue long enough to warn an operator; true once per blocked
    /// period.
    pub fn should_warn(&mut self, now: Duration) -> bool {
        let is_held = self.cause == Some(QueueBlock::RejectionRisk);
        let is_due = is_held && !self.is_warned && now >= self.blocked_since + WARNING_DELAY;
        self.is_warned |= is_due;
        is_due
    }
}

#[cfg(test)]
#[path = "queue_wait_tests.rs"]
mod tests;
