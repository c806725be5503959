//! Failures of the control plane and its machines beyond those of `faults`: registries cut off for long,
//! replaced, struck at the moment of an acknowledgement, slowed, and restarts that go round all machines.
//! A sort of its own for each of two fields, and one that draws from everything there is.

use crate::chances::{Kind, Sort};
use crate::cutoff::Cutoff;
use crate::strikes::{Blow, Trigger};
use crate::world::{Event, World};
use rand::RngExt;
use std::time::Duration;

/// One failure of the control plane, drawn by weight as often as a sort lists it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ControlFault {
    /// A registry is cut off for 15 to 22 s.
    CutOff,
    /// The same, and once more as it returns.
    CutOffTwice,
    /// Cut off, and restarted meanwhile.
    CutOffRestarted,
    /// Cut off; restarted meanwhile, and then the others too, one by one.
    CutOffAllRestarted,
    /// Cut off, while routers start with seeds that name it first or alone.
    CutOffSeeds,
    /// Held connections from registries to registries and routers are reset.
    ResetControlLinks,
    ReplaceUnplanned,
    ReplacePlanned,
    /// Several registries are replaced, one after another.
    ReplaceInTurn,
    KillAfterAck,
    KillAfterSend,
    LoseDisksAfterAck,
    LoseDisksAfterSend,
    /// All registries lose power right after a caller's work was accepted.
    PowerOffAfterWork,
    /// The router that has just accepted a caller's work loses power.
    KillRouterAfterWork,
    /// Killed again and again as soon as it answers.
    KillAgain,
    /// A change is sent to a registry as it returns.
    ChangeAtReturn,
    /// Two changes on one revision are sent to a registry as it returns.
    RaceAtReturn,
    SlowDisk,
    StallDisksInTurn,
    FillDisksInTurn,
    SlowMachines,
    /// The workers of a zone are drained soon after its registry is back.
    DrainZoneAtReturn,
    RollRouters,
    RollRoutersByTwo,
    PowerOffAll,
    /// Everything is killed, and as many disks are lost as may be.
    LoseDisksAndPowerOff,
    /// All registries, or all machines, are stopped or killed and come back at other addresses.
    RestartElsewhere,
}

use ControlFault::*;

const CUTOFF: &[Kind] = &[
    Kind::Control(CutOff),
    Kind::Control(CutOff),
    Kind::Control(CutOff),
    Kind::Control(CutOffTwice),
    Kind::Control(CutOffRestarted),
    Kind::Control(CutOffAllRestarted),
    Kind::Control(CutOffSeeds),
    Kind::Control(ResetControlLinks),
    Kind::Control(ChangeAtReturn),
];

const REPLACEMENT: &[Kind] = &[
    Kind::Control(ReplaceUnplanned),
    Kind::Control(ReplaceUnplanned),
    Kind::Control(ReplacePlanned),
    Kind::Control(ReplacePlanned),
    Kind::Control(ReplaceInTurn),
    Kind::Control(LoseDisksAfterAck),
    Kind::Control(LoseDisksAfterSend),
    Kind::Control(KillAfterAck),
    Kind::KillRegistry,
    Kind::LoseDisk,
];

const RESTARTS: &[Kind] = &[
    Kind::Control(RestartElsewhere),
    Kind::Control(RestartElsewhere),
    Kind::Control(RestartElsewhere),
    Kind::KillCore,
    Kind::KillAll,
    Kind::StopRegistry,
    Kind::LeaveRouter,
];

const EVERY: [ControlFault; 27] = [
    CutOff,
    CutOffTwice,
    CutOffRestarted,
    CutOffAllRestarted,
    CutOffSeeds,
    ResetControlLinks,
    ReplaceUnplanned,
    ReplacePlanned,
    ReplaceInTurn,
    KillAfterAck,
    KillAfterSend,
    LoseDisksAfterAck,
    LoseDisksAfterSend,
    PowerOffAfterWork,
    KillRouterAfterWork,
    KillAgain,
    ChangeAtReturn,
    RaceAtReturn,
    SlowDisk,
    StallDisksInTurn,
    FillDisksInTurn,
    SlowMachines,
    DrainZoneAtReturn,
    RollRouters,
    RollRoutersByTwo,
    PowerOffAll,
    LoseDisksAndPowerOff,
];

