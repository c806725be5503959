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
mod player;
mod tuner;
mod window;

pub use demand::{Level, capacity, demand};
pub use forecast::{Forecast, Model, persistence};
pub use idle_retention::{ArrivalRate, InstanceCost};
pub use live_demand::LiveDemand;
pub use optimizer::{Optimizer, Planned};
pub use plan::{Plan, PlanError, PlanTask, plan};
pub use player::{Decision, Player, PlayerTiming, Situation, fallback};
pub use tuner::{Measure, Tuned, Tuner};
pub use window::{Sample, Window};
