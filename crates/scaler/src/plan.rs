//! Integer program for the instance counts. The first step is fixed to the current count; a scale-up decided
//! at step k takes effect at k plus the startup delay; changes per step are bounded; uncovered demand has a
//! low-cost soft tier and a high-cost hard tier; zero instances under demand are penalized; and the last step
//! covers its demand as far as the bounds allow. The formulation comes from the design this scaler follows.

use bindings::WeightSheet;
use derive_more::Display;
use microlp::{ComparisonOp, OptimizationDirection, Problem, Variable};
use std::time::Duration;

/// Input of the integer program for one function.
#[derive(Clone, Debug)]
pub struct PlanTask<'a> {
    /// Number of instances running or starting now.
    pub current: u32,
    /// Minimum number of instances.
    pub min: u32,
    /// Maximum number of instances.
    pub max: u32,
    /// Demand that one instance serves.
    pub capacity: f64,
    /// Expected demand in each step.
    pub demand: &'a [f64],
    /// Demand to cover in each step.
    pub coverage: &'a [f64],
    /// Weights of the costs.
    pub sheet: &'a WeightSheet,
    /// Time limit of the solver.
    pub limit: Duration,
}

/// Solution of the integer program.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Number of instances in each step.
    pub counts: Vec<u32>,
    /// Value of the objective.
    pub cost: f64,
}

/// Reason why planning failed.
#[derive(Debug, Display, PartialEq, Eq)]
pub enum PlanError {
    /// The capacity is zero, negative or not finite.
    #[display("instance capacity is not a positive number")]
    Capacity,
    /// The solver failed or ran out of time.
    #[display("solver found no plan: {_0}")]
    Solver(String),
}

