//! Forecast of the request rate by SARIMAX(1,1,1) with Fourier terms: the mean and the 90th percentile. With
//! fewer than eight observations, after a failed fit, or if the forecast is not finite, the last value is
//! repeated.

use crate::arma::{Arma, fit, innovations};
use crate::fourier::{COLUMNS, row};
use std::time::Duration;

/// Minimum number of observations for a fit.
pub const LEAST: usize = 8;
/// 90th percentile of the standard normal distribution.
const P90: f64 = 1.281_551_565_544_600_4;

/// Forecast of request rates, one value per step.
#[derive(Clone, Debug, PartialEq)]
pub struct Forecast {
    /// Expected rates, in requests per second.
    pub mean: Vec<f64>,
    /// 90th percentile of each rate.
    pub upper: Vec<f64>,
    /// Whether the last value is repeated because there is no usable fit.
    pub persisted: bool,
}

/// A fitted SARIMAX(1,1,1) model with Fourier terms.
#[derive(Clone, Debug)]
pub struct Model {
    arma: Arma,
}

/// Returns a forecast that repeats the last value of a series for all steps.
pub fn persistence(series: &[f64], steps: usize) -> Forecast {
    let last = series.last().copied().filter(|value| value.is_finite()).unwrap_or(0.0).max(0.0);
    Forecast { mean: vec![last; steps], upper: vec![last; steps], persisted: true }
}

fn differenced_row(at: Duration, step: Duration) -> [f64; COLUMNS] {
    let (now, before) = (row(at), row(at.saturating_sub(step)));
    std::array::from_fn(|column| now[column] - before[column])
}

impl Model {
    /// Fits a series with one value per step, the first of them observed at `from`.
    pub fn fit(series: &[f64], from: Duration, step: Duration) -> Option<Model> {
        if series.len() < LEAST || series.iter().any(|value| !value.is_finite()) {
            return None;
        }
        let target: Vec<f64> = series.windows(2).map(|pair| pair[1] - pair[0]).collect();
        if target.iter().all(|change| *change == 0.0) {
            return None;
        }
        let rows: Vec<_> = (1..series.len()).map(|n| differenced_row(from + step * n as u32, step)).collect();
        fit(&target, &rows).map(|arma| Model { arma })
    }

    /// Returns the autoregressive and the moving-average parameter (phi, theta).
    pub fn parameters(&self) -> (f64, f64) {
        (self.arma.phi, self.arma.theta)
    }

    /// Forecasts the steps after the end of `series`, which may be newer than the series of the fit.
    pub fn forecast(&self, series: &[f64], from: Duration, step: Duration, steps: usize) -> Forecast {
        let Arma { phi, theta, beta, variance } = &self.arma;
        let explained = |at: Duration| -> f64 { differenced_row(at, step).iter().zip(beta).map(|(x, b)| x * b).sum() };
        if series.len() < 2 {
            return persistence(series, steps);
        }
        let changes: Vec<f64> = series
            .windows(2)
            .enumerate()
            .map(|(n, pair)| pair[1] - pair[0] - explained(from + step * (n as u32 + 1)))
            .collect();
        let shocks = innovations(changes.iter().copied(), *phi, *theta);
        let (mut change, mut shock) = (changes[changes.len() - 1], shocks[shocks.len() - 1]);
        let mut level = series[series.len() - 1];
        let (mut weight, mut total, mut spread) = (1.0, 1.0, 0.0);
        let mut forecast = Forecast { mean: Vec::new(), upper: Vec::new(), persisted: false };
        for ahead in 0..steps {
            change = phi * change + theta * shock;
            shock = 0.0;
            level += change + explained(from + step * (series.len() + ahead) as u32);
            spread += variance * total * total;
            weight = if ahead == 0 { phi + theta } else { weight * phi };
            total += weight;
            forecast.mean.push(level.max(0.0));
            forecast.upper.push((level + P90 * spread.sqrt()).max(0.0));
        }
        if forecast.mean.iter().chain(&forecast.upper).all(|value| value.is_finite()) {
            forecast
        } else {
            persistence(series, steps)
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::{RngExt, SeedableRng};

    const STEP: Duration = Duration::from_secs(15);

    fn model(phi: f64, theta: f64, variance: f64) -> Model {
        Model { arma: Arma { phi, theta, beta: [0.0; COLUMNS], variance } }
    }

    #[test]
    fn a_forecast_worked_by_hand_is_met() {
        // Changes 2, 1 with phi 0.5 and theta 0.25: shocks 2 and 1 - 1 - 0.5 = -0.5. The next change
        // is 0.5*1 + 0.25*(-0.5) = 0.375, then 0.1875, so levels 13.375 and 13.5625. With variance
        // 4 the spreads are 2 and 2*sqrt(1 + 1.75^2).
        let told = model(0.5, 0.25, 4.0).forecast(&[10.0, 12.0, 13.0], Duration::ZERO, STEP, 2);
        let near = |a: f64, b: f64| (a - b).abs() < 1e-9;
        assert!(near(told.mean[0], 13.375) && near(told.mean[1], 13.5625), "{told:?}");
        assert!(near(told.upper[0], 13.375 + P90 * 2.0));
        assert!(near(told.upper[1], 13.5625 + P90 * 2.0 * (1.0f64 + 1.75 * 1.75).sqrt()));
    }

    #[test]
    fn a_fit_finds_the_process_a_series_was_made_by() {
        let mut dice = rand_chacha::ChaCha8Rng::seed_from_u64(11);
        let (mut change, mut shock, mut level) = (0.0, 0.0, 500.0);
        let series: Vec<f64> = (0..960)
            .map(|_| {
                let news: f64 = (0..12).map(|_| dice.random::<f64>()).sum::<f64>() - 6.0;
                change = 0.6 * change + news + 0.3 * shock;
                shock = news;
                level += change;
                level
            })
            .collect();
        let (phi, theta) = Model::fit(&series, Duration::ZERO, STEP).unwrap().parameters();
        assert!((phi - 0.6).abs() < 0.12 && (theta - 0.3).abs() < 0.12, "phi {phi} theta {theta}");
    }

    #[test]
    fn too_short_flat_or_broken_series_are_not_fitted() {
        assert!(Model::fit(&[1.0, 2.0, 3.0, 4.0, 5.0, 6.0, 7.0], Duration::ZERO, STEP).is_none());
        assert!(Model::fit(&[3.0; 40], Duration::ZERO, STEP).is_none());
        let mut broken = vec![1.0; 40];
        broken[20] = f64::NAN;
        assert!(Model::fit(&broken, Duration::ZERO, STEP).is_none());
        assert_eq!(persistence(&[1.0, 7.0], 3).mean, vec![7.0; 3]);
    }
}
