//! When the tail last did what it does of its own accord, and for how long its members have been the same.

use std::time::Duration;
use wire::NodeId;

/// The tail's duties are looked after this often.
const DUTIES_INTERVAL: Duration = Duration::from_millis(50);

/// The members, and since when they have been these.
#[derive(Default)]
struct StableMembers {
    members: Vec<NodeId>,
    since: Duration,
}

/// Timers of the duties.
#[derive(Default)]
pub struct DutyTimers {
    ticked_at: Duration,
    checked_at: Duration,
    stable: StableMembers,
}

impl DutyTimers {
    /// Whether the duties are due; if so, they are taken to be done.
    pub fn take_due(&mut self, now: Duration) -> bool {
        let is_due = now >= self.checked_at + DUTIES_INTERVAL;
        if is_due {
            self.checked_at = now;
        }
        is_due
    }

    /// Whether a tick of the chain's clock is due; if so, it is taken to be done.
    pub fn take_tick(&mut self, now: Duration, interval: Duration) -> bool {
        let is_due = now >= self.ticked_at + interval;
        if is_due {
            self.ticked_at = now;
        }
        is_due
    }

    /// Since when the members have been these; none if they have just changed.
    pub fn members_since(&mut self, members: &[NodeId], now: Duration) -> Option<Duration> {
        if self.stable.members != members {
            self.stable = StableMembers { members: members.to_vec(), since: now };
            return None;
        }
        Some(self.stable.since)
    }
}
