//! Limits on how long a front holds a request that it cannot forward yet.

use crate::front::Front;
use crate::front_types::Call;
use std::time::Duration;

/// Minimum wait for forwarding. A request with a latency aim waits for a quarter of the aim, but at least this long.
const MIN_FORWARD_WAIT: Duration = Duration::from_millis(120);

/// Times until which a request may wait at the front before its caller is told to try again later.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitLimits {
    /// Limit for a wait for a lease, a link or an owner.
    pub to_forward: Duration,
    /// Limit for a wait for a credit. It is longer, so that the next granter can answer in time when one is lost.
    pub for_credit: Duration,
}

impl WaitLimits {
    const UNLIMITED: WaitLimits = WaitLimits { to_forward: Duration::MAX, for_credit: Duration::MAX };

    fn of_aim(now: Duration, aim: Duration) -> WaitLimits {
        let to_forward = now + MIN_FORWARD_WAIT.max(aim / 4);
        WaitLimits { to_forward, for_credit: to_forward.max(now + aim * 3 / 5) }
    }
}

impl Front {
    /// Returns how long a call may wait. A nested call of a running request has no limit: its caller would not try
    /// again, and the work already done for the parent request would be lost.
    pub(crate) fn wait_limits(&self, call: &Call) -> WaitLimits {
        let binding =
            self.routes.as_ref().and_then(|routes| routes.find_route(&call.host, &call.path)).map(|found| found.1);
        let is_continued =
            |limit_ms: u32| call.deadline.is_some_and(|left| left < Duration::from_millis(limit_ms.into()) * 7 / 8);
        let aim = binding.filter(|binding| !is_continued(binding.deadline_ms)).and_then(|binding| binding.aim_ms);
        aim.map_or(WaitLimits::UNLIMITED, |aim| WaitLimits::of_aim(self.now, Duration::from_millis(aim.into())))
    }
}
