//! What a soak does to its fleet: a timetable drawn from a seed, with signals, restarts, replacements, cuts and changes
//! that come in series and overlap. One registry at a time is in trouble, and a third of the routers at most; some
//! routers are left alone, as witnesses whose use of the machine must stay flat.

use crate::faults::ScheduledFault;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// Nothing happens before this, nor in the last part of a run.
const FIRST_FAULT_SECONDS: f64 = 4.0;
const CALM_END_SECONDS: f64 = 8.0;
/// A process that was told to stop has ended this long after, and is started again.
const STOP_SECONDS: f64 = 4.5;
/// A registry counts as in trouble for so long after it is back.
const CATCH_UP_SECONDS: f64 = 4.0;
const REGISTRIES: usize = 3;
/// Routers that are left alone: one in so many, one at least.
const ROUTERS_PER_UNTOUCHED_ROUTER: usize = 5;

/// How much is done to a fleet.
#[derive(Clone, Copy, Debug)]
pub struct SoakSize {
    /// Length of the load in seconds.
    pub seconds: u64,
    /// Routers of the fleet.
    pub routers: usize,
    /// Workers of the platform.
    pub workers: usize,
}

impl SoakSize {
    /// The first routers are witnesses.
    pub fn untouched_routers(&self) -> usize {
        (self.routers / ROUTERS_PER_UNTOUCHED_ROUTER).max(1)
    }
}

/// A timetable in order of time; the same for the same seed.
pub fn draw_schedule(seed: u64, size: SoakSize) -> Vec<ScheduledFault> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut schedule = Schedule { faults: Vec::new(), end: size.seconds as f64 - CALM_END_SECONDS };
    schedule.draw_registries(&mut rng);
    schedule.draw_routers(&mut rng, size);
    schedule.draw_links(&mut rng, size);
    schedule.draw_platform(&mut rng, size);
    schedule.draw_changes(&mut rng);
    schedule.faults.sort_by_key(|fault| fault.at);
    schedule.faults
}

struct Schedule {
    faults: Vec<ScheduledFault>,
    end: f64,
}

impl Schedule {
    fn add(&mut self, at: f64, kind: &str, target: impl ToString) {
        let at = Duration::from_millis((at * 1000.0) as u64);
        self.faults.push(ScheduledFault { at, kind: kind.to_owned(), target: target.to_string() });
    }

    /// One after the other, mostly with little time in between; sometimes the same one twice.
    fn draw_registries(&mut self, rng: &mut impl Rng) {
        let mut at = FIRST_FAULT_SECONDS + rng.random_range(0.0..2.0);
        while at < self.end - STOP_SECONDS {
            let target = rng.random_range(0..REGISTRIES);
            let fault_seconds = self.draw_process_fault(rng, "registry", target, at);
            at += fault_seconds + CATCH_UP_SECONDS + rng.random_range(0.0..2.0);
        }
    }

    fn draw_routers(&mut self, rng: &mut impl Rng, size: SoakSize) {
        let first = size.untouched_routers();
        let count = size.routers.saturating_sub(first);
        // Each lane goes round its own routers, so that lanes overlap and no router is in two.
        let lane_count = (size.routers / 3).clamp(1, 8).min(count);
        for lane in 0..lane_count {
            let mut at = FIRST_FAULT_SECONDS + rng.random_range(0.0..4.0);
            while at < self.end - STOP_SECONDS {
                let turn = rng.random_range(0..count.div_ceil(lane_count));
                let target = first + (lane + turn * lane_count).min(count - 1);
                let belongs_to_lane = (target - first) % lane_count == lane;
                if belongs_to_lane {
                    at += self.draw_process_fault(rng, "router", target, at);
                }
                at += rng.random_range(0.5..4.0);
            }
        }
    }

    /// Kills, stops, freezes or empties a process and brings it back; returns how long it is away.
    fn draw_process_fault(&mut self, rng: &mut impl Rng, node_kind: &str, target: usize, at: f64) -> f64 {
        let away_seconds = rng.random_range(0.2..2.0);
        match rng.random_range(0..if node_kind == "registry" { 4 } else { 3 }) {
            0 => {
                self.add(at, &format!("kill-{node_kind}"), target);
                self.add(at + away_seconds, &format!("start-{node_kind}"), target);
                away_seconds
            }
            1 => {
                self.add(at, &format!("stop-{node_kind}"), target);
                self.add(at + STOP_SECONDS, &format!("start-{node_kind}"), target);
                STOP_SECONDS
            }
            2 => {
                self.add(at, &format!("freeze-{node_kind}"), target);
                self.add(at + away_seconds, &format!("thaw-{node_kind}"), target);
                away_seconds
            }
            _ => {
                self.add(at, &format!("kill-{node_kind}"), target);
                self.add(at + 0.3, &format!("wipe-{node_kind}"), target);
                self.add(at + 0.4 + away_seconds, &format!("start-{node_kind}"), target);
                0.4 + away_seconds
            }
        }
    }

    /// Single links between routers, one way or both.
    fn draw_links(&mut self, rng: &mut impl Rng, size: SoakSize) {
        let mut at = FIRST_FAULT_SECONDS + rng.random_range(2.0..6.0);
        while at < self.end && size.routers > 1 {
            let (one, other) = (rng.random_range(0..size.routers), rng.random_range(0..size.routers));
            let kind = if rng.random_bool(0.5) { "cut" } else { "cut-one-way" };
            if one != other {
                self.add(at, kind, format!("router-{one}/router-{other}"));
                at += rng.random_range(0.3..2.5);
                self.add(at, "heal", "");
            }
            at += rng.random_range(3.0..9.0);
        }
    }

    fn draw_platform(&mut self, rng: &mut impl Rng, size: SoakSize) {
        let mut at = FIRST_FAULT_SECONDS + rng.random_range(3.0..9.0);
        while at < self.end && size.workers > 1 {
            self.add(at, "crash-worker", rng.random_range(0..size.workers));
            at += rng.random_range(8.0..16.0);
        }
    }

    /// Single changes, and now and then a few a second.
    fn draw_changes(&mut self, rng: &mut impl Rng) {
        let mut at = FIRST_FAULT_SECONDS + rng.random_range(0.0..3.0);
        let mut number = 0;
        while at < self.end {
            let burst = if rng.random_bool(0.3) { rng.random_range(3..7) } else { 1 };
            for _ in 0..burst {
                number += 1;
                self.add(at, "patch", format!("soak-{number}"));
                at += rng.random_range(0.15..0.4);
            }
            at += rng.random_range(1.0..5.0);
        }
    }
}

#[cfg(test)]
#[path = "soak_schedule_tests.rs"]
mod soak_schedule_tests;
