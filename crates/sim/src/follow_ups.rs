//! Later steps of a fault: each fault schedules the steps that follow it.

use crate::triggered_faults::TriggeredFault;
use crate::world::{NodeRef, World};
use std::time::Duration;

/// Later step of a fault.
#[derive(Clone, Debug)]
pub enum FollowUp {
    TriggeredFault {
        at: usize,
        fault: TriggeredFault,
    },
    Cut {
        cuts: Vec<(NodeRef, NodeRef)>,
        lasts: Duration,
    },
    RestartRegistry {
        registry: usize,
    },
    /// Sends this many changes on one revision to the registry.
    Change {
        registry: usize,
        count: usize,
    },
    KillAgain {
        registry: usize,
        times: u32,
    },
    StallDisk {
        registry: usize,
        lasts: Duration,
    },
    FillDisk {
        registry: usize,
        lasts: Duration,
    },
    Drain {
        zone: usize,
    },
    Roll {
        next: usize,
        at_a_time: usize,
        waited: Duration,
    },
    /// Starts the planned stop of a registry that is being replaced.
    Retire {
        registry: usize,
    },
    /// Waits until the registry is out of the chain or its grace period is over, then stops it.
    Retiring {
        registry: usize,
        until: Duration,
    },
    /// Waits in the same way for a registry that is restarted afterwards.
    Stopping {
        registry: usize,
        until: Duration,
    },
    ReplaceNext {
        left: usize,
        planned: bool,
    },
    FallbackFinalFault,
    ResetLossyLink {
        link: (NodeRef, NodeRef),
    },
}

impl World {
    pub(crate) fn take_follow_up(&mut self, step: FollowUp) {
        match step {
            FollowUp::TriggeredFault { at, fault } => self.apply_triggered_fault(at, fault),
            FollowUp::Cut { cuts, lasts } => self.begin_cut(cuts, lasts),
            FollowUp::RestartRegistry { registry } => self.kill_registry_for(registry, 100, 1500),
            FollowUp::Change { registry, count } => self.send_changes(registry, count),
            FollowUp::KillAgain { registry, times } => self.kill_again(registry, times),
            FollowUp::StallDisk { registry, lasts } => self.registries[registry].stalled_until = self.now + lasts,
            FollowUp::FillDisk { registry, lasts } => self.fill_disk(registry, lasts),
            FollowUp::Drain { zone } => self.drain_zone(zone),
            FollowUp::Roll { next, at_a_time, waited } => self.roll_next(next, at_a_time, waited),
            FollowUp::Retire { registry } => self.retire(registry),
            FollowUp::Retiring { registry, until } => self.await_retirement(registry, until),
            FollowUp::Stopping { registry, until } => self.await_stop(registry, until),
            FollowUp::ReplaceNext { left, planned } => self.replace_next(left, planned),
            FollowUp::FallbackFinalFault => self.fallback_final_fault(),
            FollowUp::ResetLossyLink { link } => self.reset_lossy_link(link),
        }
    }
}
