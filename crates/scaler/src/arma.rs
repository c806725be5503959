//! Fits ARMA(1,1) with regressors to once-differenced data: minimizes the conditional sum of squares over
//! (phi, theta) by the Nelder-Mead method and solves the linear regression in each evaluation.

use crate::fourier::REGRESSOR_COUNT;
use argmin::core::{CostFunction, Error, Executor, State};
use argmin::solver::neldermead::NelderMead;
use nalgebra::{DMatrix, DVector};

/// Maximum absolute value of phi and theta.
const MAX_COEFFICIENT: f64 = 0.98;
/// Maximum number of Nelder-Mead iterations.
const MAX_ITERATIONS: u64 = 60;
/// Singular values below this fraction of the largest are treated as zero.
const SINGULAR_VALUE_THRESHOLD: f64 = 1e-4;

/// Fitted parameters of the model.
#[derive(Clone, Debug)]
pub struct Arma {
    pub phi: f64,
    pub theta: f64,
    pub beta: [f64; REGRESSOR_COUNT],
    pub variance: f64,
}

/// Returns the innovations of a series under (phi, theta), with initial value and innovation zero.
pub fn innovations(series: impl Iterator<Item = f64>, phi: f64, theta: f64) -> Vec<f64> {
    let (mut previous, mut innovation) = (0.0, 0.0);
    series
        .map(|value| {
            innovation = value - phi * previous - theta * innovation;
            previous = value;
            innovation
        })
        .collect()
}

struct SumOfSquares<'a> {
    target: &'a [f64],
    regressors: &'a [[f64; REGRESSOR_COUNT]],
}

impl SumOfSquares<'_> {
    fn solve(&self, phi: f64, theta: f64) -> (f64, [f64; REGRESSOR_COUNT]) {
        let target_innovations = DVector::from_vec(innovations(self.target.iter().copied(), phi, theta));
        let mut design = DMatrix::zeros(self.target.len(), REGRESSOR_COUNT);
        for column in 0..REGRESSOR_COUNT {
            let filtered = innovations(self.regressors.iter().map(|row| row[column]), phi, theta);
            design.set_column(column, &DVector::from_vec(filtered));
        }
        let gram = design.transpose() * &design;
        let moment = design.transpose() * &target_innovations;
        let decomposed = gram.svd(true, true);
        let threshold = decomposed.singular_values.max() * SINGULAR_VALUE_THRESHOLD;
        let beta = decomposed.solve(&moment, threshold).unwrap_or_else(|_| DVector::zeros(REGRESSOR_COUNT));
        let residuals = target_innovations - design * &beta;
        let mut coefficients = [0.0; REGRESSOR_COUNT];
        coefficients.copy_from_slice(beta.as_slice());
        (residuals.norm_squared(), coefficients)
    }
}

impl CostFunction for SumOfSquares<'_> {
    type Param = Vec<f64>;
    type Output = f64;

    fn cost(&self, unbounded: &Vec<f64>) -> Result<f64, Error> {
        Ok(self.solve(MAX_COEFFICIENT * unbounded[0].tanh(), MAX_COEFFICIENT * unbounded[1].tanh()).0)
    }
}

/// Fits a differenced series and its regressor rows; `None` if the search fails or the fit is not finite.
pub fn fit(target: &[f64], regressors: &[[f64; REGRESSOR_COUNT]]) -> Option<Arma> {
    let cost_function = SumOfSquares { target, regressors };
    let simplex = vec![vec![0.3, -0.3], vec![-0.4, 0.2], vec![0.6, 0.5]];
    let solver = NelderMead::new(simplex).with_sd_tolerance(1e-6).ok()?;
    let search = Executor::new(cost_function, solver).configure(|state| state.max_iters(MAX_ITERATIONS)).run().ok()?;
    let best = search.state().get_best_param()?.clone();
    let (phi, theta) = (MAX_COEFFICIENT * best[0].tanh(), MAX_COEFFICIENT * best[1].tanh());
    let (sum_of_squares, beta) = SumOfSquares { target, regressors }.solve(phi, theta);
    let fitted = Arma { phi, theta, beta, variance: sum_of_squares / target.len() as f64 };
    let is_usable = fitted.variance.is_finite() && beta.iter().all(|b| b.is_finite());
    is_usable.then_some(fitted)
}