/// Solves the integer program.
pub fn plan(task: &PlanTask) -> Result<Plan, PlanError> {
    if !task.capacity.is_finite() || task.capacity <= 0.0 {
        return Err(PlanError::Capacity);
    }
    let steps = task.coverage.len();
    let sheet = task.sheet;
    let delay = sheet.startup_delay_steps as usize;
    let (min, max) = (task.min.min(task.max), task.max);
    let current = task.current.clamp(min, max);
    let discount = |t: usize| sheet.time_discount.powi(t as i32);
    let mut problem = Problem::new(OptimizationDirection::Minimize);
    problem.set_time_limit(task.limit);
    let mut counts: Vec<Variable> = Vec::with_capacity(steps);
    let (mut ups, mut downs) = (Vec::new(), Vec::new());
    for t in 0..steps {
        let bounds = if t == 0 { (current as i32, current as i32) } else { (min as i32, max as i32) };
        counts.push(problem.add_integer_var(sheet.replica_cost, bounds));
        ups.push(problem.add_integer_var(sheet.startup_cost, (0, sheet.max_scale_up as i32)));
        let most = if t == 0 { 0 } else { sheet.max_scale_down as i32 };
        downs.push(problem.add_integer_var(sheet.shutdown_cost, (0, most)));
        let covered = task.coverage[t].max(0.0);
        let soft = problem.add_var(discount(t) * sheet.sla_soft, (0.0, sheet.soft_fraction * covered));
        let hard = problem.add_var(discount(t) * sheet.sla_hard, (0.0, f64::INFINITY));
        problem.add_constraint([(counts[t], task.capacity), (soft, 1.0), (hard, 1.0)], ComparisonOp::Ge, covered);
        if task.demand[t] > 0.0 {
            let none = problem.add_binary_var(discount(t) * sheet.sla_hard);
            problem.add_constraint([(counts[t], 1.0), (none, 1.0)], ComparisonOp::Ge, 1.0);
        }
        if t > 0 {
            let mut flow = vec![(counts[t], 1.0), (counts[t - 1], -1.0), (downs[t], 1.0)];
            if t >= delay {
                flow.push((ups[t - delay], -1.0));
            }
            problem.add_constraint(flow, ComparisonOp::Eq, 0.0);
            problem.add_constraint([(downs[t], 1.0), (counts[t - 1], -1.0)], ComparisonOp::Le, 0.0);
        }
    }
    let last = steps.saturating_sub(1);
    let reachable = current.saturating_add(sheet.max_scale_up.saturating_mul(steps.saturating_sub(delay) as u32));
    if steps > 1 {
        let wanted = ((task.demand[last] / task.capacity).ceil().max(0.0) as u32).min(max).min(reachable);
        if wanted > min {
            problem.add_constraint([(counts[last], 1.0)], ComparisonOp::Ge, f64::from(wanted));
        }
    }
    let solved = problem.solve().map_err(|fault| PlanError::Solver(fault.to_string()))?;
    let solution = solved.into_solution().map_err(|_| PlanError::Solver("time limit exceeded".into()))?;
    let found: Vec<u32> = counts.iter().map(|count| solution.var_value(*count).round().max(0.0) as u32).collect();
    Ok(Plan { counts: found, cost: solution.objective() })
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::{RngExt, SeedableRng};
    use test_case::test_case;

    const LIMIT: Duration = Duration::from_secs(60);

    /// Returns the minimum cost over every sequence of scale-ups and scale-downs, enumerated without the solver.
    fn brute(task: &PlanTask, t: usize, count: u32, ups: &mut Vec<u32>) -> f64 {
        let sheet = task.sheet;
        let steps = task.coverage.len();
        let delay = sheet.startup_delay_steps as usize;
        let short = (task.coverage[t] - task.capacity * f64::from(count)).max(0.0);
        let soft = short.min(sheet.soft_fraction * task.coverage[t]);
        let none = f64::from(u8::from(count == 0 && task.demand[t] > 0.0));
        let weight = sheet.time_discount.powi(t as i32);
        let here = sheet.replica_cost * f64::from(count)
            + weight * (sheet.sla_soft * soft + sheet.sla_hard * (short - soft + none));
        let mut least = f64::INFINITY;
        for up in 0..=sheet.max_scale_up {
            ups.push(up);
            let paid = here + sheet.startup_cost * f64::from(up);
            if t + 1 == steps {
                let reach = task.current + sheet.max_scale_up * (steps - delay) as u32;
                let wanted = ((task.demand[t] / task.capacity).ceil() as u32).min(task.max).min(reach);
                if steps == 1 || count >= wanted {
                    least = least.min(paid);
                }
            } else {
                let arriving = if t + 1 >= delay { ups[t + 1 - delay] } else { 0 };
                for down in 0..=sheet.max_scale_down.min(count) {
                    let next = count + arriving - down;
                    if next >= task.min && next <= task.max {
                        let rest = brute(task, t + 1, next, ups);
                        least = least.min(paid + sheet.shutdown_cost * f64::from(down) + rest);
                    }
                }
            }
            ups.pop();
        }
        least
    }

    #[test_case(3; "seed 3")]
    #[test_case(8; "seed 8")]
    #[test_case(21; "seed 21")]
    fn the_solver_meets_the_least_cost_found_by_trying_every_plan(seed: u64) {
        let mut dice = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
        for _ in 0..12 {
            let steps = dice.random_range(2..=4);
            let demand: Vec<f64> = (0..steps).map(|_| f64::from(dice.random_range(0..50u32)) / 10.0).collect();
            let coverage: Vec<f64> = demand.iter().map(|d| d * 1.2).collect();
            let sheet = WeightSheet {
                replica_cost: dice.random_range(1..8u32).into(),
                sla_soft: dice.random_range(1..12u32).into(),
                sla_hard: dice.random_range(10..60u32).into(),
                startup_cost: f64::from(dice.random_range(0..6u32)) / 2.0,
                shutdown_cost: f64::from(dice.random_range(0..4u32)) / 4.0,
                max_scale_up: 2,
                max_scale_down: 2,
                startup_delay_steps: dice.random_range(1..=2),
                ..WeightSheet::default()
            };
            let task = PlanTask {
                current: dice.random_range(0..=3),
                min: 0,
                max: 5,
                capacity: 1.5,
                demand: &demand,
                coverage: &coverage,
                sheet: &sheet,
                limit: LIMIT,
            };
            let least = brute(&task, 0, task.current, &mut Vec::new());
            let found = plan(&task).unwrap();
            assert_eq!(found.counts[0], task.current);
            assert!((found.cost - least).abs() < 1e-6, "{task:?}: solver {found:?}, least {least}");
        }
    }

    #[test]
    fn a_plan_of_one_step_has_nothing_free_and_the_delay_is_waited_for() {
        let sheet = WeightSheet::default();
        let mut task = PlanTask {
            current: 2,
            min: 0,
            max: 9,
            capacity: 1.0,
            demand: &[7.0],
            coverage: &[7.0],
            sheet: &sheet,
            limit: LIMIT,
        };
        assert_eq!(plan(&task).unwrap().counts, vec![2]);
        (task.demand, task.coverage) = (&[7.0; 3], &[7.0; 3]);
        assert_eq!(plan(&task).unwrap().counts, vec![2, 7, 7]);
        task.capacity = f64::NAN;
        assert_eq!(plan(&task), Err(PlanError::Capacity));
    }
}
