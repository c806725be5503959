//! How the larger failures are brought about: planned stops, freezes, lost disks, cuts, slow links,
//! workers lost or drained, instances that take less than was declared, seeds that move.

use crate::chances::Kind;
use crate::faults::Mending;
use crate::follow_ups::FollowUp;
use crate::replacement::{GRACE, LOOK};
use crate::world::{Event, Place, World};
use chain::StoredReplica;
use rand::RngExt;
use std::time::Duration;

impl World {
    /// A planned stop with its grace period: the router leaves, finishes what it has, then goes.
    pub(crate) fn leave_router(&mut self, n: usize) {
        let leaving = self.routers.iter().any(|node| node.leaving_since.is_some());
        if leaving || !self.routers[n].alive() || self.routers.iter().filter(|node| node.alive()).count() < 2 {
            return;
        }
        self.say(|| format!("router {n} is asked to leave"));
        self.routers[n].leaving_since = Some(self.now);
        self.follow(n, leases::FollowerInput::Leave);
    }

    /// A planned stop of a registry, one at a time, which is started again a little later.
    pub(crate) fn stop_registry(&mut self, n: usize) {
        let live = self.live_registries();
        let calm = |n: &usize| {
            let core = self.registries[*n].core.as_ref();
            let is_whole = |member: &chain::ChainReplica| member.view().chain.as_slice().len() == live.len();
            core.is_some_and(|core| is_whole(core.replica()) && core.replica().departure_deadline().is_none())
        };
        if !live.iter().all(calm) {
            return;
        }
        self.registries[n].last_trouble = self.now + GRACE;
        self.feed_registry(n, control::CoreInput::Leave { within: GRACE });
        let until = self.now + GRACE;
        self.follow_up(LOOK, FollowUp::Stopping { registry: n, until });
    }

    pub(crate) fn freeze(&mut self, place: Place) -> Duration {
        let lasts = self.ms(300, 6000);
        let until = self.now + lasts;
        self.say(|| format!("{place:?} freezes until {:.3}", until.as_secs_f64()));
        match place {
            Place::Registry(n) => self.registries[n].frozen_until = until,
            Place::Router(n) => self.routers[n].frozen_until = until,
        }
        lasts
    }

    /// Half of all machines freeze together and wake one by one.
    pub(crate) fn freeze_herd(&mut self) -> Duration {
        let mut most = Duration::ZERO;
        for place in self.places() {
            if self.dice.random_bool(0.5) {
                most = most.max(self.freeze(place));
            }
        }
        most
    }

    pub(crate) fn places(&self) -> Vec<Place> {
        self.live_registries()
            .into_iter()
            .map(Place::Registry)
            .chain((0..self.routers.len()).map(Place::Router))
            .collect()
    }

    /// Routers in the zone of a registry.
    pub(crate) fn zone_of(&self, registry: usize) -> Vec<usize> {
        (0..self.routers.len()).filter(|n| n % 3 == registry % 3).collect()
    }

    /// One disk is lost, only while the other two are whole in the chain with it; the machine comes
    /// back empty, sometimes at a new address.
    pub(crate) fn lose_disk(&mut self, n: usize, back: Duration) {
        let live = self.live_registries();
        let full = |n: &usize| {
            let Some(core) = &self.registries[*n].core else { return false };
            let view = core.replica().view();
            view.chain.as_slice().len() == live.len() && view.learner == 0
        };
        if !live.iter().all(full) {
            return;
        }
        self.kill_registry(n);
        self.registries[n].disk = StoredReplica::default();
        self.registries[n].seeds = self.addresses_of_others(n);
        self.registries[n].pending = None;
        self.registries[n].disk_lost = true;
        if self.dice.random_bool(0.5) {
            self.registries[n].address = format!("10.0.9.{}:1", self.steps);
        }
        self.say(|| format!("registry {n} loses its disk"));
        self.after(back, Event::Mend { what: Mending::StartRegistry(n) });
    }

    /// The seeds on every machine become the registries' present addresses, and a router is started
    /// anew by them.
    pub(crate) fn move_seeds(&mut self) {
        let live = self.live_registries().into_iter().take(3);
        self.seeds = live.map(|n| self.registries[n].address.clone()).collect();
        let router = self.dice.random_range(0..self.routers.len());
        self.kill_router_for(router, 200, 1000);
    }

