//! Tuning weight sheets by what was measured, slowly and within their bounds. A function that was
//! short (tasks refused, rejected or kept waiting though instances ran) is planned with a lower
//! usage and a higher shortfall penalty; one that was calm for long goes back, and a little beyond
//! where its bounds allow it. The startup delay follows the boots that were seen. The sheet as declared
//! stays as it is: what is in force is a view beside it, and says why.

use crate::window::STEP;
use bindings::{Function, WeightSheet};
use std::collections::BTreeMap;
use std::time::Duration;

const REST: u32 = 4;
const CALM: u32 = 40;
const LOWER: f64 = 0.02;
const RAISE: f64 = 0.01;
const SHARPER: f64 = 1.1;
const MILDER: f64 = 0.95;
const WAITING: f64 = 0.5;
const AGREEING: u32 = 3;

/// What an owner saw of one function in one step.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Measure {
    /// Mean time from the order to readiness of the instances that came up.
    pub boot: Duration,
    /// How many came up.
    pub boots: u32,
    /// Requests refused by the owner.
    pub refused: u32,
    /// Requests that instances rejected for want of room.
    pub rejections: u32,
    /// Mean number of requests waiting.
    pub waiting: f64,
    /// Utilization of the instances' slots, 0 to 1.
    pub usage: f64,
}

/// The tuned fields of one weight sheet.
#[derive(Clone, Debug, PartialEq)]
pub struct Tuned {
    /// Steps between an order and a ready instance.
    pub startup_delay_steps: u32,
    /// The utilization that capacity is planned at, 0 to 1.
    pub target_usage: f64,
    /// The cost of uncovered demand.
    pub sla_hard: f64,
    /// The reason for the latest change.
    pub why: String,
}

#[derive(Clone, Debug)]
struct Track {
    tuned: Tuned,
    declared: WeightSheet,
    boot: Duration,
    agreeing: u32,
    rest: u32,
    calm: u32,
}

/// Sets fields of weight sheets within their declared bounds, by what owners measured.
pub struct Tuner {
    step: Duration,
    tracks: BTreeMap<String, Track>,
}

fn declared(sheet: &WeightSheet) -> Tuned {
    let WeightSheet { startup_delay_steps, target_usage, sla_hard, .. } = *sheet;
    Tuned { startup_delay_steps, target_usage, sla_hard, why: String::new() }
}

impl Track {
    fn new(sheet: &WeightSheet) -> Track {
        let tuned = declared(sheet);
        Track { tuned, declared: sheet.clone(), boot: Duration::ZERO, agreeing: 0, rest: 0, calm: 0 }
    }

    fn take(&mut self, measure: Measure, step: Duration) {
        self.follow_boots(measure, step);
        let short = measure.refused > 0 || measure.rejections > 0 || measure.waiting > WAITING;
        self.calm = if short { 0 } else { self.calm + 1 };
        self.rest = self.rest.saturating_sub(1);
        if self.rest > 0 {
            return;
        }
        if short {
            self.rest = REST;
            let Measure { refused, rejections, waiting, .. } = measure;
            self.move_to(
                -LOWER,
                SHARPER,
                format!("short: {refused} refused, {rejections} turned away, {waiting:.2} waiting"),
            );
        } else if self.calm >= CALM {
            self.calm = CALM / 2;
            self.rest = REST;
            let room = measure.usage < self.tuned.target_usage;
            self.move_to(if room { RAISE } else { 0.0 }, MILDER, "calm for ten minutes".into());
        }
    }

    fn move_to(&mut self, usage: f64, hard: f64, why: String) {
        let before = (self.tuned.target_usage, self.tuned.sla_hard);
        if let Some(bounds) = self.declared.target_usage_bounds() {
            self.tuned.target_usage = bounds.clamp(self.tuned.target_usage + usage);
        }
        if let Some(bounds) = self.declared.sla_hard_bounds() {
            self.tuned.sla_hard = bounds.clamp(self.tuned.sla_hard * hard);
        }
        if before != (self.tuned.target_usage, self.tuned.sla_hard) {
            self.tuned.why = why;
        }
    }

    fn follow_boots(&mut self, measure: Measure, step: Duration) {
        let Some(bounds) = self.declared.startup_delay_bounds().filter(|_| measure.boots > 0) else { return };
        self.boot = if self.boot.is_zero() { measure.boot } else { (self.boot * 3 + measure.boot) / 4 };
        let seen = (self.boot.as_secs_f64() / step.as_secs_f64()).ceil().max(1.0);
        let wanted = bounds.clamp(seen) as u32;
        let steps = self.tuned.startup_delay_steps;
        self.agreeing = if wanted == steps { 0 } else { self.agreeing + 1 };
        if self.agreeing >= AGREEING {
            self.agreeing = 0;
            self.tuned.startup_delay_steps = if wanted > steps { steps + 1 } else { steps - 1 };
            self.tuned.why = format!("instances took {:.1} s to start", self.boot.as_secs_f64());
        }
    }
}

impl Default for Tuner {
    fn default() -> Self {
        Tuner::new(STEP)
    }
}

impl Tuner {
    /// `step` is the time between two measures of a function.
    pub fn new(step: Duration) -> Tuner {
        Tuner { step, tracks: BTreeMap::new() }
    }

    /// Takes what an owner saw of a function in one step.
    pub fn take(&mut self, function: &Function, measure: Measure) {
        let track = self.tracks.entry(function.name.clone()).or_insert_with(|| Track::new(&function.sheet));
        if track.declared != function.sheet {
            *track = Track::new(&function.sheet);
        }
        track.take(measure, self.step);
    }

    /// Goes on from what an earlier host had in force.
    pub fn adopt(&mut self, function: &Function, tuned: Tuned) {
        let mut track = Track::new(&function.sheet);
        let keep = |bounds: Option<bindings::TuningBounds>, value: f64, declared: f64| {
            bounds.map_or(declared, |b| b.clamp(value))
        };
        let sheet = &function.sheet;
        track.tuned = Tuned {
            startup_delay_steps: keep(
                sheet.startup_delay_bounds(),
                f64::from(tuned.startup_delay_steps),
                f64::from(sheet.startup_delay_steps),
            ) as u32,
            target_usage: keep(sheet.target_usage_bounds(), tuned.target_usage, sheet.target_usage),
            sla_hard: keep(sheet.sla_hard_bounds(), tuned.sla_hard, sheet.sla_hard),
            why: tuned.why,
        };
        self.tracks.insert(function.name.clone(), track);
    }

    /// Forgets functions that are bound no longer.
    pub fn keep_only(&mut self, known: impl Fn(&str) -> bool) {
        self.tracks.retain(|name, _| known(name));
    }

    /// What differs from the declared sheets.
    pub fn tuned(&self) -> impl Iterator<Item = (&String, &Tuned)> {
        self.tracks.iter().filter(|(_, track)| !track.tuned.why.is_empty()).map(|(name, track)| (name, &track.tuned))
    }

    /// The sheet in force for a function.
    pub fn in_force(&self, function: &Function) -> WeightSheet {
        let track = self.tracks.get(&function.name).filter(|track| track.declared == function.sheet);
        track.map_or_else(
            || function.sheet.clone(),
            |track| WeightSheet {
                startup_delay_steps: track.tuned.startup_delay_steps,
                target_usage: track.tuned.target_usage,
                sla_hard: track.tuned.sla_hard,
                ..function.sheet.clone()
            },
        )
    }
}

#[cfg(test)]
#[path = "tuner_tests.rs"]
mod tests;
