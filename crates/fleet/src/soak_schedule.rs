//! What a soak does to its fleet: a timetable drawn from a seed, with signals, restarts, replacements, cuts and changes
//! that come in series and overlap. One registry at a time is in trouble, and a third of the routers at most; some
//! routers are left alone, as witnesses whose use of the machine must stay flat.

use crate::faults::Timed;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// Nothing happens before this, nor in the last part of a run.
const FIRST_FAULT: f64 = 4.0;
const CALM_END: f64 = 8.0;
/// A process that was told to stop has ended this long after, and is started again.
const STOP_SECONDS: f64 = 4.5;
/// A registry counts as in trouble for so long after it is back.
const CATCH_UP_SECONDS: f64 = 4.0;
const REGISTRIES: usize = 3;
/// Routers that are left alone: one in so many, one at least.
const WITNESSES_ONE_IN: usize = 5;

/// How much is done to a fleet.
#[derive(Clone, Copy, Debug)]
pub struct Extent {
    /// Length of the load in seconds.
    pub seconds: u64,
    /// Routers of the fleet.
    pub routers: usize,
    /// Workers of the platform.
    pub workers: usize,
}

impl Extent {
    /// The first routers are witnesses.
    pub fn witnesses(&self) -> usize {
        (self.routers / WITNESSES_ONE_IN).max(1)
    }
}

/// A timetable in order of time; the same for the same seed.
pub fn draw(seed: u64, extent: Extent) -> Vec<Timed> {
    let mut dice = ChaCha8Rng::seed_from_u64(seed);
    let mut schedule = Schedule { faults: Vec::new(), end: extent.seconds as f64 - CALM_END };
    schedule.draw_registries(&mut dice);
    schedule.draw_routers(&mut dice, extent);
    schedule.draw_links(&mut dice, extent);
    schedule.draw_platform(&mut dice, extent);
    schedule.draw_changes(&mut dice);
    schedule.faults.sort_by_key(|fault| fault.at);
    schedule.faults
}

struct Schedule {
    faults: Vec<Timed>,
    end: f64,
}

impl Schedule {
    fn add(&mut self, at: f64, what: &str, which: impl ToString) {
        let at = Duration::from_millis((at * 1000.0) as u64);
        self.faults.push(Timed { at, what: what.to_owned(), which: which.to_string() });
    }

    /// One after the other, mostly with little time in between; sometimes the same one twice.
    fn draw_registries(&mut self, dice: &mut impl Rng) {
        let mut at = FIRST_FAULT + dice.random_range(0.0..2.0);
        while at < self.end - STOP_SECONDS {
            let which = dice.random_range(0..REGISTRIES);
            let lasts = self.draw_process_fault(dice, "registry", which, at);
            at += lasts + CATCH_UP_SECONDS + dice.random_range(0.0..2.0);
        }
    }

    fn draw_routers(&mut self, dice: &mut impl Rng, extent: Extent) {
        let first = extent.witnesses();
        let count = extent.routers.saturating_sub(first);
        // Each lane goes round its own routers, so that lanes overlap and no router is in two.
        let lanes = (extent.routers / 3).clamp(1, 8).min(count);
        for lane in 0..lanes {
            let mut at = FIRST_FAULT + dice.random_range(0.0..4.0);
            while at < self.end - STOP_SECONDS {
                let turn = dice.random_range(0..count.div_ceil(lanes));
                let which = first + (lane + turn * lanes).min(count - 1);
                let is_of_lane = (which - first) % lanes == lane;
                if is_of_lane {
                    at += self.draw_process_fault(dice, "router", which, at);
                }
                at += dice.random_range(0.5..4.0);
            }
        }
    }

    /// Kills, stops, freezes or empties a process and brings it back; returns how long it is away.
    fn draw_process_fault(&mut self, dice: &mut impl Rng, kind: &str, which: usize, at: f64) -> f64 {
        let back = dice.random_range(0.2..2.0);
        match dice.random_range(0..if kind == "registry" { 4 } else { 3 }) {
            0 => {
                self.add(at, &format!("kill-{kind}"), which);
                self.add(at + back, &format!("start-{kind}"), which);
                back
            }
            1 => {
                self.add(at, &format!("stop-{kind}"), which);
                self.add(at + STOP_SECONDS, &format!("start-{kind}"), which);
                STOP_SECONDS
            }
            2 => {
                self.add(at, &format!("freeze-{kind}"), which);
                self.add(at + back, &format!("thaw-{kind}"), which);
                back
            }
            _ => {
                self.add(at, &format!("kill-{kind}"), which);
                self.add(at + 0.3, &format!("wipe-{kind}"), which);
                self.add(at + 0.4 + back, &format!("start-{kind}"), which);
                0.4 + back
            }
        }
    }

    /// Single links between routers, one way or both.
    fn draw_links(&mut self, dice: &mut impl Rng, extent: Extent) {
        let mut at = FIRST_FAULT + dice.random_range(2.0..6.0);
        while at < self.end && extent.routers > 1 {
            let (one, other) = (dice.random_range(0..extent.routers), dice.random_range(0..extent.routers));
            let what = if dice.random_bool(0.5) { "cut" } else { "cut-one-way" };
            if one != other {
                self.add(at, what, format!("router-{one}/router-{other}"));
                at += dice.random_range(0.3..2.5);
                self.add(at, "heal", "");
            }
            at += dice.random_range(3.0..9.0);
        }
    }

    fn draw_platform(&mut self, dice: &mut impl Rng, extent: Extent) {
        let mut at = FIRST_FAULT + dice.random_range(3.0..9.0);
        while at < self.end && extent.workers > 1 {
            self.add(at, "crash-worker", dice.random_range(0..extent.workers));
            at += dice.random_range(8.0..16.0);
        }
    }

    /// Single changes, and now and then a few a second.
    fn draw_changes(&mut self, dice: &mut impl Rng) {
        let mut at = FIRST_FAULT + dice.random_range(0.0..3.0);
        let mut number = 0;
        while at < self.end {
            let burst = if dice.random_bool(0.3) { dice.random_range(3..7) } else { 1 };
            for _ in 0..burst {
                number += 1;
                self.add(at, "patch", format!("soak-{number}"));
                at += dice.random_range(0.15..0.4);
            }
            at += dice.random_range(1.0..5.0);
        }
    }
}

#[cfg(test)]
#[path = "soak_schedule_tests.rs"]
mod soak_schedule_tests;
