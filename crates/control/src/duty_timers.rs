//! Timers of the tail's duties, and the time since which the members have been the same.

use std::time::Duration;
use wire::NodeId;

/// Minimum time between two checks of the tail's duties.
const DUTIES_INTERVAL: Duration = Duration::from_millis(50);

/// The members, and the time since which they have not changed.
#[derive(Default)]
struct StableMembers {
    members: Vec<NodeId>,
    since: Duration,
}

/// Timers of the tail's duties.
#[derive(Default)]
pub struct DutyTimers {
    ticked_at: Duration,
    checked_at: Duration,
    stable: StableMembers,
}

impl DutyTimers {
    /// Whether a check of the duties is due; if so, records it as done.
    pub fn take_due(&mut self, now: Duration) -> bool {
        let is_due = now >= self.checked_at + DUTIES_INTERVAL;
        if is_due {
            self.checked_at = now;
        }
        is_due
    }

    /// Whether a tick of the chain's clock is due; if so, records it as done.
    pub fn take_tick(&mut self, now: Duration, interval: Duration) -> bool {
        let is_due = now >= self.ticked_at + interval;
        if is_due {
            self.ticked_at = now;
        }
        is_due
    }

    /// Returns the time since which the members have not changed, or none if they have just changed.
    pub fn members_since(&mut self, members: &[NodeId], now: Duration) -> Option<Duration> {
        if self.stable.members != members {
            self.stable = StableMembers { members: members.to_vec(), since: now };
            return None;
        }
        Some(self.stable.since)
    }
}
