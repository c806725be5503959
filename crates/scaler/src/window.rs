//! Sample window of one function: 960 samples, which are 240 minutes at the default fifteen-second step. A
//! model fitted to the window is reused for five minutes while the mean of the newest ten rates stays within
//! half of the mean at the fit.

use crate::forecast::{Forecast, Model, persistence};
use std::collections::VecDeque;
use std::time::Duration;

/// Default time between two samples.
pub const STEP: Duration = Duration::from_secs(15);
/// Maximum number of samples kept: four hours at the default step.
pub const LENGTH: usize = 240 * 60 / 15;
/// Maximum age of a fit.
const FIT_LASTS: Duration = Duration::from_secs(300);
/// Number of newest samples compared with a fit.
const RECENT: usize = 10;
/// Change of the mean recent rate, as a fraction of the mean at the fit, above which the model is refitted.
const MOVED_SHARE: f64 = 0.5;
/// Lower bound of the mean rate in that comparison, in requests per second.
const LEAST_RATE: f64 = 0.1;

/// Load of one function in one step.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Sample {
    /// Request rate per second.
    pub rate: f64,
    /// Mean response time; zero if no request was answered.
    pub response: Duration,
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
    first: u32,
    fitted: Option<Fit>,
    failed: Option<Duration>,
    newest: Option<Duration>,
}

impl Default for Window {
    fn default() -> Self {
        Window::new(STEP)
    }
}

impl Window {
    /// Creates an empty window for samples that are one `step` apart.
    pub fn new(step: Duration) -> Window {
        Window { step, samples: VecDeque::new(), first: 0, fitted: None, failed: None, newest: None }
    }

    /// Adds a sample; missed steps are filled with the previous sample.
    pub fn take(&mut self, now: Duration, sample: Sample) {
        if let Some(newest) = self.newest {
            let missed = (now.saturating_sub(newest).as_secs_f64() / self.step.as_secs_f64()).round() as usize;
            let before = self.samples.back().copied().unwrap_or_default();
            for _ in 1..missed.min(LENGTH) {
                self.push(before);
            }
        }
        self.newest = Some(now);
        self.push(sample);
    }

    fn push(&mut self, sample: Sample) {
        self.samples.push_back(sample);
        if self.samples.len() > LENGTH {
            self.samples.pop_front();
            self.first = self.first.wrapping_add(1);
        }
    }

    /// Returns the three newest samples, the newest first.
    pub fn last_three(&self) -> impl Iterator<Item = &Sample> {
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
        let recent = &rates[rates.len().saturating_sub(RECENT)..];
        let mean = recent.iter().sum::<f64>() / recent.len().max(1) as f64;
        match &self.fitted {
            Some(fit) => {
                let moved = (mean - fit.mean_rate).abs() > MOVED_SHARE * fit.mean_rate.abs().max(LEAST_RATE);
                now > fit.fitted_at + FIT_LASTS || moved
            }
            None => self.failed.is_none_or(|at| now > at + self.step),
        }
    }

    /// Forecasts the rate. Refits the model if that is needed and `may_fit` allows it, else uses the present fit.
    pub fn forecast(&mut self, now: Duration, steps: usize, may_fit: &mut dyn FnMut() -> bool) -> Forecast {
        let rates: Vec<f64> = self.samples.iter().map(|sample| sample.rate).collect();
        let (step, from) = (self.step, self.step * self.first);
        if self.needs_fit(now, &rates) && may_fit() {
            let recent = &rates[rates.len().saturating_sub(RECENT)..];
            let mean = recent.iter().sum::<f64>() / recent.len().max(1) as f64;
            self.fitted = Model::fit(&rates, from, step).map(|model| Fit { model, fitted_at: now, mean_rate: mean });
            self.failed = self.fitted.is_none().then_some(now);
        }
        match &self.fitted {
            Some(fit) => fit.model.forecast(&rates, from, step, steps),
            None => persistence(&rates, steps),
        }
    }
}
