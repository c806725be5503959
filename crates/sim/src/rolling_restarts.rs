//! Rolling restarts of all routers, each stopped while it has a request open, and zones whose workers are drained
//! soon after a registry in the zone is back.

use crate::follow_ups::FollowUp;
use crate::world::World;
use std::time::Duration;

const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// How long the stop of a router waits for an open request.
const MAX_WAIT_FOR_REQUEST: Duration = Duration::from_secs(2);
const WORKER_ZONES: usize = 3;

impl World {
    /// Restarts all routers one after another. Returns the maximum duration.
    pub(crate) fn roll_routers(&mut self, at_a_time: usize) -> Duration {
        self.roll_next(0, at_a_time, Duration::ZERO);
        let rounds = self.routers.len().div_ceil(at_a_time) as u32;
        Duration::from_secs(12) * rounds
    }

    pub(crate) fn roll_next(&mut self, next: usize, at_a_time: usize, waited: Duration) {
        if next >= self.routers.len() {
            return;
        }
        let leaving = self.routers.iter().filter(|node| node.leaving_since.is_some()).count();
        let up = self.routers.iter().filter(|node| node.is_running() && node.leaving_since.is_none()).count();
        let process = self.routers[next].process.as_ref();
        let busy = process.is_some_and(|process| process.front.request_count() > 0);
        if leaving >= at_a_time || up < 2 || (!busy && waited < MAX_WAIT_FOR_REQUEST) {
            let waited = waited + POLL_INTERVAL;
            return self.follow_up(POLL_INTERVAL, FollowUp::Roll { next, at_a_time, waited });
        }
        if process.is_some() && self.routers[next].leaving_since.is_none() {
            self.log(|| format!("router {next} is asked to leave, busy: {busy}"));
            self.rules.add_fault_span(self.now, self.now + Duration::from_secs(12));
            self.routers[next].leaving_since = Some(self.now);
            self.feed_follower(next, leases::FollowerInput::Leave);
        }
        self.follow_up(POLL_INTERVAL, FollowUp::Roll { next: next + 1, at_a_time, waited: Duration::ZERO });
    }

    pub(crate) fn drain_zone_at_return(&mut self, outage: Duration) {
        let registry = self.pick_registry();
        let millis = outage.as_millis() as u64;
        self.kill_registry_for(registry, millis, millis + 1);
        let wait = outage + self.random_ms(5, 1000);
        self.follow_up(wait, FollowUp::Drain { zone: registry % WORKER_ZONES });
    }

    pub(crate) fn drain_zone(&mut self, zone: usize) {
        self.log(|| format!("the workers of zone {zone} are drained"));
        let there = self.platform.instances.values_mut().filter(|instance| instance.worker % WORKER_ZONES == zone);
        there.for_each(|instance| instance.leaving = true);
    }
}
