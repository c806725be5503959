//! Exogenous regressors of the forecast: two harmonics each of the day and of the week. They depend on time
//! alone, so their future values are known.

use std::time::Duration;

/// Number of regressors.
pub const REGRESSOR_COUNT: usize = 8;
const DAY: f64 = 86_400.0;
const WEEK: f64 = 7.0 * DAY;

/// Returns the regressors at a time.
pub fn regressors_at(at: Duration) -> [f64; REGRESSOR_COUNT] {
    let seconds = at.as_secs_f64();
    let mut row = [0.0; REGRESSOR_COUNT];
    for (index, (period, harmonic)) in [(DAY, 1.0), (DAY, 2.0), (WEEK, 1.0), (WEEK, 2.0)].into_iter().enumerate() {
        let angle = std::f64::consts::TAU * harmonic * seconds / period;
        row[2 * index] = angle.sin();
        row[2 * index + 1] = angle.cos();
    }
    row
}
