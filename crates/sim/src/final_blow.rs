//! The end of a run on the control plane's failures: one more change, and as it is acknowledged, or soon after
//! it was sent, power is lost or everything is killed, mostly with as many disks lost as may be.

use crate::follow_ups::FollowUp;
use crate::strikes::{Blow, Trigger};
use crate::world::World;
use rand::RngExt;
use std::time::Duration;

impl World {
    /// The end of the day: one more change, and as it is acknowledged, or soon after it was sent, the last blow.
    pub(crate) fn final_blow(&mut self) {
        self.say(|| format!("the final fault of {:?}", self.plan.sort));
        let count = self.plan.losses;
        let blow = match self.dice.random_range(0..5) {
            0 => Blow::PowerOffCore,
            1 => Blow::KillEverything,
            2 => Blow::LoseDisks { count },
            _ => Blow::LoseDisksOthersPowerOff { count },
        };
        let trigger = if self.dice.random_bool(0.3) { Trigger::ChangeSent } else { Trigger::ChangeAcknowledged };
        self.armed.clear();
        self.arm(trigger, blow);
        let registry = self.any_registry();
        self.send_changes(registry, 1);
        self.follow_up(Duration::from_secs(2), FollowUp::LastBlow);
    }

    /// Nothing was acknowledged in time: all registries lose power nevertheless.
    pub(crate) fn last_blow_without_moment(&mut self) {
        if self.armed.pop().is_some() {
            self.strike(0, Blow::PowerOffCore);
        }
    }
}
