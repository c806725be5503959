//! The declared kinds and the fields of the first three, with the defaults an operator may leave out.

use crate::tuning::Tuning;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use std::collections::BTreeMap;

/// The kinds of resources that operators declare.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// A route and what serves it.
    FunctionBinding,
    /// The costs that a function's planning weighs.
    WeightSheet,
    /// The operator's bounds on a function's instances.
    HeadcountPlan,
    /// A function's needs and limits.
    Function,
    /// Bounds on callers.
    Bounds,
    /// Whoever calls with one of its API keys.
    Consumer,
}

impl Kind {
    /// Every kind.
    pub const ALL: [Kind; 6] =
        [Kind::FunctionBinding, Kind::WeightSheet, Kind::HeadcountPlan, Kind::Function, Kind::Bounds, Kind::Consumer];

    /// The words of all kinds, as they are told to whoever used another.
    pub fn names() -> String {
        Kind::ALL.map(Kind::name).join(", ")
    }

    /// The kind's word in paths and documents, such as `weight-sheets`.
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

    /// The kind of a word.
    pub fn from_name(name: &str) -> Option<Kind> {
        Kind::ALL.into_iter().find(|kind| kind.name() == name)
    }
}

/// What is promised about running a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// May be tried again on another instance, within its deadline and the retry budget.
    Ordinary,
    /// Sent to one instance at most, and once, without a key or a run-once store.
    Single,
    /// Run once under the caller's key, which is claimed in the run-once store before it is sent.
    Once,
    /// Stored before it is tried, and tried until an instance answers.
    Deferred,
}

fn deadline() -> u32 {
    4000
}
fn one() -> u32 {
    1
}
fn memory() -> u32 {
    256
}
fn max() -> u32 {
    20
}
fn player_weight() -> f64 {
    1.0
}
fn attempts() -> u32 {
    2
}
pub(crate) fn rank() -> u32 {
    1
}

/// A route, and the function or functions its requests go to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FunctionBinding {
    /// The host it is for, in any case and with or without a port; empty for any host.
    #[serde(default)]
    pub host: String,
    /// The path prefix it is for.
    pub route: String,
    /// The one function it sends to, as `tenant/service`; empty where there are shares.
    #[serde(default)]
    pub function: String,
    /// Functions and their weights; if there are any, they take the place of the one function.
    #[serde(default)]
    pub shares: BTreeMap<String, f64>,
    /// What is promised about its requests.
    pub class: Class,
    /// How long a request may take in all.
    #[serde(default = "deadline")]
    pub deadline_ms: u32,
    /// The most requests that one instance may have at once.
    #[serde(default = "one")]
    pub instance_limit: u32,
    /// The memory an instance needs.
    #[serde(default = "memory")]
    pub memory_mb: u32,
    /// The fewest instances.
    #[serde(default)]
    pub min: u32,
    /// The most instances.
    #[serde(default = "max")]
    pub max: u32,
    /// Which functions go first where starts are limited, 0 to 10; at 0 its requests queue behind all others.
    #[serde(default = "player_weight")]
    pub player_weight: f64,
    /// The time within which an answer is worth most.
    #[serde(default)]
    pub aim_ms: Option<u32>,
    /// The most instances that one task may be sent to.
    #[serde(default = "attempts")]
    pub attempts: u32,
    /// 0 goes before all others.
    #[serde(default = "rank")]
    pub rank: u32,
    /// Whether its functions must be declared as resources of their own.
    #[serde(default)]
    pub declared: bool,
    /// Whether it takes requests without an API key where others need one.
    #[serde(default)]
    pub public: bool,
    /// What the operator keeps beside it; given back as declared.
    #[serde(default)]
    pub notes: Map<String, Value>,
}

impl FunctionBinding {
    /// The functions it may send to, each with its weight.
    pub fn functions(&self) -> impl Iterator<Item = (&str, f64)> {
        let alone = self.shares.is_empty().then_some((self.function.as_str(), 1.0));
        alone.into_iter().chain(self.shares.iter().map(|(name, weight)| (name.as_str(), *weight)))
    }

    /// Whether it may send to a function at present.
    pub fn sends_to(&self, function: &str) -> bool {
        self.functions().any(|(name, weight)| name == function && weight > 0.0)
    }

    /// One of its functions, by weight; every value of the dice is as likely as another.
    pub fn pick_function(&self, dice: u64) -> &str {
        let sum: f64 = self.functions().map(|(_, weight)| weight).sum();
        let mut left = dice as f64 / (u64::MAX as f64 + 1.0) * sum;
        let mut last = self.function.as_str();
        for (name, weight) in self.functions().filter(|(_, weight)| *weight > 0.0) {
            last = name;
            left -= weight;
            if left < 0.0 {
                break;
            }
        }
        last
    }
}

/// The weights of a function's planning.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WeightSheet {
    /// The cost of an instance in a step.
    pub replica_cost: f64,
    /// The cost of uncovered demand, up to the soft fraction.
    pub sla_soft: f64,
    /// The cost of uncovered demand beyond it, and of demand that meets no instance at all.
    pub sla_hard: f64,
    /// The part of the demand to be covered that may be missed at the soft cost, 0 to 1.
    pub soft_fraction: f64,
    /// The cost of starting an instance.
    pub startup_cost: f64,
    /// The cost of stopping an instance.
    pub shutdown_cost: f64,
    /// What uncovered demand costs against the same in the step before, 0 to 1.
    pub time_discount: f64,
    /// The most instances started in a step.
    pub max_scale_up: u32,
    /// The most instances stopped in a step.
    pub max_scale_down: u32,
    /// Steps between an order and a ready instance.
    pub startup_delay_steps: u32,
    /// What the forecast work weighs in the demand.
    pub work_weight: f64,
    /// What requests waiting for room weigh in the demand.
    pub waiting_weight: f64,
    /// What requests waiting for a first instance weigh in the demand.
    pub held_weight: f64,
    /// Whether the forecast's upper band is covered, rather than its mean.
    pub risk_aware: bool,
    /// The utilization that capacity is planned at, 0 to 1.
    pub target_usage: f64,
    /// Demand below this counts as none.
    pub demand_floor: f64,
    /// Which fields may be tuned, and how far.
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

/// The operator's own say on a function's instances.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct HeadcountPlan {
    /// Exactly so many; it goes before any plan.
    pub fixed: Option<u32>,
    /// The fewest instances.
    pub min: Option<u32>,
    /// The most instances.
    pub max: Option<u32>,
}
