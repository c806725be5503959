//! The faults, drawn from the seed, each with its repair. No more disks are lost than the deployment must survive:
//! one at a time, and the next only when the core is complete again.

use crate::sorts::{FaultKind, Sort};
use crate::world::{Event, NodeRef, World};
use rand::RngExt;
use std::time::Duration;

/// Action that ends a fault.
#[derive(Clone, Debug)]
pub enum Repair {
    StartRegistry(usize),
    FreeDisk(usize),
    StartRouter(usize),
    HealCuts(Vec<(NodeRef, NodeRef)>),
    EndSlowLinks,
    EndPacketLoss,
    RestorePlatform,
}

/// Time that a planned stop takes: the grace period and the pause until the restart.
const PLANNED_STOP_TIME: Duration = Duration::from_secs(12);

impl World {
    pub(crate) fn random_ms(&mut self, from: u64, to: u64) -> Duration {
        Duration::from_millis(self.rng.random_range(from..to))
    }

    /// Schedules the next fault, and starts one now if the run is in a fault phase.
    pub fn fault(&mut self) {
        if self.now >= self.plan.final_fault {
            return self.final_fault();
        }
        let pause = match self.plan.sort {
            Sort::Storm => self.random_ms(50, 1500),
            Sort::Resets => self.random_ms(50, 700),
            Sort::Anything => self.random_ms(100, 3000),
            _ => self.random_ms(300, 5000),
        };
        let next = self.now + pause;
        let fault_phases = self.plan.fault_phases;
        let later =
            fault_phases.iter().map(|(from, _)| *from).chain([self.plan.final_fault]).find(|from| *from > self.now);
        let next = if self.plan.is_in_fault_phase(next) { next } else { later.unwrap_or(next) };
        self.schedule_at(next, Event::Fault);
        let kinds = crate::control_faults::kinds(self.plan.sort);
        if kinds.is_empty() || !self.plan.is_in_fault_phase(self.now) {
            return;
        }
        let kind = kinds[self.rng.random_range(0..kinds.len())];
        let outage = self.random_ms(200, 7000);
        self.log(|| format!("fault {kind:?}"));
        let lasts = self.start_fault(kind, outage);
        self.rules.add_fault_span(self.now, self.now + lasts);
    }

    /// Ends a run with a power loss of every registry and one router, just before the configuration is read back.
    fn final_fault(&mut self) {
        if self.plan.sort.is_on_control() {
            return self.triggered_final_fault();
        }
        self.log(|| "the final fault".into());
        let router = self.rng.random_range(0..self.routers.len());
        for n in self.live_registries() {
            self.kill_registry_for(n, 200, 2500);
        }
        self.kill_router_for(router, 200, 2500);
        self.rules.add_fault_span(self.now, self.now + Duration::from_millis(2500));
    }

    pub(crate) fn kill_registry_for(&mut self, n: usize, from: u64, to: u64) {
        self.kill_registry(n);
        let outage = self.random_ms(from, to);
        self.schedule_after(outage, Event::Repair { repair: Repair::StartRegistry(n) });
    }

    pub(crate) fn kill_router_for(&mut self, n: usize, from: u64, to: u64) {
        self.kill_router(n);
        let outage = self.random_ms(from, to);
        self.schedule_after(outage, Event::Repair { repair: Repair::StartRouter(n) });
    }

