//! Plans the instance counts of all functions from their sample windows. Model fits are rate-limited. A
//! result holds the counts from the startup delay on, or the fallback count if planning failed.

use crate::demand::{RecentLoad, expected_and_covered_demand, instance_capacity};
use crate::plan::{PlanInput, solve_plan};
use crate::plan_executor::fallback_count;
use crate::tuner::Tuner;
use crate::window::{DEFAULT_STEP, Sample, Window};
use bindings::Function;
use std::collections::BTreeMap;
use std::time::Duration;

/// Number of steps planned beyond the startup delay.
const HORIZON_STEPS: usize = 4;
/// Maximum startup delay derived from a function's boot time, in steps.
const MAX_DELAY_STEPS: f64 = 8.0;
/// Default rate limit of model fits.
const DEFAULT_FITS_PER_SECOND: f64 = 8.0;

/// Result of a plan request.
pub struct PlanResult {
    /// Number of instances in each step from the startup delay on.
    pub desired: Vec<u32>,
    /// Duration of one step.
    pub step: Duration,
    /// Reason why `desired` is only the fallback count; `None` if planning succeeded.
    pub error: Option<String>,
}

/// Samples, fitted models and tuned weights of all functions.
pub struct Optimizer {
    /// Tuner of the weight sheets.
    pub tuner: Tuner,
    step: Duration,
    fits_per_second: f64,
    windows: BTreeMap<String, Window>,
    available_fits: f64,
    refilled_at: Duration,
}

impl Default for Optimizer {
    fn default() -> Self {
        Optimizer::new(DEFAULT_STEP, DEFAULT_FITS_PER_SECOND)
    }
}

impl Optimizer {
    /// Creates an optimizer without samples; `fits_per_second` bounds the processor time spent on fits.
    pub fn new(step: Duration, fits_per_second: f64) -> Optimizer {
        let (windows, tuner) = (BTreeMap::new(), Tuner::new(step));
        Optimizer { tuner, step, fits_per_second, windows, available_fits: 0.0, refilled_at: Duration::ZERO }
    }

    /// Adds a sample to a function's window.
    pub fn record_sample(&mut self, now: Duration, function: &str, sample: Sample) {
        let step = self.step;
        self.windows.entry(function.to_owned()).or_insert_with(|| Window::new(step)).record(now, sample);
    }

    /// Drops the state of functions that are no longer bound.
    pub fn retain_functions(&mut self, known: impl Fn(&str) -> bool) {
        self.windows.retain(|name, _| known(name));
        self.tuner.retain_functions(known);
    }

    /// Plans one function from its `current` instances and a current reading; the solver may take `limit`.
    pub fn plan(
        &mut self,
        now: Duration,
        function: &Function,
        current: u32,
        reading: Sample,
        limit: Duration,
    ) -> PlanResult {
        let mut sheet = self.tuner.effective_sheet(function);
        let boot_steps =
            (function.boot_time.as_secs_f64() / self.step.as_secs_f64()).ceil().min(MAX_DELAY_STEPS) as u32;
        sheet.startup_delay_steps = sheet.startup_delay_steps.max(boot_steps);
        let refill = now.saturating_sub(self.refilled_at).as_secs_f64() * self.fits_per_second;
        self.available_fits = (self.available_fits + refill).min(self.fits_per_second.max(1.0));
        self.refilled_at = now;
        let sheet = &sheet;
        let delay = sheet.startup_delay_steps as usize;
        let steps = delay + HORIZON_STEPS;
        let step = self.step;
        let window = self.windows.entry(function.name.clone()).or_insert_with(|| Window::new(step));
        let available = &mut self.available_fits;
        let mut may_fit = || {
            let is_allowed = *available >= 1.0;
            *available -= if is_allowed { 1.0 } else { 0.0 };
            is_allowed
        };
        let forecast = window.forecast(now, steps, &mut may_fit);
        let reading = Sample { response_time: Duration::ZERO, ..reading };
        let load = RecentLoad::mean(std::iter::once(&reading).chain(window.newest_three()));
        let load = RecentLoad { response_time: RecentLoad::mean(window.newest_three()).response_time, ..load };
        let (demand, covered_demand) = expected_and_covered_demand(&forecast, load, sheet);
        let input = PlanInput {
            current,
            min: function.min,
            max: function.max,
            capacity: instance_capacity(function.instance_limit, sheet),
            demand: &demand,
            coverage: &covered_demand,
            sheet,
            time_limit: limit,
        };
        match solve_plan(&input) {
            Ok(found) => PlanResult { desired: found.counts[delay..].to_vec(), step, error: None },
            Err(error) => {
                let has_demand = demand.iter().any(|d| *d > 0.0);
                let count = fallback_count(current, has_demand, function.min, function.max);
                PlanResult { desired: vec![count], step, error: Some(error.to_string()) }
            }
        }
    }
}
