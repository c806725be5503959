//! Fits ARMA(1,1) with regressors to once-differenced data: minimizes the conditional sum of squares over
//! (phi, theta) by the Nelder-Mead method and solves the linear regression in each evaluation.

use crate::fourier::COLUMNS;
use argmin::core::{CostFunction, Error, Executor, State};
use argmin::solver::neldermead::NelderMead;
use nalgebra::{DMatrix, DVector};

/// Maximum absolute value of phi and theta.
const BOUND: f64 = 0.98;
/// Maximum number of Nelder-Mead iterations.
const ITERATIONS: u64 = 60;
/// Singular values below this fraction of the largest are treated as zero.
const RANK_CUT: f64 = 1e-4;

/// Fitted parameters of the model.
#[derive(Clone, Debug)]
pub struct Arma {
    pub phi: f64,
    pub theta: f64,
    pub beta: [f64; COLUMNS],
    pub variance: f64,
}

/// Returns the innovations of a series under (phi, theta), with initial value and innovation zero.
pub fn innovations(series: impl Iterator<Item = f64>, phi: f64, theta: f64) -> Vec<f64> {
    let (mut before, mut shock) = (0.0, 0.0);
    series
        .map(|value| {
            shock = value - phi * before - theta * shock;
            before = value;
            shock
        })
        .collect()
}

struct Squares<'a> {
    target: &'a [f64],
    rows: &'a [[f64; COLUMNS]],
}

impl Squares<'_> {
    fn solve(&self, phi: f64, theta: f64) -> (f64, [f64; COLUMNS]) {
        let shocks = DVector::from_vec(innovations(self.target.iter().copied(), phi, theta));
        let mut design = DMatrix::zeros(self.target.len(), COLUMNS);
        for column in 0..COLUMNS {
            let filtered = innovations(self.rows.iter().map(|row| row[column]), phi, theta);
            design.set_column(column, &DVector::from_vec(filtered));
        }
        let gram = design.transpose() * &design;
        let moment = design.transpose() * &shocks;
        let decomposed = gram.svd(true, true);
        let cut = decomposed.singular_values.max() * RANK_CUT;
        let beta = decomposed.solve(&moment, cut).unwrap_or_else(|_| DVector::zeros(COLUMNS));
        let left = shocks - design * &beta;
        let mut found = [0.0; COLUMNS];
        found.copy_from_slice(beta.as_slice());
        (left.norm_squared(), found)
    }
}

impl CostFunction for Squares<'_> {
    type Param = Vec<f64>;
    type Output = f64;

    fn cost(&self, free: &Vec<f64>) -> Result<f64, Error> {
        Ok(self.solve(BOUND * free[0].tanh(), BOUND * free[1].tanh()).0)
    }
}

/// Fits a differenced series and its regressor rows; `None` if the search fails or the fit is not finite.
pub fn fit(target: &[f64], rows: &[[f64; COLUMNS]]) -> Option<Arma> {
    let squares = Squares { target, rows };
    let corners = vec![vec![0.3, -0.3], vec![-0.4, 0.2], vec![0.6, 0.5]];
    let solver = NelderMead::new(corners).with_sd_tolerance(1e-6).ok()?;
    let search = Executor::new(squares, solver).configure(|state| state.max_iters(ITERATIONS)).run().ok()?;
    let best = search.state().get_best_param()?.clone();
    let (phi, theta) = (BOUND * best[0].tanh(), BOUND * best[1].tanh());
    let (sum, beta) = Squares { target, rows }.solve(phi, theta);
    let fitted = Arma { phi, theta, beta, variance: sum / target.len() as f64 };
    let sound = fitted.variance.is_finite() && beta.iter().all(|b| b.is_finite());
    sound.then_some(fitted)
}
