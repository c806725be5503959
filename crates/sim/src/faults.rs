//! The failures, drawn by the seed, each with its mending. Disks are never lost beyond what the
//! deployment is to survive: one at a time, and the next only when the core is whole again.

use crate::chances::{Kind, Sort};
use crate::world::{Event, Place, World};
use rand::RngExt;
use std::time::Duration;

#[derive(Clone, Debug)]
pub enum Mending {
    StartRegistry(usize),
    FreeDisk(usize),
    StartRouter(usize),
    Heal(Vec<(Place, Place)>),
    Quicken,
    EndLosses,
    Yard,
}

/// How long a planned stop keeps a node away: its grace and the pause until it is started anew.
const AWAY: Duration = Duration::from_secs(12);

impl World {
    pub(crate) fn ms(&mut self, from: u64, to: u64) -> Duration {
        Duration::from_millis(self.dice.random_range(from..to))
    }

    pub fn fault(&mut self) {
        if self.now >= self.plan.final_fault {
            return self.final_fault();
        }
        let pause = match self.plan.sort {
            Sort::Storm => self.ms(50, 1500),
            Sort::Resets => self.ms(50, 700),
            Sort::Anything => self.ms(100, 3000),
            _ => self.ms(300, 5000),
        };
        let next = self.now + pause;
        let bouts = self.plan.bouts;
        let later = bouts.iter().map(|(from, _)| *from).chain([self.plan.final_fault]).find(|from| *from > self.now);
        let next = if self.plan.in_bout(next) { next } else { later.unwrap_or(next) };
        self.at(next, Event::Fault);
        let kinds = crate::control_faults::kinds(self.plan.sort);
        if kinds.is_empty() || !self.plan.in_bout(self.now) {
            return;
        }
        let kind = kinds[self.dice.random_range(0..kinds.len())];
        let back = self.ms(200, 7000);
        self.say(|| format!("fault {kind:?}"));
        let lasts = self.bring_about(kind, back);
        self.rules.faulty(self.now, self.now + lasts);
    }

    /// The day's end: power is lost at every registry, and at one router, just before the read-back.
    fn final_fault(&mut self) {
        if self.plan.sort.is_on_control() {
            return self.final_blow();
        }
        self.say(|| "the final fault".into());
        let router = self.dice.random_range(0..self.routers.len());
        for n in self.live_registries() {
            self.kill_registry_for(n, 200, 2500);
        }
        self.kill_router_for(router, 200, 2500);
        self.rules.faulty(self.now, self.now + Duration::from_millis(2500));
    }

    pub(crate) fn kill_registry_for(&mut self, n: usize, from: u64, to: u64) {
        self.kill_registry(n);
        let back = self.ms(from, to);
        self.after(back, Event::Mend { what: Mending::StartRegistry(n) });
    }

    pub(crate) fn kill_router_for(&mut self, n: usize, from: u64, to: u64) {
        self.kill_router(n);
        let back = self.ms(from, to);
        self.after(back, Event::Mend { what: Mending::StartRouter(n) });
    }

    /// Does it and says how long it lasts at the most.
    fn bring_about(&mut self, kind: Kind, back: Duration) -> Duration {
        let registry = self.any_registry();
        let router = self.dice.random_range(0..self.routers.len());
        let millis = back.as_millis() as u64;
        match kind {
            Kind::KillRegistry => self.kill_registry_for(registry, millis, millis + 1),
            Kind::KillCore => self.live_registries().into_iter().for_each(|n| self.kill_registry_for(n, 200, 5000)),
            Kind::FreezeRegistry => return self.freeze(Place::Registry(registry)),
            Kind::StallDisk => self.registries[registry].stalled_until = self.now + back,
            Kind::FillDisk => {
                self.registries[registry].full = true;
                self.after(back, Event::Mend { what: Mending::StartRegistry(registry) });
            }
            Kind::FillDiskForAWhile => {
                self.registries[registry].full = true;
                self.after(back, Event::Mend { what: Mending::FreeDisk(registry) });
            }
            Kind::LoseDisk => self.lose_disk(registry, back),
            Kind::KillRouter => self.kill_router_for(router, millis, millis + 1),
            Kind::KillZone => {
                self.kill_registry_for(registry, 200, 4000);
                let zone = self.zone_of(registry);
                zone.into_iter().for_each(|n| self.kill_router_for(n, 200, 4000));
            }
            Kind::KillRouters => (0..self.routers.len()).for_each(|n| self.kill_router_for(n, 200, 4000)),
            Kind::KillAll => {
                self.live_registries().into_iter().for_each(|n| self.kill_registry_for(n, 200, 4000));
                (0..self.routers.len()).for_each(|n| self.kill_router_for(n, 200, 4000));
            }
            Kind::FreezeRouter => return self.freeze(Place::Router(router)),
            Kind::FreezeHerd => return self.freeze_herd(),
            Kind::CutOne | Kind::CutCore | Kind::CutSome | Kind::CutInside | Kind::CutPair | Kind::CutZone => {
                return self.cut(kind);
            }
            Kind::SlowLinks => self.slow_links(back),
            Kind::LoseAnswers => {
                self.yard.lose = 0.1;
                self.yard.unanswered = 0.3;
                self.after(back, Event::Mend { what: Mending::Yard });
            }
            Kind::Garble => {
                self.yard.garble = if self.plan.sort == Sort::Resets { 0.4 } else { 0.1 };
                self.after(back, Event::Mend { what: Mending::Yard });
            }
            Kind::Worker => self.worker_fault(),
            Kind::LeaveRouter => {
                self.leave_router(router);
                return AWAY;
            }
            Kind::StopRegistry => {
                self.stop_registry(registry);
                return Duration::from_millis(3100);
            }
            Kind::Crowd => self.callers.crowd = Some((self.dice.random_range(0..self.plan.functions), self.now + back)),
            Kind::Overload => self.overload(back),
            Kind::Eager => self.callers.eager_until = self.now + back,
            Kind::Grow => self.operators.grows = true,
            Kind::MoveSeeds => self.move_seeds(),
            Kind::Wake => self.wake_all(),
            Kind::ResetLinks => self.reset_links(),
            Kind::Revoke => self.revoke_any_key(),
            Kind::HotConsumer => self.heat_consumer(back),
            Kind::Lossy => return self.lose_packets(back).max(Duration::from_secs(5)),
            Kind::ResetConnections => self.reset_connections_of(router),
            Kind::Control(fault) => return self.control_fault(fault, back),
            Kind::Flood => self.callers.flood_until = self.now + back,
        }
        back.max(Duration::from_millis(5000))
    }

    pub fn mend(&mut self, what: Mending) {
        match what {
            Mending::StartRegistry(n) => {
                if self.registries[n].full {
                    self.kill_registry(n);
                }
                self.start_registry(n);
            }
            Mending::FreeDisk(n) => self.free_disk(n),
            Mending::StartRouter(n) => self.start_router(n),
            Mending::Heal(cuts) => self.heal(cuts),
            Mending::Quicken => self.net.slow.clear(),
            Mending::EndLosses => self.end_losses(),
            Mending::Yard => self.yard.behave(),
        }
    }
}
