//! Implementation of the larger faults: planned stops, freezes, lost disks, cuts, slow links, crashed or draining
//! instances, instances that accept less than their declared limit, and changed seeds.

use crate::faults::Repair;
use crate::follow_ups::FollowUp;
use crate::replacement::{GRACE, POLL_INTERVAL};
use crate::sorts::FaultKind;
use crate::world::{Event, NodeRef, World};
use chain::StoredReplica;
use rand::RngExt;
use std::time::Duration;

impl World {
    /// Starts a planned stop with a grace period: the router leaves, finishes its open work, then stops.
    pub(crate) fn leave_router(&mut self, n: usize) {
        let leaving = self.routers.iter().any(|node| node.leaving_since.is_some());
        if leaving || !self.routers[n].is_running() || self.routers.iter().filter(|node| node.is_running()).count() < 2
        {
            return;
        }
        self.log(|| format!("router {n} is asked to leave"));
        self.routers[n].leaving_since = Some(self.now);
        self.feed_follower(n, leases::FollowerInput::Leave);
    }

    /// Starts a planned stop of a registry, one at a time; the registry is restarted a little later.
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
        self.registries[n].last_disturbed = self.now + GRACE;
        self.feed_registry(n, control::CoreInput::Leave { within: GRACE });
        let until = self.now + GRACE;
        self.follow_up(POLL_INTERVAL, FollowUp::Stopping { registry: n, until });
    }

    pub(crate) fn freeze(&mut self, node_ref: NodeRef) -> Duration {
        let lasts = self.random_ms(300, 6000);
        let until = self.now + lasts;
        self.log(|| format!("{node_ref:?} freezes until {:.3}", until.as_secs_f64()));
        match node_ref {
            NodeRef::Registry(n) => self.registries[n].frozen_until = until,
            NodeRef::Router(n) => self.routers[n].frozen_until = until,
        }
        lasts
    }

    /// Freezes half of all machines together; each resumes at its own time.
    pub(crate) fn freeze_half(&mut self) -> Duration {
        let mut most = Duration::ZERO;
        for node_ref in self.nodes() {
            if self.rng.random_bool(0.5) {
                most = most.max(self.freeze(node_ref));
            }
        }
        most
    }

    pub(crate) fn nodes(&self) -> Vec<NodeRef> {
        self.live_registries()
            .into_iter()
            .map(NodeRef::Registry)
            .chain((0..self.routers.len()).map(NodeRef::Router))
            .collect()
    }

    /// Returns the routers in the zone of a registry.
    pub(crate) fn routers_in_zone_of(&self, registry: usize) -> Vec<usize> {
        (0..self.routers.len()).filter(|n| n % 3 == registry % 3).collect()
    }

    /// Loses one disk, but only while all registries are full members of the chain. The machine comes back with an
    /// empty disk, sometimes at a new address.
    pub(crate) fn lose_disk(&mut self, n: usize, outage: Duration) {
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
        self.registries[n].is_disk_lost = true;
        if self.rng.random_bool(0.5) {
            self.registries[n].address = format!("10.0.9.{}:1", self.steps);
        }
        self.log(|| format!("registry {n} loses its disk"));
        self.schedule_after(outage, Event::Repair { repair: Repair::StartRegistry(n) });
    }

    /// Sets the seeds on every machine to the registries' current addresses, and restarts a router with them.
    pub(crate) fn move_seeds(&mut self) {
        let live = self.live_registries().into_iter().take(3);
        self.seeds = live.map(|n| self.registries[n].address.clone()).collect();
        let router = self.rng.random_range(0..self.routers.len());
        self.kill_router_for(router, 200, 1000);
    }

    pub(crate) fn cut(&mut self, kind: FaultKind) -> Duration {
        let registries: Vec<NodeRef> = self.live_registries().into_iter().map(NodeRef::Registry).collect();
        let all = self.nodes();
        let one = self.rng.random_range(0..registries.len());
        let mut others = all.clone();
        let side: Vec<NodeRef> = match kind {
            FaultKind::CutOne => vec![all[self.rng.random_range(0..all.len())]],
            FaultKind::CutCore => registries,
            FaultKind::CutInside => {
                others = registries.clone();
                vec![registries[one]]
            }
            FaultKind::CutPair => {
                others = vec![registries[(one + 1) % registries.len()]];
                vec![registries[one]]
            }
            FaultKind::CutZone => {
                let routers = self.routers_in_zone_of(one).into_iter().map(NodeRef::Router);
                [NodeRef::Registry(one)].into_iter().chain(routers).collect()
            }
            _ => all.iter().copied().filter(|_| self.rng.random_bool(0.4)).collect(),
        };
        let one_way = self.rng.random_ratio(1, 4);
        let mut cuts = Vec::new();
        for a in &side {
            for b in others.iter().filter(|b| !side.contains(b)) {
                cuts.push((*a, *b));
                if !one_way {
                    cuts.push((*b, *a));
                }
            }
        }
        self.log(|| format!("cut of {side:?}, one way {one_way}"));
        self.net.cuts.extend(cuts.iter().copied());
        self.update_disturbances();
        let wait = self.random_ms(300, 8000);
        self.schedule_after(wait, Event::Repair { repair: Repair::HealCuts(cuts) });
        wait
    }

    pub(crate) fn heal_cuts(&mut self, cuts: Vec<(NodeRef, NodeRef)>) {
        for cut in &cuts {
            self.net.cuts.remove(cut);
        }
        self.update_disturbances();
        for (a, b) in &cuts {
            let (NodeRef::Router(n), id) = (*a, self.identity(*b).0) else { continue };
            self.schedule_after(Duration::from_millis(2), Event::Link { router: n, id, up: false });
            self.schedule_after(Duration::from_millis(30), Event::Link { router: n, id, up: true });
        }
        self.log(|| format!("cut healed, {} ways", cuts.len()));
    }

    /// Resets half of the links between routers: half of the frames in flight are lost, and both ends notice a
    /// little later.
    pub(crate) fn reset_links(&mut self) {
        for a in 0..self.routers.len() {
            for b in 0..a {
                if self.rng.random_bool(0.5) {
                    self.reset_link(NodeRef::Router(a), NodeRef::Router(b));
                }
            }
        }
    }

    fn reset_link(&mut self, a: NodeRef, b: NodeRef) {
        let ends = [(a, self.identity(b).0), (b, self.identity(a).0)];
        let rng = &mut self.rng;
        self.events.retain(|_, event| match event {
            Event::Frame { to, from, .. } if ends.contains(&(*to, *from)) => rng.random_bool(0.5),
            _ => true,
        });
        let ways = vec![(a, b), (b, a)];
        self.net.cuts.extend(ways.iter().copied());
        let unheard = self.random_ms(1, 20);
        self.schedule_after(unheard, Event::Repair { repair: Repair::HealCuts(ways) });
    }

    /// Slows down some links: every frame on them takes up to 600 ms.
    pub(crate) fn slow_links(&mut self, outage: Duration) {
        let all = self.nodes();
        for a in &all {
            for b in &all {
                if a != b && self.rng.random_ratio(1, 5) {
                    let slow = self.random_ms(30, 600);
                    self.net.slow_links.insert((*a, *b), slow);
                }
            }
        }
        self.schedule_after(outage, Event::Repair { repair: Repair::EndSlowLinks });
    }

    pub(crate) fn worker_fault(&mut self) {
        let crash = self.rng.random_bool(0.5);
        let ids: Vec<String> = self.platform.instances.keys().cloned().collect();
        for id in ids {
            if self.rng.random_ratio(1, 4) {
                if crash {
                    self.platform.instances.remove(&id);
                } else if let Some(instance) = self.platform.instances.get_mut(&id) {
                    instance.leaving = true;
                }
            }
        }
    }

    /// Makes the instances of one function or of all accept less than their binding's limit, or nothing, often
    /// during a rush of requests for one function.
    pub(crate) fn overload(&mut self, outage: Duration) {
        let all = self.rng.random_bool(0.5);
        let one = self.rng.random_range(0..self.plan.functions);
        for function in (0..self.plan.functions).filter(|function| all || *function == one) {
            let limit = self.rng.random_range(0..self.plan.limit);
            self.platform.reduced_limits.insert(crate::callers::service_of(function), limit);
        }
        self.platform.rejection_rate = if self.rng.random_bool(0.3) { 0.4 } else { 0.0 };
        if self.rng.random_bool(0.5) {
            self.callers.crowd = Some((one, self.now + outage));
        }
        self.schedule_after(outage, Event::Repair { repair: Repair::RestorePlatform });
    }
}
