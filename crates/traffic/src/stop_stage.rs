//! Stages of a planned stop, and the control thread's decision when each begins.

use std::time::{Duration, Instant};

/// Minimum time that a leaving router still accepts callers.
const MIN_LEAVE_TIME: Duration = Duration::from_millis(700);
/// Longest time before the end of the grace period at which open requests are given up. It is enough to record their
/// outcomes in the registries and to answer their callers.
const MAX_GIVE_UP_LEAD: Duration = Duration::from_millis(700);
/// The part of the grace period that the lead takes if the grace period is short, as a divisor.
const GIVE_UP_LEAD_DIVISOR: u32 = 4;

/// Stage of a planned stop. Stages follow each other in this order and are never left backwards.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopStage {
    /// No stop is requested.
    Serving,
    /// The router has announced that it leaves, and still accepts callers.
    Leaving,
    /// The listener for callers is closed; requests in progress are finished.
    Draining,
    /// Requests that are still in progress are given up.
    GivingUp,
}

/// A planned stop in progress, as the control thread directs it.
#[derive(Debug)]
pub struct PlannedStop {
    requested_at: Instant,
    grace: Duration,
    stage: StopStage,
}

impl PlannedStop {
    /// Begins a planned stop.
    pub fn new(now: Instant, grace: Duration) -> PlannedStop {
        PlannedStop { requested_at: now, grace, stage: StopStage::Leaving }
    }

    /// Returns the time by which the process must have ended.
    pub fn deadline(&self) -> Instant {
        self.requested_at + self.grace
    }

    /// Returns the stage at this time. `is_handed_over` tells whether the membership shows this router as leaving.
    pub fn advance(&mut self, now: Instant, is_handed_over: bool) -> StopStage {
        let elapsed = now.saturating_duration_since(self.requested_at);
        let lead = MAX_GIVE_UP_LEAD.min(self.grace / GIVE_UP_LEAD_DIVISOR);
        let may_drain = elapsed > MIN_LEAVE_TIME && (is_handed_over || elapsed > self.grace / 2);
        let reached = match () {
            () if elapsed + lead >= self.grace => StopStage::GivingUp,
            () if may_drain => StopStage::Draining,
            () => StopStage::Leaving,
        };
        self.stage = self.stage.max(reached);
        self.stage
    }
}

#[cfg(test)]
#[path = "stop_stage_tests.rs"]
mod tests;
