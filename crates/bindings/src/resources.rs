//! The kinds of declared resources, and the fields and defaults of bindings, weight sheets and headcount plans.

use crate::tuning::Tuning;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use std::collections::BTreeMap;

/// Kind of a declared resource.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// Route and the functions that serve it.
    FunctionBinding,
    /// Costs by which a function's instances are planned.
    WeightSheet,
    /// Operator's limits on the number of a function's instances.
    HeadcountPlan,
    /// Resource needs and limits of a function.
    Function,
    /// Limits on callers.
    Bounds,
    /// Caller that is identified by its API keys.
    Consumer,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Kind; 6] =
        [Kind::FunctionBinding, Kind::WeightSheet, Kind::HeadcountPlan, Kind::Function, Kind::Bounds, Kind::Consumer];

    /// Returns the names of all kinds, separated by commas, for error messages about unknown kinds.
    pub fn names() -> String {
        Kind::ALL.map(Kind::name).join(", ")
    }

    /// Returns the kind's name in paths and documents, such as `weight-sheets`.
    pub fn name(self) -> &'static str {
        match self {
            Kind::FunctionBinding => "function-bindings",
            Kind::WeightSheet => "weight-sheets",
            Kind::HeadcountPlan => "headcount-plans",
            Kind::Function => "functions",
            Kind::Bounds => "bounds",
            Kind::Consumer => "consumers",
        }
    }

    /// Returns the kind with this name.
    pub fn from_name(name: &str) -> Option<Kind> {
        Kind::ALL.into_iter().find(|kind| kind.name() == name)
    }
}

/// Guarantee about how often a request is run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// May be retried on another instance, within the deadline and the retry budget.
    Ordinary,
    /// Sent at most once, to a single instance, without a key or the run-once store.
    Single,
    /// Run once under the caller's key, which is claimed in the run-once store before the request is sent.
    Once,
    /// Stored before the first attempt and retried until an instance answers.
    Deferred,
}

fn default_deadline_ms() -> u32 {
    4000
}
fn default_instance_limit() -> u32 {
    1
}
fn default_memory_mb() -> u32 {
    256
}
fn default_max_instances() -> u32 {
    20
}
fn default_player_weight() -> f64 {
    1.0
}
fn default_attempts() -> u32 {
    2
}
pub(crate) fn default_rank() -> u32 {
    1
}

/// Route and the function or functions that its requests are sent to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FunctionBinding {
    /// Host of the route, compared without case and port; empty for any host.
    #[serde(default)]
    pub host: String,
    /// Path or path prefix of the route.
    pub route: String,
    /// Function that requests are sent to, by its name without the tenant; may be empty if there are shares.
    #[serde(default)]
    pub function: String,
    /// Functions and their weights, used instead of `function` if there are any.
    #[serde(default)]
    pub shares: BTreeMap<String, f64>,
    /// Guarantee about how often its requests are run.
    pub class: Class,
    /// Maximum total time of a request, in milliseconds.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u32,
    /// Maximum number of concurrent requests per instance.
    #[serde(default = "default_instance_limit")]
    pub instance_limit: u32,
    /// Memory of an instance, in MB.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: u32,
    /// Minimum number of instances.
    #[serde(default)]
    pub min: u32,
    /// Maximum number of instances.
    #[serde(default = "default_max_instances")]
    pub max: u32,
    /// Priority of the functions when instance starts are limited, 0 to 10. At 0 the requests queue behind all others.
    #[serde(default = "default_player_weight")]
    pub player_weight: f64,
    /// Target response time in milliseconds, within which an answer has the highest value.
    #[serde(default)]
    pub aim_ms: Option<u32>,
    /// Maximum number of instances that a request may be sent to.
    #[serde(default = "default_attempts")]
    pub attempts: u32,
    /// Rank of the requests; 0 is served first.
    #[serde(default = "default_rank")]
    pub rank: u32,
    /// Whether the functions must be declared as separate resources.
    #[serde(default)]
    pub declared: bool,
    /// Whether requests need no API key, even if other routes require one.
    #[serde(default)]
    pub public: bool,
    /// Free-form notes of the operator, returned as declared.
    #[serde(default)]
    pub notes: Map<String, Value>,
}

