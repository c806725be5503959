//! Tunes weight sheets from measurements, slowly and within their declared bounds. A function that lacked
//! capacity (requests refused, rejected or kept waiting although instances ran) is planned with a lower target
//! usage and a higher penalty for uncovered demand. After a long time without a shortage, both return, and go
//! a little beyond the declared values if the bounds allow it. The startup delay follows the measured boot
//! times. The declared sheet is not modified; the tuned values are kept beside it with the reason for the
//! latest change.

use crate::window::DEFAULT_STEP;
use bindings::{Function, WeightSheet};
use std::collections::BTreeMap;
use std::time::Duration;

/// Number of steps from one change to the next, at least.
const STEPS_BETWEEN_CHANGES: u32 = 4;
/// Number of steps without a shortage after which the values begin to return.
const CALM_STEPS: u32 = 40;
/// Decrease of the target usage after a shortage.
const USAGE_DECREASE: f64 = 0.02;
/// Increase of the target usage after a calm period.
const USAGE_INCREASE: f64 = 0.01;
/// Factor of the hard penalty after a shortage.
const PENALTY_INCREASE_FACTOR: f64 = 1.1;
/// Factor of the hard penalty after a calm period.
const PENALTY_DECREASE_FACTOR: f64 = 0.95;
/// Mean number of waiting requests above which a function lacks capacity.
const MAX_WAITING: f64 = 0.5;
/// Number of consecutive measurements that must contradict the startup delay before it changes.
const DEVIATIONS_TO_CHANGE_DELAY: u32 = 3;

/// Measurements of one function in one step, taken by its owner.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FunctionMeasurement {
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
pub struct TunedWeights {
    /// Number of steps between a start order and a ready instance.
    pub startup_delay_steps: u32,
    /// Utilization at which capacity is planned, 0 to 1.
    pub target_usage: f64,
    /// Cost of uncovered demand in the hard tier.
    pub sla_hard: f64,
    /// Reason for the latest change; empty if nothing was changed.
    pub reason: String,
}

#[derive(Clone, Debug)]
struct FunctionTuning {
    tuned: TunedWeights,
    declared: WeightSheet,
    mean_boot_time: Duration,
    delay_deviations: u32,
    steps_to_next_change: u32,
    calm_steps: u32,
}

/// Tunes fields of weight sheets within their declared bounds, from the measurements of owners.
pub struct Tuner {
    step: Duration,
    tunings: BTreeMap<String, FunctionTuning>,
}

fn declared_weights(sheet: &WeightSheet) -> TunedWeights {
    let WeightSheet { startup_delay_steps, target_usage, sla_hard, .. } = *sheet;
    TunedWeights { startup_delay_steps, target_usage, sla_hard, reason: String::new() }
}

impl FunctionTuning {
    fn new(sheet: &WeightSheet) -> FunctionTuning {
        let tuned = declared_weights(sheet);
        FunctionTuning {
            tuned,
            declared: sheet.clone(),
            mean_boot_time: Duration::ZERO,
            delay_deviations: 0,
            steps_to_next_change: 0,
            calm_steps: 0,
        }
    }

    fn record(&mut self, measurement: FunctionMeasurement, step: Duration) {
        self.tune_startup_delay(measurement, step);
        let lacks_capacity = measurement.refused > 0 || measurement.rejections > 0 || measurement.waiting > MAX_WAITING;
        self.calm_steps = if lacks_capacity { 0 } else { self.calm_steps + 1 };
        self.steps_to_next_change = self.steps_to_next_change.saturating_sub(1);
        if self.steps_to_next_change > 0 {
            return;
        }
        if lacks_capacity {
            self.steps_to_next_change = STEPS_BETWEEN_CHANGES;
            let FunctionMeasurement { refused, rejections, waiting, .. } = measurement;
            self.tune_weights(
                -USAGE_DECREASE,
                PENALTY_INCREASE_FACTOR,
                format!("short: {refused} refused, {rejections} turned away, {waiting:.2} waiting"),
            );
        } else if self.calm_steps >= CALM_STEPS {
            self.calm_steps = CALM_STEPS / 2;
            self.steps_to_next_change = STEPS_BETWEEN_CHANGES;
            let has_spare_capacity = measurement.usage < self.tuned.target_usage;
            self.tune_weights(
                if has_spare_capacity { USAGE_INCREASE } else { 0.0 },
                PENALTY_DECREASE_FACTOR,
                "calm for ten minutes".into(),
            );
        }
    }

