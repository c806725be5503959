//! What keeps the queued requests of a function from being sent, and for how long. A queue beside free slots is
//! the owner's own doing, so it is told apart from one that waits for slots.

use std::collections::BTreeMap;
use std::time::Duration;

/// For so long a limit of the owner may hold requests beside free slots before it is logged.
const WORTH_A_WARNING: Duration = Duration::from_secs(1);

/// Why no queued request of a function may be sent now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum QueueBlock {
    /// No instance has a free slot.
    NoFreeSlot,
    /// There are free slots, but too many requests on the way might yet be rejected.
    RejectionRisk,
    /// There are free slots, but all that is queued waits before it is tried again, or for another instance.
    RetryDelay,
}

impl QueueBlock {
    /// The value of the metric's label `cause`.
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
    /// Adds to one cause.
    pub fn add(&mut self, cause: QueueBlock, time: Duration) {
        *self.by_cause.entry(cause).or_default() += time;
    }

    /// Each cause that was met, with its time.
    pub fn by_cause(&self) -> impl Iterator<Item = (QueueBlock, Duration)> + '_ {
        self.by_cause.iter().map(|(cause, time)| (*cause, *time))
    }
}

/// How long one cause has blocked a queue without a pause.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Blocked {
    /// What blocks it.
    pub cause: QueueBlock,
    /// How long this time was since it was last observed.
    pub time: Duration,
}

/// The queue of one function, as it is observed after each pass.
#[derive(Clone, Debug, Default)]
pub struct QueueWait {
    cause: Option<QueueBlock>,
    observed_at: Duration,
    blocked_since: Duration,
    is_warned: bool,
}

impl QueueWait {
    /// Takes what blocks the queue now, if it is not empty; returns what blocked it since the last call.
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

    /// Whether the queue was blocked when it was last observed.
    pub fn is_blocked(&self) -> bool {
        self.cause.is_some()
    }

    /// Whether the owner's limit has held the queue for so long that an operator should know; true once each time.
    pub fn should_warn(&mut self, now: Duration) -> bool {
        let is_held = self.cause == Some(QueueBlock::RejectionRisk);
        let is_due = is_held && !self.is_warned && now >= self.blocked_since + WORTH_A_WARNING;
        self.is_warned |= is_due;
        is_due
    }
}

#[cfg(test)]
#[path = "queue_wait_tests.rs"]
mod tests;