/// The kinds of the sorts that this module adds.
pub fn kinds(sort: Sort) -> Vec<Kind> {
    match sort {
        Sort::Cutoff => CUTOFF.to_vec(),
        Sort::Replacement => REPLACEMENT.to_vec(),
        Sort::Restarts => RESTARTS.to_vec(),
        Sort::Anything => {
            let old = Sort::Mixed.kinds().iter().copied();
            old.chain(EVERY.map(Kind::Control)).chain([Kind::Grow, Kind::Wake, Kind::Flood]).collect()
        }
        other => other.kinds().to_vec(),
    }
}

impl World {
    /// Brings a failure about and says how long it lasts at the most.
    pub(crate) fn control_fault(&mut self, fault: ControlFault, back: Duration) -> Duration {
        match fault {
            CutOff => return self.cut_off(Cutoff::Once),
            CutOffTwice => return self.cut_off(Cutoff::Twice),
            CutOffRestarted => return self.cut_off(Cutoff::Restarted),
            CutOffAllRestarted => return self.cut_off(Cutoff::AllRestarted),
            CutOffSeeds => return self.cut_off(Cutoff::Seeds),
            ResetControlLinks => self.reset_control_links(),
            ReplaceUnplanned => self.replace_unplanned(back),
            ReplacePlanned => self.replace_planned(),
            ReplaceInTurn => return self.replace_in_turn(),
            KillAfterAck => self.arm_for_some(Trigger::ChangeAcknowledged, |count| Blow::Kill { count }),
            KillAfterSend => self.arm_for_some(Trigger::ChangeSent, |count| Blow::Kill { count }),
            LoseDisksAfterAck => self.arm_for_some(Trigger::ChangeAcknowledged, |count| Blow::LoseDisks { count }),
            LoseDisksAfterSend => self.arm_for_some(Trigger::ChangeSent, |count| Blow::LoseDisks { count }),
            PowerOffAfterWork => self.arm(Trigger::WorkAccepted, Blow::PowerOffCore),
            KillRouterAfterWork => self.arm(Trigger::WorkAccepted, Blow::KillRouter),
            KillAgain => return self.kill_again_and_again(),
            ChangeAtReturn => self.change_at_return(1, back),
            RaceAtReturn => self.change_at_return(2, back),
            SlowDisk => self.slow_disks(back),
            StallDisksInTurn => return self.disks_in_turn(false),
            FillDisksInTurn => return self.disks_in_turn(true),
            SlowMachines => self.slow_machines(back),
            DrainZoneAtReturn => self.drain_zone_at_return(back),
            RollRouters => return self.roll_routers(1),
            RollRoutersByTwo => return self.roll_routers(2),
            PowerOffAll => self.power_off_all(),
            RestartElsewhere => return self.restart_elsewhere(),
            LoseDisksAndPowerOff => {
                let count = self.plan.losses;
                let registry = self.any_registry();
                self.strike(registry, Blow::LoseDisksOthersPowerOff { count });
            }
        }
        back.max(Duration::from_secs(5))
    }

    fn arm_for_some(&mut self, trigger: Trigger, blow: impl Fn(usize) -> Blow) {
        let count = self.dice.random_range(1..=self.plan.losses);
        self.arm(trigger, blow(count));
    }

    pub(crate) fn power_off_all(&mut self) {
        self.power_off_core();
        (0..self.routers.len()).for_each(|n| self.kill_router_for(n, 200, 4000));
    }

    pub(crate) fn power_off_core(&mut self) {
        self.live_registries().into_iter().for_each(|n| self.kill_registry_for(n, 200, 2500));
    }

    /// The registry that acknowledges, the head, or any: those whose loss is felt most come most often.
    pub(crate) fn chosen_registry(&mut self) -> usize {
        let live = self.live_registries();
        let on_duty = |world: &World, is: fn(&chain::ChainReplica) -> bool| {
            let core = |n: usize| world.registries[n].core.as_ref();
            live.iter().copied().find(|n| core(*n).is_some_and(|core| is(core.replica())))
        };
        let drawn = match self.dice.random_range(0..4) {
            0 => on_duty(self, chain::ChainReplica::is_current_tail),
            1 => on_duty(self, chain::ChainReplica::is_head),
            2 => self.operators.last_acknowledger.filter(|n| live.contains(n)),
            _ => None,
        };
        drawn.unwrap_or_else(|| self.any_registry())
    }

    pub(crate) fn follow_up(&mut self, wait: Duration, step: crate::follow_ups::FollowUp) {
        self.after(wait, Event::FollowUp(step));
    }
}