    fn tune_weights(&mut self, usage_change: f64, penalty_factor: f64, reason: String) {
        let previous = (self.tuned.target_usage, self.tuned.sla_hard);
        if let Some(bounds) = self.declared.target_usage_bounds() {
            self.tuned.target_usage = bounds.clamp(self.tuned.target_usage + usage_change);
        }
        if let Some(bounds) = self.declared.sla_hard_bounds() {
            self.tuned.sla_hard = bounds.clamp(self.tuned.sla_hard * penalty_factor);
        }
        if previous != (self.tuned.target_usage, self.tuned.sla_hard) {
            self.tuned.reason = reason;
        }
    }

    fn tune_startup_delay(&mut self, measurement: FunctionMeasurement, step: Duration) {
        let Some(bounds) = self.declared.startup_delay_bounds().filter(|_| measurement.boots > 0) else { return };
        self.mean_boot_time = if self.mean_boot_time.is_zero() {
            measurement.boot
        } else {
            (self.mean_boot_time * 3 + measurement.boot) / 4
        };
        let measured_steps = (self.mean_boot_time.as_secs_f64() / step.as_secs_f64()).ceil().max(1.0);
        let target_steps = bounds.clamp(measured_steps) as u32;
        let steps = self.tuned.startup_delay_steps;
        self.delay_deviations = if target_steps == steps { 0 } else { self.delay_deviations + 1 };
        if self.delay_deviations >= DEVIATIONS_TO_CHANGE_DELAY {
            self.delay_deviations = 0;
            self.tuned.startup_delay_steps = if target_steps > steps { steps + 1 } else { steps - 1 };
            self.tuned.reason = format!("instances took {:.1} s to start", self.mean_boot_time.as_secs_f64());
        }
    }
}

impl Default for Tuner {
    fn default() -> Self {
        Tuner::new(DEFAULT_STEP)
    }
}

impl Tuner {
    /// Creates a tuner; `step` is the time between two measurements of a function.
    pub fn new(step: Duration) -> Tuner {
        Tuner { step, tunings: BTreeMap::new() }
    }

    /// Records an owner's measurements of a function in one step and tunes its sheet.
    pub fn record(&mut self, function: &Function, measurement: FunctionMeasurement) {
        let tuning = self.tunings.entry(function.name.clone()).or_insert_with(|| FunctionTuning::new(&function.sheet));
        if tuning.declared != function.sheet {
            *tuning = FunctionTuning::new(&function.sheet);
        }
        tuning.record(measurement, self.step);
    }

    /// Adopts the values that another registry tuned, limited to the declared bounds.
    pub fn adopt(&mut self, function: &Function, tuned: TunedWeights) {
        let mut tuning = FunctionTuning::new(&function.sheet);
        let limit = |bounds: Option<bindings::TuningBounds>, value: f64, declared: f64| {
            bounds.map_or(declared, |b| b.clamp(value))
        };
        let sheet = &function.sheet;
        tuning.tuned = TunedWeights {
            startup_delay_steps: limit(
                sheet.startup_delay_bounds(),
                f64::from(tuned.startup_delay_steps),
                f64::from(sheet.startup_delay_steps),
            ) as u32,
            target_usage: limit(sheet.target_usage_bounds(), tuned.target_usage, sheet.target_usage),
            sla_hard: limit(sheet.sla_hard_bounds(), tuned.sla_hard, sheet.sla_hard),
            reason: tuned.reason,
        };
        self.tunings.insert(function.name.clone(), tuning);
    }

    /// Drops the state of functions that are no longer bound.
    pub fn retain_functions(&mut self, is_bound: impl Fn(&str) -> bool) {
        self.tunings.retain(|name, _| is_bound(name));
    }

    /// Returns the tuned values of all functions whose values were changed.
    pub fn tuned_weights(&self) -> impl Iterator<Item = (&String, &TunedWeights)> {
        self.tunings
            .iter()
            .filter(|(_, tuning)| !tuning.tuned.reason.is_empty())
            .map(|(name, tuning)| (name, &tuning.tuned))
    }

    /// Returns a function's declared sheet with the tuned values applied.
    pub fn effective_sheet(&self, function: &Function) -> WeightSheet {
        let tuning = self.tunings.get(&function.name).filter(|tuning| tuning.declared == function.sheet);
        tuning.map_or_else(
            || function.sheet.clone(),
            |tuning| WeightSheet {
                startup_delay_steps: tuning.tuned.startup_delay_steps,
                target_usage: tuning.tuned.target_usage,
                sla_hard: tuning.tuned.sla_hard,
                ..function.sheet.clone()
            },
        )
    }
}

#[cfg(test)]
#[path = "tuner_tests.rs"]
mod tests;
