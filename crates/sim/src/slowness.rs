//! Disks that are slow, stalled or full, on one machine after another, and machines that run slowly.

use crate::follow_ups::FollowUp;
use crate::world::{NodeRef, World};
use rand::RngExt;
use std::time::Duration;

/// Factor by which a write to a slow disk takes longer.
pub const SLOW_DISK: u32 = 30;
/// Factor by which a slow machine ticks less often.
pub const SLOW_MACHINE: u32 = 5;
/// Delay that a slow machine adds to each frame that it sends or receives.
pub const SLOW_FRAME: Duration = Duration::from_millis(4);

impl World {
    pub(crate) fn slow_disks(&mut self, outage: Duration) {
        let until = self.now + outage;
        let count = self.rng.random_range(1..=self.plan.losses);
        for _ in 0..count {
            let registry = self.pick_registry();
            self.log(|| format!("registry {registry} has a slow disk"));
            self.registries[registry].slow_disk_until = until;
        }
    }

    /// Stalls or fills several disks, each during or soon after the fault of the previous one.
    pub(crate) fn disk_faults_in_sequence(&mut self, full: bool) -> Duration {
        let mut wait = Duration::ZERO;
        let mut end = wait;
        for registry in self.live_registries() {
            if self.rng.random_bool(0.3) {
                continue;
            }
            let lasts = self.random_ms(500, 6000);
            let step = match full {
                true => FollowUp::FillDisk { registry, lasts },
                false => FollowUp::StallDisk { registry, lasts },
            };
            self.follow_up(wait, step);
            end = end.max(wait + lasts);
            wait += self.random_ms(500, 5000);
        }
        end
    }

    /// Fills a disk; it is repaired by freeing space and restarting the process.
    pub(crate) fn fill_disk(&mut self, registry: usize, lasts: Duration) {
        if self.registries[registry].retired {
            return;
        }
        self.registries[registry].full = true;
        let repair = crate::faults::Repair::StartRegistry(registry);
        self.schedule_after(lasts, crate::world::Event::Repair { repair });
    }

    pub(crate) fn slow_machines(&mut self, outage: Duration) {
        let until = self.now + outage;
        for node_ref in self.nodes() {
            if self.rng.random_ratio(1, 6) {
                self.log(|| format!("{node_ref:?} is slow"));
                self.net.slow_machines.insert(node_ref, until);
            }
        }
    }

    pub(crate) fn is_slow(&self, node_ref: NodeRef) -> bool {
        self.net.slow_machines.get(&node_ref).is_some_and(|until| *until > self.now)
    }
}
