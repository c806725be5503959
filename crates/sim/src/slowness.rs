//! Disks that are slow, stalled or full, one machine after another, and machines that run slowly.

use crate::follow_ups::FollowUp;
use crate::world::{Place, World};
use rand::RngExt;
use std::time::Duration;

/// How many times as long a slow disk takes.
pub const SLOW_DISK: u32 = 30;
/// How many times slower a slow machine runs.
pub const SLOW_MACHINE: u32 = 5;
/// What a slow machine adds to each frame it sends or takes.
pub const SLOW_FRAME: Duration = Duration::from_millis(4);

impl World {
    pub(crate) fn slow_disks(&mut self, back: Duration) {
        let until = self.now + back;
        let count = self.dice.random_range(1..=self.plan.losses);
        for _ in 0..count {
            let registry = self.chosen_registry();
            self.say(|| format!("registry {registry} has a slow disk"));
            self.registries[registry].slow_disk_until = until;
        }
    }

    /// Several disks, each while or soon after the one before it is in trouble.
    pub(crate) fn disks_in_turn(&mut self, full: bool) -> Duration {
        let mut wait = Duration::ZERO;
        let mut end = wait;
        for registry in self.live_registries() {
            if self.dice.random_bool(0.3) {
                continue;
            }
            let lasts = self.ms(500, 6000);
            let step = match full {
                true => FollowUp::FillDisk { registry, lasts },
                false => FollowUp::StallDisk { registry, lasts },
            };
            self.follow_up(wait, step);
            end = end.max(wait + lasts);
            wait += self.ms(500, 5000);
        }
        end
    }

    /// A full disk is mended by more room and a new start of the process.
    pub(crate) fn fill_disk(&mut self, registry: usize, lasts: Duration) {
        if self.registries[registry].retired {
            return;
        }
        self.registries[registry].full = true;
        let what = crate::faults::Mending::StartRegistry(registry);
        self.after(lasts, crate::world::Event::Mend { what });
    }

    pub(crate) fn slow_machines(&mut self, back: Duration) {
        let until = self.now + back;
        for place in self.places() {
            if self.dice.random_ratio(1, 6) {
                self.say(|| format!("{place:?} is slow"));
                self.net.slow_machines.insert(place, until);
            }
        }
    }

    pub(crate) fn is_slow(&self, place: Place) -> bool {
        self.net.slow_machines.get(&place).is_some_and(|until| *until > self.now)
    }
}
