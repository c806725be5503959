//! Tunes weight sheets from measurements, slowly and within their declared bounds. A function that lacked
//! capacity (requests refused, rejected or kept waiting although instances ran) is planned with a lower target
//! usage and a higher penalty for uncovered demand. After a long time without a shortage, both return, and go
//! a little beyond the declared values if the bounds allow it. The startup delay follows the measured boot
//! times. The declared sheet is not modified; the tuned values are kept beside it with the reason for the
//! latest change.

use crate::window::STEP;
use bindings::{Function, WeightSheet};
use std::collections::BTreeMap;
use std::time::Duration;

/// Number of steps from one change to the next, at least.
const REST: u32 = 4;
/// Number of steps without a shortage after which the values begin to return.
const CALM: u32 = 40;
/// Decrease of the target usage after a shortage.
const LOWER: f64 = 0.02;
/// Increase of the target usage after a calm period.
const RAISE: f64 = 0.01;
/// Factor of the hard penalty after a shortage.
const SHARPER: f64 = 1.1;
/// Factor of the hard penalty after a calm period.
const MILDER: f64 = 0.95;
/// Mean number of waiting requests above which a function lacks capacity.
const WAITING: f64 = 0.5;
/// Number of consecutive measurements that must contradict the startup delay before it changes.
const AGREEING: u32 = 3;

/// Measurements of one function in one step, taken by its owner.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Measure {
    /// Mean time from the start order to readiness, of the instances that became ready.
    pub boot: Duration,
    /// Number of instances that became ready.
    pub boots: u32,
    /// Number of requests refused by the owner.
    pub refused: u32,
    /// Number of requests that instances rejected because they were full.
    pub rejections: u32,
    /// Mean number of requests waiting.
    pub waiting: f64,
    /// Utilization of the instances' slots, 0 to 1.
    pub usage: f64,
}

/// Tuned fields of one weight sheet.
#[derive(Clone, Debug, PartialEq)]
pub struct Tuned {
    /// Number of steps between a start order and a ready instance.
    pub startup_delay_steps: u32,
    /// Utilization at which capacity is planned, 0 to 1.
    pub target_usage: f64,
    /// Cost of uncovered demand in the hard tier.
    pub sla_hard: f64,
    /// Reason for the latest change; empty if nothing was changed.
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

/// Tunes fields of weight sheets within their declared bounds, from the measurements of owners.
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
                format!("capacity shortage: {refused} refused, {rejections} rejected, {waiting:.2} waiting"),
            );
        } else if self.calm >= CALM {
            self.calm = CALM / 2;
            self.rest = REST;
            let room = measure.usage < self.tuned.target_usage;
            self.move_to(if room { RAISE } else { 0.0 }, MILDER, "no capacity shortage for ten minutes".into());
        }
    }

    fn move_to(&mut self, usage: f64, hard: f64, why: String) {
        let before = (self.tuned.target_usage, self.tuned.sla_hard);
        if let Some(bounds) = self.declared.usage_bounds() {
            self.tuned.target_usage = bounds.keep(self.tuned.target_usage + usage);
        }
        if let Some(bounds) = self.declared.hard_bounds() {
            self.tuned.sla_hard = bounds.keep(self.tuned.sla_hard * hard);
        }
        if before != (self.tuned.target_usage, self.tuned.sla_hard) {
            self.tuned.why = why;
        }
    }

    fn follow_boots(&mut self, measure: Measure, step: Duration) {
        let Some(bounds) = self.declared.delay_bounds().filter(|_| measure.boots > 0) else { return };
        self.boot = if self.boot.is_zero() { measure.boot } else { (self.boot * 3 + measure.boot) / 4 };
        let seen = (self.boot.as_secs_f64() / step.as_secs_f64()).ceil().max(1.0);
        let wanted = bounds.keep(seen) as u32;
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
    /// Creates a tuner; `step` is the time between two measurements of a function.
    pub fn new(step: Duration) -> Tuner {
        Tuner { step, tracks: BTreeMap::new() }
    }

    /// Records an owner's measurements of a function in one step and tunes its sheet.
    pub fn take(&mut self, function: &Function, measure: Measure) {
        let track = self.tracks.entry(function.name.clone()).or_insert_with(|| Track::new(&function.sheet));
        if track.declared != function.sheet {
            *track = Track::new(&function.sheet);
        }
        track.take(measure, self.step);
    }

    /// Adopts the values that another registry tuned, limited to the declared bounds.
    pub fn adopt(&mut self, function: &Function, tuned: Tuned) {
        let mut track = Track::new(&function.sheet);
        let keep =
            |bounds: Option<bindings::Bounds>, value: f64, declared: f64| bounds.map_or(declared, |b| b.keep(value));
        let sheet = &function.sheet;
        track.tuned = Tuned {
            startup_delay_steps: keep(
                sheet.delay_bounds(),
                f64::from(tuned.startup_delay_steps),
                f64::from(sheet.startup_delay_steps),
            ) as u32,
            target_usage: keep(sheet.usage_bounds(), tuned.target_usage, sheet.target_usage),
            sla_hard: keep(sheet.hard_bounds(), tuned.sla_hard, sheet.sla_hard),
            why: tuned.why,
        };
        self.tracks.insert(function.name.clone(), track);
    }

    /// Drops the state of functions that are no longer bound.
    pub fn keep_only(&mut self, known: impl Fn(&str) -> bool) {
        self.tracks.retain(|name, _| known(name));
    }

    /// Returns the tuned values of all functions whose values were changed.
    pub fn tuned(&self) -> impl Iterator<Item = (&String, &Tuned)> {
        self.tracks.iter().filter(|(_, track)| !track.tuned.why.is_empty()).map(|(name, track)| (name, &track.tuned))
    }

    /// Returns a function's declared sheet with the tuned values applied.
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