    pub(crate) fn cut(&mut self, kind: Kind) -> Duration {
        let registries: Vec<Place> = self.live_registries().into_iter().map(Place::Registry).collect();
        let all = self.places();
        let one = self.dice.random_range(0..registries.len());
        let mut others = all.clone();
        let side: Vec<Place> = match kind {
            Kind::CutOne => vec![all[self.dice.random_range(0..all.len())]],
            Kind::CutCore => registries,
            Kind::CutInside => {
                others = registries.clone();
                vec![registries[one]]
            }
            Kind::CutPair => {
                others = vec![registries[(one + 1) % registries.len()]];
                vec![registries[one]]
            }
            Kind::CutZone => {
                let routers = self.zone_of(one).into_iter().map(Place::Router);
                [Place::Registry(one)].into_iter().chain(routers).collect()
            }
            _ => all.iter().copied().filter(|_| self.dice.random_bool(0.4)).collect(),
        };
        let one_way = self.dice.random_ratio(1, 4);
        let mut cuts = Vec::new();
        for a in &side {
            for b in others.iter().filter(|b| !side.contains(b)) {
                cuts.push((*a, *b));
                if !one_way {
                    cuts.push((*b, *a));
                }
            }
        }
        self.say(|| format!("cut of {side:?}, one way {one_way}"));
        self.net.cuts.extend(cuts.iter().copied());
        self.note_troubles();
        let wait = self.ms(300, 8000);
        self.after(wait, Event::Mend { what: Mending::Heal(cuts) });
        wait
    }

    pub(crate) fn heal(&mut self, cuts: Vec<(Place, Place)>) {
        for cut in &cuts {
            self.net.cuts.remove(cut);
        }
        self.note_troubles();
        for (a, b) in &cuts {
            let (Place::Router(n), id) = (*a, self.identity(*b).0) else { continue };
            self.after(Duration::from_millis(2), Event::Link { router: n, id, up: false });
            self.after(Duration::from_millis(30), Event::Link { router: n, id, up: true });
        }
        self.say(|| format!("cut healed, {} ways", cuts.len()));
    }

    /// Half of the links between routers are reset: half of what is on its way is lost, and both ends
    /// hear of it a little later.
    pub(crate) fn reset_links(&mut self) {
        for a in 0..self.routers.len() {
            for b in 0..a {
                if self.dice.random_bool(0.5) {
                    self.reset_link(Place::Router(a), Place::Router(b));
                }
            }
        }
    }

    fn reset_link(&mut self, a: Place, b: Place) {
        let ends = [(a, self.identity(b).0), (b, self.identity(a).0)];
        let dice = &mut self.dice;
        self.events.retain(|_, event| match event {
            Event::Frame { to, from, .. } if ends.contains(&(*to, *from)) => dice.random_bool(0.5),
            _ => true,
        });
        let ways = vec![(a, b), (b, a)];
        self.net.cuts.extend(ways.iter().copied());
        let unheard = self.ms(1, 20);
        self.after(unheard, Event::Mend { what: Mending::Heal(ways) });
    }

    /// Links that are slow but not lost: every frame of some pairs takes up to 600 ms.
    pub(crate) fn slow_links(&mut self, back: Duration) {
        let all = self.places();
        for a in &all {
            for b in &all {
                if a != b && self.dice.random_ratio(1, 5) {
                    let slow = self.ms(30, 600);
                    self.net.slow.insert((*a, *b), slow);
                }
            }
        }
        self.after(back, Event::Mend { what: Mending::Quicken });
    }

    pub(crate) fn worker_fault(&mut self) {
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

    /// Instances take less than their binding says: one function's or all, some of it or nothing,
    /// often while a crowd comes.
    pub(crate) fn overload(&mut self, back: Duration) {
        let all = self.dice.random_bool(0.5);
        let one = self.dice.random_range(0..self.plan.functions);
        for function in (0..self.plan.functions).filter(|function| all || *function == one) {
            let limit = self.dice.random_range(0..self.plan.limit);
            self.yard.limits.insert(crate::callers::service_of(function), limit);
        }
        self.yard.turn_away = if self.dice.random_bool(0.3) { 0.4 } else { 0.0 };
        if self.dice.random_bool(0.5) {
            self.callers.crowd = Some((one, self.now + back));
        }
        self.after(back, Event::Mend { what: Mending::Yard });
    }
}