impl FunctionBinding {
    /// Iterates over the functions and their weights.
    pub fn functions(&self) -> impl Iterator<Item = (&str, f64)> {
        let single = self.shares.is_empty().then_some((self.function.as_str(), 1.0));
        single.into_iter().chain(self.shares.iter().map(|(name, weight)| (name.as_str(), *weight)))
    }

    /// Returns whether requests may be sent to a function, which needs a weight above 0.
    pub fn sends_to(&self, function: &str) -> bool {
        self.functions().any(|(name, weight)| name == function && weight > 0.0)
    }

    /// Picks a function by weight. `random` must be uniformly distributed.
    pub fn pick_function(&self, random: u64) -> &str {
        let total: f64 = self.functions().map(|(_, weight)| weight).sum();
        let mut remaining = random as f64 / (u64::MAX as f64 + 1.0) * total;
        let mut picked = self.function.as_str();
        for (name, weight) in self.functions().filter(|(_, weight)| *weight > 0.0) {
            picked = name;
            remaining -= weight;
            if remaining < 0.0 {
                break;
            }
        }
        picked
    }
}

/// Costs and limits by which a function's instances are planned.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WeightSheet {
    /// Cost of an instance per step.
    pub replica_cost: f64,
    /// Cost of uncovered demand up to the soft fraction.
    pub sla_soft: f64,
    /// Cost of uncovered demand beyond the soft fraction, and of demand without any instance.
    pub sla_hard: f64,
    /// Fraction of the demand that may stay uncovered at the soft cost, 0 to 1.
    pub soft_fraction: f64,
    /// Cost of starting an instance.
    pub startup_cost: f64,
    /// Cost of stopping an instance.
    pub shutdown_cost: f64,
    /// Cost of uncovered demand relative to the same demand in the previous step, 0 to 1.
    pub time_discount: f64,
    /// Maximum number of instances started per step.
    pub max_scale_up: u32,
    /// Maximum number of instances stopped per step.
    pub max_scale_down: u32,
    /// Number of steps between the start order and a ready instance.
    pub startup_delay_steps: u32,
    /// Weight of the forecast work in the demand.
    pub work_weight: f64,
    /// Weight of requests that wait for capacity in the demand.
    pub waiting_weight: f64,
    /// Weight of requests that wait for a first instance in the demand.
    pub held_weight: f64,
    /// Whether the forecast's upper band is covered instead of its mean.
    pub risk_aware: bool,
    /// Utilization that capacity is planned for, 0 to 1.
    pub target_usage: f64,
    /// Demand below this value is treated as zero.
    pub demand_floor: f64,
    /// Fields that may be tuned, and their ranges.
    pub tuning: Tuning,
}

impl Default for WeightSheet {
    fn default() -> Self {
        WeightSheet {
            replica_cost: 1.0,
            sla_soft: 20.0,
            sla_hard: 200.0,
            soft_fraction: 0.2,
            startup_cost: 0.5,
            shutdown_cost: 0.1,
            time_discount: 0.98,
            max_scale_up: 8,
            max_scale_down: 2,
            startup_delay_steps: 1,
            work_weight: 0.05,
            waiting_weight: 0.1,
            held_weight: 1.0,
            risk_aware: true,
            target_usage: 0.6,
            demand_floor: 0.005,
            tuning: Tuning::default(),
        }
    }
}

/// Operator's limits on the number of a function's instances.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct HeadcountPlan {
    /// Exact number of instances, which overrides any computed plan.
    pub fixed: Option<u32>,
    /// Minimum number of instances.
    pub min: Option<u32>,
    /// Maximum number of instances.
    pub max: Option<u32>,
}
