//! Faults of the control plane and its machines beyond those of `faults`: registries that are cut off for long,
//! replaced, killed right at an acknowledgement or slowed down, and rolling restarts of all machines. There are
//! separate sorts for cuts, replacements and restarts, and one that draws from all faults.

use crate::cutoff::Cutoff;
use crate::sorts::{FaultKind, Sort};
use crate::triggered_faults::{Trigger, TriggeredFault};
use crate::world::{Event, World};
use rand::RngExt;
use std::time::Duration;

/// One kind of control plane fault. A sort lists a kind several times to give it more weight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ControlFault {
    /// A registry is cut off for 15 to 22 s.
    CutOff,
    /// Cut off for the same time, and once more as it returns.
    CutOffTwice,
    /// Cut off, and restarted meanwhile.
    CutOffRestarted,
    /// Cut off; restarted meanwhile, and then the others too, one by one.
    CutOffAllRestarted,
    /// Cut off, while routers start with seeds that name it first or as the only one.
    CutOffSeeds,
    /// Open connections of registries to other registries and routers are reset.
    ResetControlLinks,
    ReplaceUnplanned,
    ReplacePlanned,
    /// Several registries are replaced, one after another.
    ReplaceSeveral,
    KillAfterAck,
    KillAfterSend,
    LoseDisksAfterAck,
    LoseDisksAfterSend,
    /// All registries lose power right after a caller's work was accepted.
    PowerOffAfterWork,
    /// The router that has just accepted a caller's work loses power.
    KillRouterAfterWork,
    /// A registry is killed repeatedly, each time as soon as it answers.
    KillRepeatedly,
    /// A change is sent to a registry as it returns.
    ChangeAtReturn,
    /// Two changes on one revision are sent to a registry as it returns.
    RaceAtReturn,
    SlowDisk,
    StallDisksInSequence,
    FillDisksInSequence,
    SlowMachines,
    /// The workers of a zone are drained soon after its registry is back.
    DrainZoneAtReturn,
    RollRouters,
    RollRoutersTwoAtATime,
    PowerOffAll,
    /// All registries lose power, and the tolerated number of them their disks.
    LoseDisksAndPowerOff,
    /// All registries, or all machines, are stopped or killed and come back at new addresses.
    RestartAtNewAddresses,
}

use ControlFault::*;

const CUTOFF: &[FaultKind] = &[
    FaultKind::Control(CutOff),
    FaultKind::Control(CutOff),
    FaultKind::Control(CutOff),
    FaultKind::Control(CutOffTwice),
    FaultKind::Control(CutOffRestarted),
    FaultKind::Control(CutOffAllRestarted),
    FaultKind::Control(CutOffSeeds),
    FaultKind::Control(ResetControlLinks),
    FaultKind::Control(ChangeAtReturn),
];

const REPLACEMENT: &[FaultKind] = &[
    FaultKind::Control(ReplaceUnplanned),
    FaultKind::Control(ReplaceUnplanned),
    FaultKind::Control(ReplacePlanned),
    FaultKind::Control(ReplacePlanned),
    FaultKind::Control(ReplaceSeveral),
    FaultKind::Control(LoseDisksAfterAck),
    FaultKind::Control(LoseDisksAfterSend),
    FaultKind::Control(KillAfterAck),
    FaultKind::KillRegistry,
    FaultKind::LoseDisk,
];

const RESTARTS: &[FaultKind] = &[
    FaultKind::Control(RestartAtNewAddresses),
    FaultKind::Control(RestartAtNewAddresses),
    FaultKind::Control(RestartAtNewAddresses),
    FaultKind::KillCore,
    FaultKind::KillAll,
    FaultKind::StopRegistry,
    FaultKind::LeaveRouter,
];

const ALL_CONTROL_FAULTS: [ControlFault; 27] = [
    CutOff,
    CutOffTwice,
    CutOffRestarted,
    CutOffAllRestarted,
    CutOffSeeds,
    ResetControlLinks,
    ReplaceUnplanned,
    ReplacePlanned,
    ReplaceSeveral,
    KillAfterAck,
    KillAfterSend,
    LoseDisksAfterAck,
    LoseDisksAfterSend,
    PowerOffAfterWork,
    KillRouterAfterWork,
    KillRepeatedly,
    ChangeAtReturn,
    RaceAtReturn,
    SlowDisk,
    StallDisksInSequence,
    FillDisksInSequence,
    SlowMachines,
    DrainZoneAtReturn,
    RollRouters,
    RollRoutersTwoAtATime,
    PowerOffAll,
    LoseDisksAndPowerOff,
];

