//! The optimizer's host: windows of all functions, staggered fits, demand and plan. It answers
//! with the counts from the startup delay on, or with the fallback where no plan could be made.

use crate::demand::{Level, capacity, coverage};
use crate::plan::{PlanTask, plan};
use crate::player::fallback;
use crate::tuner::Tuner;
use crate::window::{STEP, Sample, Window};
use bindings::Function;
use std::collections::BTreeMap;
use std::time::Duration;

/// Steps planned beyond the startup delay.
const HORIZON: usize = 4;
/// The longest startup delay that is planned with, in steps.
const MOST_DELAY: f64 = 8.0;
const FITS_PER_SECOND: f64 = 8.0;

/// The answer to a request for a plan.
pub struct Planned {
    /// The number of instances for each step from the startup delay on.
    pub desired: Vec<u32>,
    /// How long one step lasts.
    pub step: Duration,
    /// Why there is only the fallback, if so.
    pub fault: Option<String>,
}

/// Samples and fits of all functions, on the machine that plans for all.
pub struct Optimizer {
    /// The weight sheets' fields that are set from measures.
    pub tuner: Tuner,
    step: Duration,
    fits_per_second: f64,
    windows: BTreeMap<String, Window>,
    fits_left: f64,
    refilled: Duration,
}

impl Default for Optimizer {
    fn default() -> Self {
        Optimizer::new(STEP, FITS_PER_SECOND)
    }
}

impl Optimizer {
    /// An optimizer with no samples; `fits_per_second` bounds the processor time spent on fits.
    pub fn new(step: Duration, fits_per_second: f64) -> Optimizer {
        let (windows, tuner) = (BTreeMap::new(), Tuner::new(step));
        Optimizer { tuner, step, fits_per_second, windows, fits_left: 0.0, refilled: Duration::ZERO }
    }

    /// Takes a function's sample.
    pub fn sample(&mut self, now: Duration, function: &str, sample: Sample) {
        let step = self.step;
        self.windows.entry(function.to_owned()).or_insert_with(|| Window::new(step)).take(now, sample);
    }

    /// Forgets functions that are bound no longer.
    pub fn keep_only(&mut self, known: impl Fn(&str) -> bool) {
        self.windows.retain(|name, _| known(name));
        self.tuner.keep_only(known);
    }

    /// Plans one function from `current` instances and a gauge read just now; the solver may take `limit`.
    pub fn plan(
        &mut self,
        now: Duration,
        function: &Function,
        current: u32,
        gauge: Sample,
        limit: Duration,
    ) -> Planned {
        let mut sheet = self.tuner.in_force(function);
        let boots = (function.boot_time.as_secs_f64() / self.step.as_secs_f64()).ceil().min(MOST_DELAY) as u32;
        sheet.startup_delay_steps = sheet.startup_delay_steps.max(boots);
        let gained = now.saturating_sub(self.refilled).as_secs_f64() * self.fits_per_second;
        self.fits_left = (self.fits_left + gained).min(self.fits_per_second.max(1.0));
        self.refilled = now;
        let sheet = &sheet;
        let delay = sheet.startup_delay_steps as usize;
        let steps = delay + HORIZON;
        let step = self.step;
        let window = self.windows.entry(function.name.clone()).or_insert_with(|| Window::new(step));
        let left = &mut self.fits_left;
        let mut may_fit = || {
            let may = *left >= 1.0;
            *left -= if may { 1.0 } else { 0.0 };
            may
        };
        let forecast = window.forecast(now, steps, &mut may_fit);
        let gauge = Sample { response: Duration::ZERO, ..gauge };
        let level = Level::mean(std::iter::once(&gauge).chain(window.last_three()));
        let level = Level { response: Level::mean(window.last_three()).response, ..level };
        let (demand, covered) = coverage(&forecast, level, sheet);
        let task = PlanTask {
            current,
            min: function.min,
            max: function.max,
            capacity: capacity(function.instance_limit, sheet),
            demand: &demand,
            coverage: &covered,
            sheet,
            limit,
        };
        match plan(&task) {
            Ok(found) => Planned { desired: found.counts[delay..].to_vec(), step, fault: None },
            Err(fault) => {
                let present = demand.iter().any(|d| *d > 0.0);
                let count = fallback(current, present, function.min, function.max);
                Planned { desired: vec![count], step, fault: Some(fault.to_string()) }
            }
        }
    }
}