    /// Starts a fault and returns its maximum duration.
    fn start_fault(&mut self, kind: FaultKind, outage: Duration) -> Duration {
        let registry = self.any_registry();
        let router = self.rng.random_range(0..self.routers.len());
        let millis = outage.as_millis() as u64;
        match kind {
            FaultKind::KillRegistry => self.kill_registry_for(registry, millis, millis + 1),
            FaultKind::KillCore => {
                self.live_registries().into_iter().for_each(|n| self.kill_registry_for(n, 200, 5000))
            }
            FaultKind::FreezeRegistry => return self.freeze(NodeRef::Registry(registry)),
            FaultKind::StallDisk => self.registries[registry].stalled_until = self.now + outage,
            FaultKind::FillDisk => {
                self.registries[registry].full = true;
                self.schedule_after(outage, Event::Repair { repair: Repair::StartRegistry(registry) });
            }
            FaultKind::FillDiskForAWhile => {
                self.registries[registry].full = true;
                self.schedule_after(outage, Event::Repair { repair: Repair::FreeDisk(registry) });
            }
            FaultKind::LoseDisk => self.lose_disk(registry, outage),
            FaultKind::KillRouter => self.kill_router_for(router, millis, millis + 1),
            FaultKind::KillZone => {
                self.kill_registry_for(registry, 200, 4000);
                let zone = self.routers_in_zone_of(registry);
                zone.into_iter().for_each(|n| self.kill_router_for(n, 200, 4000));
            }
            FaultKind::KillRouters => (0..self.routers.len()).for_each(|n| self.kill_router_for(n, 200, 4000)),
            FaultKind::KillAll => {
                self.live_registries().into_iter().for_each(|n| self.kill_registry_for(n, 200, 4000));
                (0..self.routers.len()).for_each(|n| self.kill_router_for(n, 200, 4000));
            }
            FaultKind::FreezeRouter => return self.freeze(NodeRef::Router(router)),
            FaultKind::FreezeHalf => return self.freeze_half(),
            FaultKind::CutOne
            | FaultKind::CutCore
            | FaultKind::CutSome
            | FaultKind::CutInside
            | FaultKind::CutPair
            | FaultKind::CutZone => {
                return self.cut(kind);
            }
            FaultKind::SlowLinks => self.slow_links(outage),
            FaultKind::LoseAnswers => {
                self.platform.lost_answer_rate = 0.1;
                self.platform.unanswered_rate = 0.3;
                self.schedule_after(outage, Event::Repair { repair: Repair::RestorePlatform });
            }
            FaultKind::GarbleAnswers => {
                self.platform.garbled_answer_rate = if self.plan.sort == Sort::Resets { 0.4 } else { 0.1 };
                self.schedule_after(outage, Event::Repair { repair: Repair::RestorePlatform });
            }
            FaultKind::WorkerFault => self.worker_fault(),
            FaultKind::LeaveRouter => {
                self.leave_router(router);
                return PLANNED_STOP_TIME;
            }
            FaultKind::StopRegistry => {
                self.stop_registry(registry);
                return Duration::from_millis(3100);
            }
            FaultKind::Crowd => {
                self.callers.crowd = Some((self.rng.random_range(0..self.plan.functions), self.now + outage))
            }
            FaultKind::Overload => self.overload(outage),
            FaultKind::EagerRetries => self.callers.eager_until = self.now + outage,
            FaultKind::GrowConfiguration => self.operators.grow_next = true,
            FaultKind::MoveSeeds => self.move_seeds(),
            FaultKind::Wake => self.call_all_functions(),
            FaultKind::ResetLinks => self.reset_links(),
            FaultKind::RevokeApiKey => self.revoke_any_key(),
            FaultKind::HotConsumer => self.raise_consumer_rate(outage),
            FaultKind::LossyLinks => return self.lose_packets(outage).max(Duration::from_secs(5)),
            FaultKind::ResetConnections => self.reset_connections_of(router),
            FaultKind::Control(fault) => return self.control_fault(fault, outage),
            FaultKind::Flood => self.callers.flood_until = self.now + outage,
        }
        outage.max(Duration::from_millis(5000))
    }

    /// Ends a fault.
    pub fn apply_repair(&mut self, repair: Repair) {
        match repair {
            Repair::StartRegistry(n) => {
                if self.registries[n].full {
                    self.kill_registry(n);
                }
                self.start_registry(n);
            }
            Repair::FreeDisk(n) => self.free_disk(n),
            Repair::StartRouter(n) => self.start_router(n),
            Repair::HealCuts(cuts) => self.heal_cuts(cuts),
            Repair::EndSlowLinks => self.net.slow_links.clear(),
            Repair::EndPacketLoss => self.end_packet_loss(),
            Repair::RestorePlatform => self.platform.clear_faults(),
        }
    }
}
