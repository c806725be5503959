//! The end of a run on the control plane's failures: one more change, and as it is acknowledged, or soon after
//! it was sent, power is lost or everything is killed, mostly with as many disks lost as may be.

use crate::follow_ups::FollowUp;
use crate::triggered_faults::{Trigger, TriggeredFault};
use crate::world::World;
use rand::RngExt;
use std::time::Duration;

impl World {
    /// The end of the day: one more change, and as it is acknowledged, or soon after it was sent, the last blow.
    pub(crate) fn triggered_final_fault(&mut self) {
        self.log(|| format!("the final fault of {:?}", self.plan.sort));
        let count = self.plan.losses;
        let fault = match self.rng.random_range(0..5) {
            0 => TriggeredFault::PowerOffCore,
            1 => TriggeredFault::KillEverything,
            2 => TriggeredFault::LoseDisks { count },
            _ => TriggeredFault::LoseDisksOthersPowerOff { count },
        };
        let trigger = if self.rng.random_bool(0.3) { Trigger::ChangeSent } else { Trigger::ChangeAcknowledged };
        self.armed_faults.clear();
        self.arm(trigger, fault);
        let registry = self.any_registry();
        self.send_changes(registry, 1);
        self.follow_up(Duration::from_secs(2), FollowUp::FallbackFinalFault);
    }

    /// Nothing was acknowledged in time: all registries lose power nevertheless.
    pub(crate) fn fallback_final_fault(&mut self) {
        if self.armed_faults.pop().is_some() {
            self.apply_triggered_fault(0, TriggeredFault::PowerOffCore);
        }
    }
}
