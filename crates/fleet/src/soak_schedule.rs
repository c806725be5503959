//! Schedule of a soak, drawn from a seed: signals, restarts, disk losses, cuts and changes, in series and
//! overlapping. At most one registry and a third of the routers are faulty at a time. Some routers are left
//! untouched; their resource use must stay flat.

use crate::faults::ScheduledFault;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// No fault happens before this time.
const FIRST_FAULT_SECONDS: f64 = 4.0;
/// Length of the last part of a run, without faults.
const CALM_END_SECONDS: f64 = 8.0;
/// Time after which a process that was told to stop has exited and is started again.
const STOP_SECONDS: f64 = 4.5;
/// Time for which a registry still counts as faulty after its return.
const CATCH_UP_SECONDS: f64 = 4.0;
const REGISTRIES: usize = 3;
/// One of this many routers is left untouched, and at least one.
const ROUTERS_PER_UNTOUCHED_ROUTER: usize = 5;

/// Size of the fleet and length of the soak.
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
    /// Returns the number of untouched routers, which are the first ones.
    pub fn untouched_routers(&self) -> usize {
        (self.routers / ROUTERS_PER_UNTOUCHED_ROUTER).max(1)
    }
}

/// Returns a schedule sorted by time; the same for the same seed.
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

    /// Faults of registries, one after the other, mostly with little time in between; sometimes the same registry
    /// twice in a row.
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
        // Each lane uses its own routers, so that faults of several lanes overlap but no router is in two lanes.
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

    /// Kills, stops, freezes or wipes a process and brings it back; returns how many seconds it is away.
    fn draw_process_fault(&mut self, rng: &mut impl Rng, kind: &str, target: usize, at: f64) -> f64 {
        let away_seconds = rng.random_range(0.2..2.0);
        match rng.random_range(0..if kind == "registry" { 4 } else { 3 }) {
            0 => {
                self.add(at, &format!("kill-{kind}"), target);
                self.add(at + away_seconds, &format!("start-{kind}"), target);
                away_seconds
            }
            1 => {
                self.add(at, &format!("stop-{kind}"), target);
                self.add(at + STOP_SECONDS, &format!("start-{kind}"), target);
                STOP_SECONDS
            }
            2 => {
                self.add(at, &format!("freeze-{kind}"), target);
                self.add(at + away_seconds, &format!("thaw-{kind}"), target);
                away_seconds
            }
            _ => {
                self.add(at, &format!("kill-{kind}"), target);
                self.add(at + 0.3, &format!("wipe-{kind}"), target);
                self.add(at + 0.4 + away_seconds, &format!("start-{kind}"), target);
                0.4 + away_seconds
            }
        }
    }

    /// Cuts of single links between routers, in one direction or both.
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

    /// Single changes, and occasionally bursts of a few per second.
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
