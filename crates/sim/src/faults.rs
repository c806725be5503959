//! The failures, drawn by the seed, each with its mending. Disks are never lost beyond what the
//! deployment is to survive: one at a time, and the next only when the core is whole again.

use crate::chances::Sort;
use crate::world::{Event, Place, World};
use chain::Stored;
use rand::RngExt;
use std::time::Duration;

#[derive(Clone, Debug)]
pub enum Mending {
    StartRegistry(usize),
    EndRegistry(usize),
    StartRouter(usize),
    Heal(Vec<(Place, Place)>),
    Yard,
}

impl World {
    fn ms(&mut self, from: u64, to: u64) -> Duration {
        Duration::from_millis(self.dice.random_range(from..to))
    }

    pub fn fault(&mut self) {
        if self.now > self.plan.faults_to {
            return;
        }
        let kinds: &[u32] = match self.plan.sort {
            Sort::Calm => &[],
            Sort::Core => &[0, 1, 2, 3, 4, 5, 6],
            Sort::Routers => &[7, 8, 9, 10, 14, 15],
            Sort::Network => &[11, 12, 13],
            Sort::Planned => &[16, 17],
            Sort::Crowd => &[18],
            Sort::Mixed | Sort::Storm => &[0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17],
        };
        let pause = if self.plan.sort == Sort::Storm { self.ms(50, 1500) } else { self.ms(300, 5000) };
        self.after(pause, Event::Fault);
        if kinds.is_empty() {
            return;
        }
        let kind = kinds[self.dice.random_range(0..kinds.len())];
        let registry = self.dice.random_range(0..3);
        let router = self.dice.random_range(0..self.routers.len());
        let back = self.ms(200, 7000);
        self.say(|| format!("fault {kind}"));
        match kind {
            0 | 1 => {
                self.kill_registry(registry);
                self.after(back, Event::Mend { what: Mending::StartRegistry(registry) });
            }
            2 => {
                for n in 0..3 {
                    self.kill_registry(n);
                    let back = self.ms(200, 5000);
                    self.after(back, Event::Mend { what: Mending::StartRegistry(n) });
                }
            }
            3 => self.freeze(Place::Registry(registry)),
            4 => self.registries[registry].stalled_until = self.now + back,
            5 => {
                self.registries[registry].full = true;
                self.after(back, Event::Mend { what: Mending::StartRegistry(registry) });
            }
            6 => self.lose_disk(registry, back),
            7 | 8 => {
                self.kill_router(router);
                self.after(back, Event::Mend { what: Mending::StartRouter(router) });
            }
            9 => {
                let zone = ["a", "b", "c"][self.dice.random_range(0..3)];
                let all = self.dice.random_ratio(1, 3);
                for n in 0..self.routers.len() {
                    if all || self.routers[n].zone == zone {
                        self.kill_router(n);
                        let back = self.ms(200, 4000);
                        self.after(back, Event::Mend { what: Mending::StartRouter(n) });
                    }
                }
            }
            10 => self.freeze(Place::Router(router)),
            11..=13 => self.cut(kind),
            14 => {
                self.yard.lose = 0.1;
                self.yard.unanswered = 0.3;
                self.after(back, Event::Mend { what: Mending::Yard });
            }
            15 => self.worker_fault(),
            16 => self.leave_router(router),
            17 => self.stop_registry(registry),
            _ => self.callers.crowd = Some((self.dice.random_range(0..self.plan.functions), self.now + back)),
        }
    }

    /// A planned stop with its grace period: the router leaves, finishes what it has, then goes.
    fn leave_router(&mut self, n: usize) {
        let leaving = self.routers.iter().any(|node| node.leaving_since.is_some());
        if leaving || !self.routers[n].alive() || self.routers.iter().filter(|node| node.alive()).count() < 2 {
            return;
        }
        self.say(|| format!("router {n} is asked to leave"));
        self.routers[n].leaving_since = Some(self.now);
        self.follow(n, holds::FollowerInput::Leave);
    }

    /// A planned stop of a registry, one at a time: the chain goes on without it at once.
    fn stop_registry(&mut self, n: usize) {
        let calm = |node: &crate::registry_node::RegistryNode| {
            node.core.as_ref().is_some_and(|core| core.member().view().chain.as_slice().len() == 3)
        };
        if !self.registries.iter().all(calm) {
            return;
        }
        self.feed_registry(n, control::CoreInput::Leave);
        self.after(Duration::from_millis(100), Event::Mend { what: Mending::EndRegistry(n) });
    }