/// Returns the kinds of fault that a sort draws from, including the control plane's sorts.
pub fn kinds(sort: Sort) -> Vec<FaultKind> {
    match sort {
        Sort::Cutoff => CUTOFF.to_vec(),
        Sort::Replacement => REPLACEMENT.to_vec(),
        Sort::Restarts => RESTARTS.to_vec(),
        Sort::Anything => {
            let old = Sort::Mixed.kinds().iter().copied();
            old.chain(ALL_CONTROL_FAULTS.map(FaultKind::Control))
                .chain([FaultKind::GrowConfiguration, FaultKind::Wake, FaultKind::Flood])
                .collect()
        }
        other => other.kinds().to_vec(),
    }
}

impl World {
    /// Starts a fault and returns its maximum duration.
    pub(crate) fn control_fault(&mut self, fault: ControlFault, outage: Duration) -> Duration {
        match fault {
            CutOff => return self.cut_off(Cutoff::Once),
            CutOffTwice => return self.cut_off(Cutoff::Twice),
            CutOffRestarted => return self.cut_off(Cutoff::Restarted),
            CutOffAllRestarted => return self.cut_off(Cutoff::AllRestarted),
            CutOffSeeds => return self.cut_off(Cutoff::Seeds),
            ResetControlLinks => self.reset_control_links(),
            ReplaceUnplanned => self.replace_unplanned(outage),
            ReplacePlanned => self.replace_planned(),
            ReplaceSeveral => return self.replace_several(),
            KillAfterAck => self.arm_for_some(Trigger::ChangeAcknowledged, |count| TriggeredFault::Kill { count }),
            KillAfterSend => self.arm_for_some(Trigger::ChangeSent, |count| TriggeredFault::Kill { count }),
            LoseDisksAfterAck => {
                self.arm_for_some(Trigger::ChangeAcknowledged, |count| TriggeredFault::LoseDisks { count })
            }
            LoseDisksAfterSend => self.arm_for_some(Trigger::ChangeSent, |count| TriggeredFault::LoseDisks { count }),
            PowerOffAfterWork => self.arm(Trigger::WorkAccepted, TriggeredFault::PowerOffCore),
            KillRouterAfterWork => self.arm(Trigger::WorkAccepted, TriggeredFault::KillRouter),
            KillRepeatedly => return self.kill_repeatedly(),
            ChangeAtReturn => self.change_at_return(1, outage),
            RaceAtReturn => self.change_at_return(2, outage),
            SlowDisk => self.slow_disks(outage),
            StallDisksInSequence => return self.disk_faults_in_sequence(false),
            FillDisksInSequence => return self.disk_faults_in_sequence(true),
            SlowMachines => self.slow_machines(outage),
            DrainZoneAtReturn => self.drain_zone_at_return(outage),
            RollRouters => return self.roll_routers(1),
            RollRoutersTwoAtATime => return self.roll_routers(2),
            PowerOffAll => self.power_off_all(),
            RestartAtNewAddresses => return self.restart_at_new_addresses(),
            LoseDisksAndPowerOff => {
                let count = self.plan.losses;
                let registry = self.any_registry();
                self.apply_triggered_fault(registry, TriggeredFault::LoseDisksOthersPowerOff { count });
            }
        }
        outage.max(Duration::from_secs(5))
    }

    fn arm_for_some(&mut self, trigger: Trigger, fault: impl Fn(usize) -> TriggeredFault) {
        let count = self.rng.random_range(1..=self.plan.losses);
        self.arm(trigger, fault(count));
    }

    pub(crate) fn power_off_all(&mut self) {
        self.power_off_core();
        (0..self.routers.len()).for_each(|n| self.kill_router_for(n, 200, 4000));
    }

    pub(crate) fn power_off_core(&mut self) {
        self.live_registries().into_iter().for_each(|n| self.kill_registry_for(n, 200, 2500));
    }

    /// Draws a registry: the tail, the head, the last one that acknowledged, or any. Those whose loss has the most
    /// effect are drawn most often.
    pub(crate) fn pick_registry(&mut self) -> usize {
        let live = self.live_registries();
        let with_role = |world: &World, is: fn(&chain::ChainReplica) -> bool| {
            let core = |n: usize| world.registries[n].core.as_ref();
            live.iter().copied().find(|n| core(*n).is_some_and(|core| is(core.replica())))
        };
        let drawn = match self.rng.random_range(0..4) {
            0 => with_role(self, chain::ChainReplica::is_current_tail),
            1 => with_role(self, chain::ChainReplica::is_head),
            2 => self.operators.last_acknowledger.filter(|n| live.contains(n)),
            _ => None,
        };
        drawn.unwrap_or_else(|| self.any_registry())
    }

    pub(crate) fn follow_up(&mut self, wait: Duration, step: crate::follow_ups::FollowUp) {
        self.schedule_after(wait, Event::FollowUp(step));
    }
}
