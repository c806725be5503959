//! One function's window: 960 samples, which are 240 minutes at the usual fifteen-second step, and the fit kept
//! from it for five minutes, as long as the newest ten observations stay within half of its mean.

use crate::forecast::{Forecast, Model, persistence};
use std::collections::VecDeque;
use std::time::Duration;

/// The step where none is set.
pub const STEP: Duration = Duration::from_secs(15);
/// How many samples are kept: four hours of the default step.
pub const LENGTH: usize = 240 * 60 / 15;
/// How long a fit is used.
const FIT_LASTS: Duration = Duration::from_secs(300);
/// How many of the newest observations are held against a fit.
const RECENT: usize = 10;
/// A fit is made anew once the mean of the recent rates moved by more than this share of the fitted mean.
const MOVED_SHARE: f64 = 0.5;
/// Means below this count as this, in requests a second.
const LEAST_RATE: f64 = 0.1;

/// What one function had in one step.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Sample {
    /// Requests a second.
    pub rate: f64,
    /// Mean response time; zero if nothing was answered.
    pub response: Duration,
    /// Requests waiting for room on an instance.
    pub waiting: f64,
    /// Requests waiting for a first instance.
    pub queued: f64,
}

/// A fit and what it was made from.
struct Fit {
    model: Model,
    fitted_at: Duration,
    /// Mean of the rates fitted, requests a second.
    mean_rate: f64,
}

/// The latest samples of one function and the fit made from them.
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
    /// An empty window whose samples are one `step` apart.
    pub fn new(step: Duration) -> Window {
        Window { step, samples: VecDeque::new(), first: 0, fitted: None, failed: None, newest: None }
    }

    /// Takes a sample; steps that brought none are filled with the sample before.
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

    /// The three newest samples, the newest first.
    pub fn last_three(&self) -> impl Iterator<Item = &Sample> {
        self.samples.iter().rev().take(3)
    }

    /// How many samples are kept.
    pub fn len(&self) -> usize {
        self.samples.len()
    }

    /// Whether no sample was taken yet.
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

    /// Forecasts the rate; fits only where `may_fit` lets it, else uses the fit there is.
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
