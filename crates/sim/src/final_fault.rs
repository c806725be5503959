//! The end of a run on control plane faults: one last change, and a fault as it is acknowledged or soon after it was
//! sent. The fault is a power loss or a kill of all processes, mostly with the tolerated number of lost disks.

use crate::follow_ups::FollowUp;
use crate::triggered_faults::{Trigger, TriggeredFault};
use crate::world::World;
use rand::RngExt;
use std::time::Duration;

impl World {
    /// Sends the last change and arms the fault that it triggers.
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

    /// Powers off all registries if the armed fault wasn't triggered in time.
    pub(crate) fn fallback_final_fault(&mut self) {
        if self.armed_faults.pop().is_some() {
            self.apply_triggered_fault(0, TriggeredFault::PowerOffCore);
        }
    }
}
