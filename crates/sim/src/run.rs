//! Runs of one seed, and their results.

use crate::plan::Plan;
use crate::sorts::Sort;
use crate::world::World;

/// Result of a run.
#[derive(Debug)]
pub struct Outcome {
    pub seed: u64,
    pub steps: u64,
    pub violations: Vec<String>,
    pub summary: String,
}

/// Runs a seed to its end and checks the rules; prints a log of the run if `trace` is set.
pub fn run(seed: u64, sort: Sort, trace: bool) -> Outcome {
    let mut world = World::new(seed, Plan::new(seed, sort));
    world.trace = trace;
    while world.step() {}
    if world.rules.violations.is_empty() {
        world.check_end();
    }
    if trace {
        world.node_states().into_iter().for_each(|line| eprintln!("{line}"));
    }
    let summary = world.summary();
    Outcome { seed, steps: world.steps, violations: world.rules.violations, summary }
}

/// Runs a seed and returns the fingerprint of the run and its number of steps.
pub fn fingerprint(seed: u64, sort: Sort) -> (u32, u64) {
    let mut world = World::new(seed, Plan::new(seed, sort));
    world.fingerprint.switch_on();
    while world.step() {}
    (world.fingerprint.value(), world.steps)
}
