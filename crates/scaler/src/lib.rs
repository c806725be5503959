//! Predictive scaler of function instances: a window of fifteen-second samples, a SARIMAX forecast with
//! daily and weekly Fourier terms, its conversion to demand, an integer program that accounts for the
//! startup delay, and the execution of the resulting plan by elapsed step. `Optimizer` holds the whole
//! state of the registry that plans.

#![warn(missing_docs)]

mod arma;
mod demand;
mod forecast;
mod fourier;
mod idle_retention;
mod live_demand;
mod optimizer;
mod plan;
mod plan_executor;
mod tuner;
mod window;

pub use demand::{RecentLoad, demand_for_rates, instance_capacity};
pub use forecast::{Forecast, Model, persistence_forecast};
pub use idle_retention::{ArrivalRate, InstanceCost};
pub use live_demand::LiveDemand;
pub use optimizer::{Optimizer, PlanResult};
pub use plan::{Plan, PlanError, PlanInput, solve_plan};
pub use plan_executor::{Decision, FunctionState, PlanExecutor, PlanRequestTiming, fallback_count};
pub use tuner::{FunctionMeasurement, TunedWeights, Tuner};
pub use window::{Sample, Window};
