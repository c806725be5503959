//! Sample window of one function: 960 samples, which are 240 minutes at the default fifteen-second step. A
//! model fitted to the window is reused for five minutes while the mean of the newest ten rates stays within
//! half of the mean at the fit.

use crate::forecast::{Forecast, Model, persistence_forecast};
use std::collections::VecDeque;
use std::time::Duration;

/// Default time between two samples.
pub const DEFAULT_STEP: Duration = Duration::from_secs(15);
/// Maximum number of samples kept: four hours at the default step.
pub const MAX_SAMPLES: usize = 240 * 60 / 15;
/// Maximum age of a fit.
const MAX_FIT_AGE: Duration = Duration::from_secs(300);
/// Number of newest samples compared with a fit.
const RECENT_SAMPLES: usize = 10;
/// Change of the mean recent rate, as a fraction of the mean at the fit, above which the model is refitted.
const REFIT_CHANGE: f64 = 0.5;
/// Lower bound of the mean rate in that comparison, in requests per second.
const MIN_COMPARED_RATE: f64 = 0.1;

/// Load of one function in one step.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Sample {
    /// Request rate per second.
    pub rate: f64,
    /// Mean response time; zero if no request was answered.
    pub response_time: Duration,
    /// Mean number of requests waiting for a free slot on a running instance.
    pub waiting: f64,
    /// Mean number of requests waiting while no instance runs.
    pub queued: f64,
}

/// A fitted model with the time and the mean rate of its fit.
struct Fit {
    model: Model,
    fitted_at: Duration,
    /// Mean of the newest rates at the fit, in requests per second.
    mean_rate: f64,
}

/// Latest samples of one function and the model fitted to them.
pub struct Window {
    step: Duration,
    samples: VecDeque<Sample>,
    first_index: u32,
    fit: Option<Fit>,
    fit_failed_at: Option<Duration>,
    newest_at: Option<Duration>,
}

impl Default for Window {
    fn default() -> Self {
        Window::new(DEFAULT_STEP)
    }
}

impl Window {
    /// Creates an empty window for samples that are one `step` apart.
    pub fn new(step: Duration) -> Window {
        Window { step, samples: VecDeque::new(), first_index: 0, fit: None, fit_failed_at: None, newest_at: None }
    }

    /// Adds a sample; missed steps are filled with the previous sample.
    pub fn record(&mut self, now: Duration, sample: Sample) {
        if let Some(newest_at) = self.newest_at {
            let elapsed_steps =
                (now.saturating_sub(newest_at).as_secs_f64() / self.step.as_secs_f64()).round() as usize;
            let previous = self.samples.back().copied().unwrap_or_default();
            for _ in 1..elapsed_steps.min(MAX_SAMPLES) {
                self.push(previous);
            }
        }
        self.newest_at = Some(now);
        self.push(sample);
    }

    fn push(&mut self, sample: Sample) {
        self.samples.push_back(sample);
        if self.samples.len() > MAX_SAMPLES {
            self.samples.pop_front();
            self.first_index = self.first_index.wrapping_add(1);
        }
    }

    /// Returns the three newest samples, the newest first.
    pub fn newest_three(&self) -> impl Iterator<Item = &Sample> {
        self.samples.iter().rev().take(3)
    }

    /// Returns the number of samples kept.
    pub fn len(&self) -> usize {
        self.samples.len()
    }

    /// Returns whether the window has no samples.
    pub fn is_empty(&self) -> bool {
        self.samples.is_empty()
    }

    fn needs_fit(&self, now: Duration, rates: &[f64]) -> bool {
        let recent = &rates[rates.len().saturating_sub(RECENT_SAMPLES)..];
        let mean = recent.iter().sum::<f64>() / recent.len().max(1) as f64;
        match &self.fit {
            Some(fit) => {
                let has_changed =
                    (mean - fit.mean_rate).abs() > REFIT_CHANGE * fit.mean_rate.abs().max(MIN_COMPARED_RATE);
                now > fit.fitted_at + MAX_FIT_AGE || has_changed
            }
            None => self.fit_failed_at.is_none_or(|at| now > at + self.step),
        }
    }

    /// Forecasts the rate. Refits the model if that is needed and `may_fit` allows it, else uses the present fit.
    pub fn forecast(&mut self, now: Duration, steps: usize, may_fit: &mut dyn FnMut() -> bool) -> Forecast {
        let rates: Vec<f64> = self.samples.iter().map(|sample| sample.rate).collect();
        let (step, start) = (self.step, self.step * self.first_index);
        if self.needs_fit(now, &rates) && may_fit() {
            let recent = &rates[rates.len().saturating_sub(RECENT_SAMPLES)..];
            let mean = recent.iter().sum::<f64>() / recent.len().max(1) as f64;
            self.fit = Model::fit(&rates, start, step).map(|model| Fit { model, fitted_at: now, mean_rate: mean });
            self.fit_failed_at = self.fit.is_none().then_some(now);
        }
        match &self.fit {
            Some(fit) => fit.model.forecast(&rates, start, step, steps),
            None => persistence_forecast(&rates, steps),
        }
    }
}
