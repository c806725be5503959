//! A registry that is cut off for long: from all nodes, from the other registries or from the routers, in both
//! directions or one, with frames dropped silently, connections refused, or open connections reset. Changes are
//! sent to it during the cut and as it returns.

use crate::follow_ups::FollowUp;
use crate::world::{Event, NodeRef, World};
use rand::RngExt;
use std::time::Duration;

/// What else happens while a registry is cut off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cutoff {
    Once,
    Twice,
    Restarted,
    AllRestarted,
    Seeds,
}

/// How a cut shows itself to a node on the other side.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CutManner {
    /// Frames are dropped without notice.
    Silent,
    /// Connections break, and new ones are refused at once.
    Refused,
    /// Frames in flight are lost with their connections, and later frames are dropped without notice.
    Reset,
}

impl World {
    pub(crate) fn cut_off(&mut self, cutoff: Cutoff) -> Duration {
        let target = self.pick_registry();
        let lasts = self.random_ms(15_000, 22_000);
        let cuts = self.cuts_around(target);
        self.begin_cut(cuts.clone(), lasts);
        for _ in 0..4 {
            let wait = self.random_ms(500, 15_000);
            self.follow_up(wait, FollowUp::Change { registry: target, count: 1 });
        }
        self.follow_up(lasts + Duration::from_millis(5), FollowUp::Change { registry: target, count: 1 });
        match cutoff {
            Cutoff::Once => return lasts,
            Cutoff::Twice => {
                let wait = lasts + self.random_ms(5, 1500);
                let again = self.random_ms(3000, 8000);
                self.follow_up(wait, FollowUp::Cut { cuts, lasts: again });
                return wait + again;
            }
            Cutoff::Restarted => {
                let wait = self.random_ms(1000, 12_000);
                self.follow_up(wait, FollowUp::RestartRegistry { registry: target });
            }
            Cutoff::AllRestarted => self.restart_both_sides(target),
            Cutoff::Seeds => self.start_routers_with_seeds_of(target),
        }
        lasts
    }

    fn restart_both_sides(&mut self, target: usize) {
        let others: Vec<usize> = self.live_registries().into_iter().filter(|n| *n != target).collect();
        let mut wait = self.random_ms(1000, 4000);
        for registry in [target].into_iter().chain(others) {
            self.follow_up(wait, FollowUp::RestartRegistry { registry });
            wait += self.random_ms(300, 1500);
        }
    }

    /// Makes the isolated registry the first or only seed, and restarts some routers with these seeds.
    fn start_routers_with_seeds_of(&mut self, target: usize) {
        let live = self.live_registries();
        let others = live.into_iter().filter(|n| *n != target);
        let more = self.rng.random_range(0..2);
        let named: Vec<usize> = [target].into_iter().chain(others.take(more)).collect();
        self.seeds = named.iter().map(|n| self.registries[*n].address.clone()).collect();
        for n in 0..self.routers.len() {
            if self.rng.random_bool(0.4) {
                self.kill_router_for(n, 200, 2000);
            }
        }
    }

    /// Draws the links that a cut of this registry closes: to which nodes, and in which direction.
    fn cuts_around(&mut self, target: usize) -> Vec<(NodeRef, NodeRef)> {
        let me = NodeRef::Registry(target);
        let registries = self.live_registries().into_iter().map(NodeRef::Registry);
        let routers = (0..self.routers.len()).map(NodeRef::Router);
        let others: Vec<NodeRef> = match self.rng.random_range(0..4) {
            0 => routers.collect(),
            1 | 2 => registries.collect(),
            _ => registries.chain(routers).collect(),
        };
        let direction = self.rng.random_range(0..4);
        let mut cuts = Vec::new();
        for other in others.into_iter().filter(|other| *other != me) {
            if direction != 1 {
                cuts.push((me, other));
            }
            if direction != 2 {
                cuts.push((other, me));
            }
        }
        cuts
    }

    pub(crate) fn begin_cut(&mut self, cuts: Vec<(NodeRef, NodeRef)>, lasts: Duration) {
        let manner = match self.rng.random_range(0..3) {
            0 => CutManner::Refused,
            1 => CutManner::Reset,
            _ => CutManner::Silent,
        };
        self.log(|| format!("cut, {manner:?}, of {cuts:?} for {} ms", lasts.as_millis()));
        self.net.cuts.extend(cuts.iter().copied());
        self.update_disturbances();
        if manner != CutManner::Silent {
            cuts.iter().for_each(|(from, to)| self.break_connection(*from, *to));
        }
        self.schedule_after(lasts, Event::Repair { repair: crate::faults::Repair::HealCuts(cuts) });
        let until = self.now + lasts;
        self.rules.add_fault_span(self.now, until);
    }

    /// Resets half of the registries' open connections: frames in flight are lost, and both ends notice.
    pub(crate) fn reset_control_links(&mut self) {
        let nodes = self.nodes();
        for (index, a) in nodes.iter().enumerate() {
            for b in &nodes[index + 1..] {
                let controls = matches!(a, NodeRef::Registry(_)) || matches!(b, NodeRef::Registry(_));
                if controls && self.rng.random_bool(0.5) {
                    self.break_connection(*a, *b);
                    self.break_connection(*b, *a);
                }
            }
        }
    }

    /// Drops the frames in flight in one direction; a router at either end notices and reconnects.
    pub(crate) fn break_connection(&mut self, from: NodeRef, to: NodeRef) {
        self.drop_in_flight(from, to);
        for (near, far) in [(from, to), (to, from)] {
            let (NodeRef::Router(router), id) = (near, self.identity(far).0) else { continue };
            self.schedule_after(Duration::from_millis(1), Event::Link { router, id, up: false });
            self.schedule_after(Duration::from_millis(30), Event::Link { router, id, up: true });
        }
    }
}