    fn freeze(&mut self, place: Place) {
        let until = self.now + self.ms(300, 6000);
        self.say(|| format!("{place:?} freezes until {:.3}", until.as_secs_f64()));
        match place {
            Place::Registry(n) => self.registries[n].frozen_until = until,
            Place::Router(n) => self.routers[n].frozen_until = until,
        }
    }

    /// One disk is lost, only while the other two are whole in the chain with it; the machine comes
    /// back empty, sometimes at a new address.
    fn lose_disk(&mut self, n: usize, back: Duration) {
        let whole = |node: &crate::registry_node::RegistryNode| {
            let Some(core) = &node.core else { return false };
            let view = core.member().view();
            view.chain.as_slice().len() == 3 && view.fresh == 0
        };
        if !self.registries.iter().all(whole) {
            return;
        }
        self.kill_registry(n);
        self.registries[n].disk = Stored::default();
        self.registries[n].pending = None;
        if self.dice.random_bool(0.5) {
            self.registries[n].address = format!("10.0.9.{}:1", self.steps);
        }
        self.say(|| format!("registry {n} loses its disk"));
        self.after(back, Event::Mend { what: Mending::StartRegistry(n) });
    }

    fn cut(&mut self, kind: u32) {
        let registries: Vec<Place> = (0..3).map(Place::Registry).collect();
        let routers: Vec<Place> = (0..self.routers.len()).map(Place::Router).collect();
        let all: Vec<Place> = registries.iter().chain(&routers).copied().collect();
        let side: Vec<Place> = match kind {
            11 => vec![all[self.dice.random_range(0..all.len())]],
            12 => registries,
            _ => {
                let mut side = Vec::new();
                for place in &all {
                    if self.dice.random_bool(0.4) {
                        side.push(*place);
                    }
                }
                side
            }
        };
        let one_way = self.dice.random_ratio(1, 4);
        let mut cuts = Vec::new();
        for a in &side {
            for b in all.iter().filter(|b| !side.contains(b)) {
                cuts.push((*a, *b));
                if !one_way {
                    cuts.push((*b, *a));
                }
            }
        }
        self.say(|| format!("cut of {side:?}, one way {one_way}"));
        self.net.cuts.extend(cuts.iter().copied());
        let wait = self.ms(300, 8000);
        self.after(wait, Event::Mend { what: Mending::Heal(cuts) });
    }

    fn worker_fault(&mut self) {
        let crash = self.dice.random_bool(0.5);
        let ids: Vec<String> = self.yard.instances.keys().cloned().collect();
        for id in ids {
            if self.dice.random_ratio(1, 4) {
                if crash {
                    self.yard.instances.remove(&id);
                } else if let Some(instance) = self.yard.instances.get_mut(&id) {
                    instance.leaving = true;
                }
            }
        }
    }

    pub fn mend(&mut self, what: Mending) {
        match what {
            Mending::StartRegistry(n) => {
                if self.registries[n].full {
                    self.kill_registry(n);
                }
                self.start_registry(n);
            }
            Mending::EndRegistry(n) => {
                self.kill_registry(n);
                let back = self.ms(500, 3000);
                self.after(back, Event::Mend { what: Mending::StartRegistry(n) });
            }
            Mending::StartRouter(n) => self.start_router(n),
            Mending::Heal(cuts) => {
                for cut in &cuts {
                    self.net.cuts.remove(cut);
                }
                let ends: std::collections::BTreeSet<Place> = cuts.iter().flat_map(|(a, b)| [*a, *b]).collect();
                for (a, b) in &cuts {
                    let (Place::Router(n), id) = (*a, self.identity(*b).0) else { continue };
                    self.after(Duration::from_millis(2), Event::Link { router: n, id, up: false });
                    self.after(Duration::from_millis(30), Event::Link { router: n, id, up: true });
                }
                self.say(|| format!("cut healed at {} places", ends.len()));
            }
            Mending::Yard => {
                self.yard.lose = 0.0;
                self.yard.turn_away = 0.0;
                self.yard.unanswered = 0.0;
            }
        }
    }
}
