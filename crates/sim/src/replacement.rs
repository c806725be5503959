//! Replacement of registries: unplanned, where an empty machine takes the place of one that is lost with its disk;
//! and planned, where the new registry is started first and the old one is then asked to stop.

use crate::follow_ups::FollowUp;
use crate::world::World;
use chain::StoredReplica;
use rand::RngExt;
use std::time::Duration;

/// Grace period in which a stopping registry waits to be out of the chain, the same as in the real program.
pub(crate) const GRACE: Duration = Duration::from_secs(4);
pub(crate) const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of registries that one fault replaces one after another.
const MAX_REPLACEMENTS: usize = 3;

impl World {
    /// Loses a machine with its disk and starts an empty one later, mostly at a new address.
    pub(crate) fn replace_with_empty(&mut self, n: usize, outage: Duration) {
        self.kill_registry(n);
        self.registries[n].disk = StoredReplica::default();
        self.registries[n].is_disk_lost = true;
        if self.rng.random_bool(0.7) {
            self.registries[n].address = self.new_address();
        }
        self.registries[n].seeds = self.addresses_of_others(n);
        self.log(|| format!("registry {n} is lost with its disk"));
        self.schedule_after(outage, crate::world::Event::Repair { repair: crate::faults::Repair::StartRegistry(n) });
    }

    pub(crate) fn new_address(&mut self) -> String {
        self.last_number += 1;
        format!("10.0.9.{}:1", self.last_number)
    }

    /// Returns the seeds that settings written now would list: up to three other registries.
    pub(crate) fn addresses_of_others(&self, n: usize) -> Vec<String> {
        let others = self.live_registries().into_iter().filter(|other| *other != n);
        others.take(3).map(|other| self.registries[other].address.clone()).collect()
    }

    /// Returns the seeds in a router's settings when it starts. If all seeds have been replaced, these are current
    /// addresses: the operator updates the settings within seconds.
    pub(crate) fn seeds_for_routers(&self) -> Vec<String> {
        let is_present = |seed: &String| self.live_registries().iter().any(|n| self.registries[*n].address == *seed);
        if self.seeds.iter().any(is_present) { self.seeds.clone() } else { self.addresses_of_others(usize::MAX) }
    }

    pub(crate) fn replace_unplanned(&mut self, outage: Duration) {
        if self.remaining_disk_losses() == 0 {
            return;
        }
        let target = self.pick_registry();
        self.replace_with_empty(target, outage.min(Duration::from_secs(4)));
    }

    /// Starts a successor for a registry, which is asked to stop some time later.
    pub(crate) fn replace_planned(&mut self) {
        if self.remaining_disk_losses() == 0 || self.replacing.is_some() {
            return;
        }
        let old = self.pick_registry();
        let new = self.registries.len();
        let address = self.new_address();
        let seeds = self.addresses_of_others(new);
        self.push_registry(address);
        self.registries[new].seeds = seeds;
        self.log(|| format!("registry {new} is to replace registry {old}"));
        self.start_registry(new);
        self.replacing = Some((old, new));
        let wait = self.random_ms(300, 6000);
        self.follow_up(wait, FollowUp::Retire { registry: old });
    }

    pub(crate) fn retire(&mut self, registry: usize) {
        let pair = self.replacing;
        let in_pair = |n: &usize| pair.is_some_and(|(old, new)| *n == old || *n == new);
        let others_lost = self.live_registries().iter().filter(|n| !in_pair(n) && !self.is_healthy(**n)).count();
        if others_lost >= self.plan.losses || self.registries[registry].core.is_none() {
            return self.follow_up(Duration::from_millis(100), FollowUp::Retire { registry });
        }
        self.log(|| format!("registry {registry} is asked to stop permanently"));
        self.registries[registry].retired = true;
        self.registries[registry].retired_at = self.now;
        self.feed_registry(registry, control::CoreInput::Leave { within: GRACE });
        let until = self.now + GRACE;
        self.follow_up(POLL_INTERVAL, FollowUp::Retiring { registry, until });
    }

    /// Returns what a stopping registry still waits for.
    fn departure_wait(&self, registry: usize) -> Option<chain::DepartureWait> {
        self.registries[registry].core.as_ref().and_then(|core| core.replica().departure_wait())
    }

    /// Stops a leaving registry once it may stop, and schedules its restart.
    pub(crate) fn await_stop(&mut self, registry: usize, until: Duration) {
        let core = self.registries[registry].core.as_ref();
        if core.is_none_or(|core| core.replica().departure_deadline().is_none()) {
            return; // It has been killed in the meantime.
        }
        if self.departure_wait(registry).is_some() && self.now < until {
            return self.follow_up(POLL_INTERVAL, FollowUp::Stopping { registry, until });
        }
        self.kill_registry(registry);
        let outage = self.random_ms(500, 3000);
        self.schedule_after(
            outage,
            crate::world::Event::Repair { repair: crate::faults::Repair::StartRegistry(registry) },
        );
    }

    pub(crate) fn await_retirement(&mut self, registry: usize, until: Duration) {
        let wait = self.departure_wait(registry);
        if wait.is_some() && self.now < until {
            return self.follow_up(POLL_INTERVAL, FollowUp::Retiring { registry, until });
        }
        self.log(|| format!("registry {registry} stops permanently, pending: {wait:?}"));
        let others = self.live_registries();
        if wait.is_some() && others.iter().all(|n| self.is_healthy(*n)) {
            let patience = GRACE.as_secs();
            self.rules.report_violation(
                self.now,
                format!("registry {registry} could not leave within {patience} s without disturbance"),
            );
        }
        self.kill_registry(registry);
        self.replacing = None;
    }

    pub(crate) fn replace_several(&mut self) -> Duration {
        let planned = self.rng.random_bool(0.5);
        let left = self.live_registries().len().min(MAX_REPLACEMENTS);
        self.replace_next(left, planned);
        (self.catch_up_time() + Duration::from_secs(7)) * left as u32
    }

    /// Replaces the next registry as soon as another disk may be lost and no planned replacement is under way.
    pub(crate) fn replace_next(&mut self, left: usize, planned: bool) {
        if left == 0 {
            return;
        }
        if self.remaining_disk_losses() == 0 || self.replacing.is_some() {
            return self.follow_up(Duration::from_millis(100), FollowUp::ReplaceNext { left, planned });
        }
        self.rules.add_fault_span(self.now, self.now + Duration::from_secs(7));
        if planned {
            self.replace_planned();
        } else {
            let outage = self.random_ms(200, 3000);
            self.replace_unplanned(outage);
        }
        let wait = Duration::from_millis(if planned { 7000 } else { 100 });
        self.follow_up(wait, FollowUp::ReplaceNext { left: left - 1, planned });
    }
}
