//! The searches: exhaustive to a depth with visited states skipped, random walks, and replays.

use crate::choice::Choice;
use crate::world::World;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::HashMap;
use std::time::Instant;

/// Limits at which an exhaustive search ends.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Maximum number of choices from the start.
    pub depth: usize,
    /// Maximum number of states to reach.
    pub states: u64,
    /// Maximum duration in seconds.
    pub seconds: u64,
    /// Number of distinct states between two probes; 0 disables probes.
    pub probe_every: u64,
}

/// A violated invariant and the choices that led to it.
#[derive(Clone, Debug)]
pub struct Finding {
    pub violation: String,
    pub path: Vec<Choice>,
}

/// Result of an exhaustive search.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Number of states reached, including repeated visits.
    pub explored: u64,
    /// Number of different states reached.
    pub distinct: u64,
    /// Number of states from which a probe was run.
    pub probed: u64,
    /// Largest number of choices taken from the start.
    pub deepest: usize,
    /// Whether every choice within the depth limit was explored.
    pub complete: bool,
    /// Duration of the search.
    pub seconds: f64,
    pub finding: Option<Finding>,
}

struct Search<'a> {
    limits: &'a Limits,
    /// Smallest depth at which each state, identified by its digest, was reached.
    visited: HashMap<u64, usize>,
    path: Vec<Choice>,
    report: Report,
    started: Instant,
}

/// Explores every sequence of choices from a state within the limits.
pub fn explore(start: &World, limits: &Limits) -> Report {
    let started = Instant::now();
    let mut search = Search { limits, visited: HashMap::new(), path: Vec::new(), report: Report::default(), started };
    search.report.complete = true;
    search.descend(start);
    search.report.distinct = search.visited.len() as u64;
    search.report.seconds = started.elapsed().as_secs_f64();
    search.report
}

impl Search<'_> {
    fn descend(&mut self, world: &World) {
        if self.path.len() >= self.limits.depth || self.report.finding.is_some() {
            return;
        }
        for choice in world.choices() {
            let out_of_time = self.started.elapsed().as_secs() >= self.limits.seconds;
            if out_of_time || self.report.explored >= self.limits.states {
                self.report.complete = false;
                return;
            }
            let mut next = world.clone();
            next.apply_choice(&choice);
            self.path.push(choice);
            self.visit(&mut next);
            self.path.pop();
            if self.report.finding.is_some() {
                return;
            }
        }
    }

    fn visit(&mut self, world: &mut World) {
        let depth = self.path.len();
        self.report.explored += 1;
        self.report.deepest = self.report.deepest.max(depth);
        let digest = world.digest();
        let known_depth = self.visited.get(&digest).copied();
        if known_depth.is_some_and(|known_depth| known_depth <= depth) {
            return;
        }
        self.visited.insert(digest, depth);
        let every = self.limits.probe_every;
        let is_probe_due = every > 0 && (self.visited.len() as u64).is_multiple_of(every);
        if known_depth.is_none() && is_probe_due {
            self.report.probed += 1;
            world.probe();
        }
        if let Some(violation) = world.history.violation.clone() {
            self.report.finding = Some(Finding { violation, path: self.path.clone() });
            return;
        }
        self.descend(world);
    }
}

/// Runs a random walk of `length` choices and a probe at its end.
pub fn walk(start: &World, seed: u64, length: usize) -> Option<Finding> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let picks: Vec<u16> = (0..length).map(|_| random.random()).collect();
    replay(start, &picks)
}

/// Takes for each pick the choice at that index, modulo the number of choices, and probes at the end.
pub fn replay(start: &World, picks: &[u16]) -> Option<Finding> {
    let mut world = start.clone();
    let mut path = Vec::new();
    for pick in picks {
        let choices = world.choices();
        let Some(choice) = choices.get(*pick as usize % choices.len().max(1)) else { break };
        path.push(choice.clone());
        world.apply_choice(choice);
        if let Some(violation) = world.history.violation.take() {
            return Some(Finding { violation, path });
        }
    }
    world.probe();
    world.history.violation.take().map(|violation| Finding { violation, path })
}
