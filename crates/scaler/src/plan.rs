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
pub struct PlanInput<'a> {
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
    pub time_limit: Duration,
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
    InvalidCapacity,
    /// The solver failed or ran out of time.
    #[display("solver found no plan: {_0}")]
    Solver(String),
}

/// Solves the integer program.
pub fn solve_plan(input: &PlanInput) -> Result<Plan, PlanError> {
    if !input.capacity.is_finite() || input.capacity <= 0.0 {
        return Err(PlanError::InvalidCapacity);
    }
    let steps = input.coverage.len();
    let sheet = input.sheet;
    let delay = sheet.startup_delay_steps as usize;
    let (min, max) = (input.min.min(input.max), input.max);
    let current = input.current.clamp(min, max);
    let discount = |t: usize| sheet.time_discount.powi(t as i32);
    let mut problem = Problem::new(OptimizationDirection::Minimize);
    problem.set_time_limit(input.time_limit);
    let mut counts: Vec<Variable> = Vec::with_capacity(steps);
    let (mut scale_ups, mut scale_downs) = (Vec::new(), Vec::new());
    for t in 0..steps {
        let bounds = if t == 0 { (current as i32, current as i32) } else { (min as i32, max as i32) };
        counts.push(problem.add_integer_var(sheet.replica_cost, bounds));
        scale_ups.push(problem.add_integer_var(sheet.startup_cost, (0, sheet.max_scale_up as i32)));
        let max_scale_down = if t == 0 { 0 } else { sheet.max_scale_down as i32 };
        scale_downs.push(problem.add_integer_var(sheet.shutdown_cost, (0, max_scale_down)));
        let covered = input.coverage[t].max(0.0);
        let soft_shortfall = problem.add_var(discount(t) * sheet.sla_soft, (0.0, sheet.soft_fraction * covered));
        let hard_shortfall = problem.add_var(discount(t) * sheet.sla_hard, (0.0, f64::INFINITY));
        problem.add_constraint(
            [(counts[t], input.capacity), (soft_shortfall, 1.0), (hard_shortfall, 1.0)],
            ComparisonOp::Ge,
            covered,
        );
        if input.demand[t] > 0.0 {
            let no_instances = problem.add_binary_var(discount(t) * sheet.sla_hard);
            problem.add_constraint([(counts[t], 1.0), (no_instances, 1.0)], ComparisonOp::Ge, 1.0);
        }
        if t > 0 {
            let mut flow = vec![(counts[t], 1.0), (counts[t - 1], -1.0), (scale_downs[t], 1.0)];
            if t >= delay {
                flow.push((scale_ups[t - delay], -1.0));
            }
            problem.add_constraint(flow, ComparisonOp::Eq, 0.0);
            problem.add_constraint([(scale_downs[t], 1.0), (counts[t - 1], -1.0)], ComparisonOp::Le, 0.0);
        }
    }
    let last = steps.saturating_sub(1);
    let reachable = current.saturating_add(sheet.max_scale_up.saturating_mul(steps.saturating_sub(delay) as u32));
    if steps > 1 {
        let required = ((input.demand[last] / input.capacity).ceil().max(0.0) as u32).min(max).min(reachable);
        if required > min {
            problem.add_constraint([(counts[last], 1.0)], ComparisonOp::Ge, f64::from(required));
        }
    }
    let solved = problem.solve().map_err(|error| PlanError::Solver(error.to_string()))?;
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
    fn minimum_cost(input: &PlanInput, t: usize, count: u32, scale_ups: &mut Vec<u32>) -> f64 {
        let sheet = input.sheet;
        let steps = input.coverage.len();
        let delay = sheet.startup_delay_steps as usize;
        let shortfall = (input.coverage[t] - input.capacity * f64::from(count)).max(0.0);
        let soft_shortfall = shortfall.min(sheet.soft_fraction * input.coverage[t]);
        let no_instances = f64::from(u8::from(count == 0 && input.demand[t] > 0.0));
        let weight = sheet.time_discount.powi(t as i32);
        let step_cost = sheet.replica_cost * f64::from(count)
            + weight * (sheet.sla_soft * soft_shortfall + sheet.sla_hard * (shortfall - soft_shortfall + no_instances));
        let mut minimum = f64::INFINITY;
        for up in 0..=sheet.max_scale_up {
            scale_ups.push(up);
            let total_cost = step_cost + sheet.startup_cost * f64::from(up);
            if t + 1 == steps {
                let reachable = input.current + sheet.max_scale_up * (steps - delay) as u32;
                let required = ((input.demand[t] / input.capacity).ceil() as u32).min(input.max).min(reachable);
                if steps == 1 || count >= required {
                    minimum = minimum.min(total_cost);
                }
            } else {
                let started = if t + 1 >= delay { scale_ups[t + 1 - delay] } else { 0 };
                for down in 0..=sheet.max_scale_down.min(count) {
                    let next = count + started - down;
                    if next >= input.min && next <= input.max {
                        let rest = minimum_cost(input, t + 1, next, scale_ups);
                        minimum = minimum.min(total_cost + sheet.shutdown_cost * f64::from(down) + rest);
                    }
                }
            }
            scale_ups.pop();
        }
        minimum
    }

    #[test_case(3; "seed 3")]
    #[test_case(8; "seed 8")]
    #[test_case(21; "seed 21")]
    fn solver_cost_equals_the_enumerated_minimum(seed: u64) {
        let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
        for _ in 0..12 {
            let steps = rng.random_range(2..=4);
            let demand: Vec<f64> = (0..steps).map(|_| f64::from(rng.random_range(0..50u32)) / 10.0).collect();
            let coverage: Vec<f64> = demand.iter().map(|d| d * 1.2).collect();
            let sheet = WeightSheet {
                replica_cost: rng.random_range(1..8u32).into(),
                sla_soft: rng.random_range(1..12u32).into(),
                sla_hard: rng.random_range(10..60u32).into(),
                startup_cost: f64::from(rng.random_range(0..6u32)) / 2.0,
                shutdown_cost: f64::from(rng.random_range(0..4u32)) / 4.0,
                max_scale_up: 2,
                max_scale_down: 2,
                startup_delay_steps: rng.random_range(1..=2),
                ..WeightSheet::default()
            };
            let input = PlanInput {
                current: rng.random_range(0..=3),
                min: 0,
                max: 5,
                capacity: 1.5,
                demand: &demand,
                coverage: &coverage,
                sheet: &sheet,
                time_limit: LIMIT,
            };
            let minimum = minimum_cost(&input, 0, input.current, &mut Vec::new());
            let found = solve_plan(&input).unwrap();
            assert_eq!(found.counts[0], input.current);
            assert!((found.cost - minimum).abs() < 1e-6, "{input:?}: solver {found:?}, minimum {minimum}");
        }
    }

    #[test]
    fn one_step_plan_keeps_the_count_and_scale_up_waits_for_the_startup_delay() {
        let sheet = WeightSheet::default();
        let mut input = PlanInput {
            current: 2,
            min: 0,
            max: 9,
            capacity: 1.0,
            demand: &[7.0],
            coverage: &[7.0],
            sheet: &sheet,
            time_limit: LIMIT,
        };
        assert_eq!(solve_plan(&input).unwrap().counts, vec![2]);
        (input.demand, input.coverage) = (&[7.0; 3], &[7.0; 3]);
        assert_eq!(solve_plan(&input).unwrap().counts, vec![2, 7, 7]);
        input.capacity = f64::NAN;
        assert_eq!(solve_plan(&input), Err(PlanError::InvalidCapacity));
    }
}
