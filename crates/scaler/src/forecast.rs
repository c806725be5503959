//! Forecast of the request rate by SARIMAX(1,1,1) with Fourier terms: the mean and the 90th percentile. With
//! fewer than eight observations, after a failed fit, or if the forecast is not finite, the last value is
//! repeated.

use crate::arma::{Arma, fit, innovations};
use crate::fourier::{REGRESSOR_COUNT, regressors_at};
use std::time::Duration;

/// Minimum number of observations for a fit.
pub const MIN_OBSERVATIONS: usize = 8;
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
    pub is_persistence: bool,
}

/// A fitted SARIMAX(1,1,1) model with Fourier terms.
#[derive(Clone, Debug)]
pub struct Model {
    arma: Arma,
}

/// Returns a forecast that repeats the last value of a series for all steps.
pub fn persistence_forecast(series: &[f64], steps: usize) -> Forecast {
    let last = series.last().copied().filter(|value| value.is_finite()).unwrap_or(0.0).max(0.0);
    Forecast { mean: vec![last; steps], upper: vec![last; steps], is_persistence: true }
}

fn differenced_regressors(at: Duration, step: Duration) -> [f64; REGRESSOR_COUNT] {
    let (now, previous) = (regressors_at(at), regressors_at(at.saturating_sub(step)));
    std::array::from_fn(|column| now[column] - previous[column])
}

impl Model {
    /// Fits a series with one value per step, the first of them observed at `from`.
    pub fn fit(series: &[f64], from: Duration, step: Duration) -> Option<Model> {
        if series.len() < MIN_OBSERVATIONS || series.iter().any(|value| !value.is_finite()) {
            return None;
        }
        let target: Vec<f64> = series.windows(2).map(|pair| pair[1] - pair[0]).collect();
        if target.iter().all(|change| *change == 0.0) {
            return None;
        }
        let regressors: Vec<_> =
            (1..series.len()).map(|n| differenced_regressors(from + step * n as u32, step)).collect();
        fit(&target, &regressors).map(|arma| Model { arma })
    }

    /// Returns the autoregressive and the moving-average parameter (phi, theta).
    pub fn parameters(&self) -> (f64, f64) {
        (self.arma.phi, self.arma.theta)
    }

    /// Forecasts the steps after the end of `series`, which may be newer than the series of the fit.
    pub fn forecast(&self, series: &[f64], from: Duration, step: Duration, steps: usize) -> Forecast {
        let Arma { phi, theta, beta, variance } = &self.arma;
        let regression_part =
            |at: Duration| -> f64 { differenced_regressors(at, step).iter().zip(beta).map(|(x, b)| x * b).sum() };
        if series.len() < 2 {
            return persistence_forecast(series, steps);
        }
        let changes: Vec<f64> = series
            .windows(2)
            .enumerate()
            .map(|(n, pair)| pair[1] - pair[0] - regression_part(from + step * (n as u32 + 1)))
            .collect();
        let past_innovations = innovations(changes.iter().copied(), *phi, *theta);
        let (mut change, mut innovation) = (changes[changes.len() - 1], past_innovations[past_innovations.len() - 1]);
        let mut level = series[series.len() - 1];
        let (mut psi, mut psi_sum, mut forecast_variance) = (1.0, 1.0, 0.0);
        let mut forecast = Forecast { mean: Vec::new(), upper: Vec::new(), is_persistence: false };
        for ahead in 0..steps {
            change = phi * change + theta * innovation;
            innovation = 0.0;
            level += change + regression_part(from + step * (series.len() + ahead) as u32);
            forecast_variance += variance * psi_sum * psi_sum;
            psi = if ahead == 0 { phi + theta } else { psi * phi };
            psi_sum += psi;
            forecast.mean.push(level.max(0.0));
            forecast.upper.push((level + P90 * forecast_variance.sqrt()).max(0.0));
        }
        if forecast.mean.iter().chain(&forecast.upper).all(|value| value.is_finite()) {
            forecast
        } else {
            persistence_forecast(series, steps)
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::{RngExt, SeedableRng};

    const STEP: Duration = Duration::from_secs(15);

    fn model(phi: f64, theta: f64, variance: f64) -> Model {
        Model { arma: Arma { phi, theta, beta: [0.0; REGRESSOR_COUNT], variance } }
    }

    #[test]
    fn forecast_equals_hand_computed_values() {
        // Changes 2, 1 with phi 0.5 and theta 0.25: innovations 2 and 1 - 1 - 0.5 = -0.5. The next change
        // is 0.5*1 + 0.25*(-0.5) = 0.375, then 0.1875, so levels 13.375 and 13.5625. With variance
        // 4 the standard deviations are 2 and 2*sqrt(1 + 1.75^2).
        let forecast = model(0.5, 0.25, 4.0).forecast(&[10.0, 12.0, 13.0], Duration::ZERO, STEP, 2);
        let near = |a: f64, b: f64| (a - b).abs() < 1e-9;
        assert!(near(forecast.mean[0], 13.375) && near(forecast.mean[1], 13.5625), "{forecast:?}");
        assert!(near(forecast.upper[0], 13.375 + P90 * 2.0));
        assert!(near(forecast.upper[1], 13.5625 + P90 * 2.0 * (1.0f64 + 1.75 * 1.75).sqrt()));
    }

    #[test]
    fn fit_recovers_parameters_of_the_generating_process() {
        let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(11);
        let (mut change, mut innovation, mut level) = (0.0, 0.0, 500.0);
        let series: Vec<f64> = (0..960)
            .map(|_| {
                let next_innovation: f64 = (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0;
                change = 0.6 * change + next_innovation + 0.3 * innovation;
                innovation = next_innovation;
                level += change;
                level
            })
            .collect();
        let (phi, theta) = Model::fit(&series, Duration::ZERO, STEP).unwrap().parameters();
        assert!((phi - 0.6).abs() < 0.12 && (theta - 0.3).abs() < 0.12, "phi {phi} theta {theta}");
    }

    #[test]
    fn short_constant_and_non_finite_series_are_not_fitted() {
        assert!(Model::fit(&[1.0, 2.0, 3.0, 4.0, 5.0, 6.0, 7.0], Duration::ZERO, STEP).is_none());
        assert!(Model::fit(&[3.0; 40], Duration::ZERO, STEP).is_none());
        let mut non_finite = vec![1.0; 40];
        non_finite[20] = f64::NAN;
        assert!(Model::fit(&non_finite, Duration::ZERO, STEP).is_none());
        assert_eq!(persistence_forecast(&[1.0, 7.0], 3).mean, vec![7.0; 3]);
    }
}
