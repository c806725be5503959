//! A registry cut off for long: from everyone, from the other registries or from the routers, both ways or
//! one, in silence, with connections refused, or with those reset that were held. Changes are sent to it
//! throughout, and as it returns.

use crate::follow_ups::FollowUp;
use crate::world::{Event, Place, World};
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

/// What a node at the other side of a cut notices of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Manner {
    /// Frames are dropped and nothing is told.
    Silent,
    /// Connections break, and new ones are refused at once.
    ProposalRejected,
    /// Frames on the way are lost with their connections, and then all is silent.
    Reset,
}

impl World {
    pub(crate) fn cut_off(&mut self, what: Cutoff) -> Duration {
        let target = self.chosen_registry();
        let lasts = self.ms(15_000, 22_000);
        let cuts = self.cuts_around(target);
        self.begin_cut(cuts.clone(), lasts);
        for _ in 0..4 {
            let wait = self.ms(500, 15_000);
            self.follow_up(wait, FollowUp::Change { registry: target, count: 1 });
        }
        self.follow_up(lasts + Duration::from_millis(5), FollowUp::Change { registry: target, count: 1 });
        match what {
            Cutoff::Once => return lasts,
            Cutoff::Twice => {
                let wait = lasts + self.ms(5, 1500);
                let again = self.ms(3000, 8000);
                self.follow_up(wait, FollowUp::Cut { cuts, lasts: again });
                return wait + again;
            }
            Cutoff::Restarted => {
                let wait = self.ms(1000, 12_000);
                self.follow_up(wait, FollowUp::RestartRegistry { registry: target });
            }
            Cutoff::AllRestarted => self.restart_both_sides(target),
            Cutoff::Seeds => self.start_routers_with_seeds_of(target),
        }
        lasts
    }

    fn restart_both_sides(&mut self, target: usize) {
        let others: Vec<usize> = self.live_registries().into_iter().filter(|n| *n != target).collect();
        let mut wait = self.ms(1000, 4000);
        for registry in [target].into_iter().chain(others) {
            self.follow_up(wait, FollowUp::RestartRegistry { registry });
            wait += self.ms(300, 1500);
        }
    }

    /// Settings written now name the registry that is cut off, alone or first, and some routers start by them.
    fn start_routers_with_seeds_of(&mut self, target: usize) {
        let live = self.live_registries();
        let others = live.into_iter().filter(|n| *n != target);
        let more = self.dice.random_range(0..2);
        let named: Vec<usize> = [target].into_iter().chain(others.take(more)).collect();
        self.seeds = named.iter().map(|n| self.registries[*n].address.clone()).collect();
        for n in 0..self.routers.len() {
            if self.dice.random_bool(0.4) {
                self.kill_router_for(n, 200, 2000);
            }
        }
    }

    /// The ways that a cut of this registry closes: to whom, and in which direction, is drawn.
    fn cuts_around(&mut self, target: usize) -> Vec<(Place, Place)> {
        let me = Place::Registry(target);
        let registries = self.live_registries().into_iter().map(Place::Registry);
        let routers = (0..self.routers.len()).map(Place::Router);
        let others: Vec<Place> = match self.dice.random_range(0..4) {
            0 => routers.collect(),
            1 | 2 => registries.collect(),
            _ => registries.chain(routers).collect(),
        };
        let direction = self.dice.random_range(0..4);
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

    pub(crate) fn begin_cut(&mut self, cuts: Vec<(Place, Place)>, lasts: Duration) {
        let manner = match self.dice.random_range(0..3) {
            0 => Manner::ProposalRejected,
            1 => Manner::Reset,
            _ => Manner::Silent,
        };
        self.say(|| format!("cut, {manner:?}, of {cuts:?} for {} ms", lasts.as_millis()));
        self.net.cuts.extend(cuts.iter().copied());
        self.note_troubles();
        if manner != Manner::Silent {
            cuts.iter().for_each(|(from, to)| self.break_connection(*from, *to));
        }
        self.after(lasts, Event::Mend { what: crate::faults::Mending::Heal(cuts) });
        let until = self.now + lasts;
        self.rules.faulty(self.now, until);
    }

    /// Half of the connections held by registries are reset: what was on the way is lost, and both ends know.
    pub(crate) fn reset_control_links(&mut self) {
        let places = self.places();
        for (index, a) in places.iter().enumerate() {
            for b in &places[index + 1..] {
                let controls = matches!(a, Place::Registry(_)) || matches!(b, Place::Registry(_));
                if controls && self.dice.random_bool(0.5) {
                    self.break_connection(*a, *b);
                    self.break_connection(*b, *a);
                }
            }
        }
    }

    /// What was sent one way and has not arrived is lost; a router at either end is told, and dials anew.
    pub(crate) fn break_connection(&mut self, from: Place, to: Place) {
        self.drop_in_flight(from, to);
        for (near, far) in [(from, to), (to, from)] {
            let (Place::Router(router), id) = (near, self.identity(far).0) else { continue };
            self.after(Duration::from_millis(1), Event::Link { router, id, up: false });
            self.after(Duration::from_millis(30), Event::Link { router, id, up: true });
        }
    }
}
