//! The declared kinds and the fields of the first three, with the defaults an operator may leave out.

use crate::tuning::Tuning;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use std::collections::BTreeMap;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    FunctionBinding,
    WeightSheet,
    HeadcountPlan,
    Function,
    Bounds,
}

impl Kind {
    pub const ALL: [Kind; 5] =
        [Kind::FunctionBinding, Kind::WeightSheet, Kind::HeadcountPlan, Kind::Function, Kind::Bounds];

    /// The words of all kinds, as they are told to whoever used another.
    pub fn words() -> String {
        Kind::ALL.map(Kind::word).join(", ")
    }

    pub fn word(self) -> &'static str {
        match self {
            Kind::FunctionBinding => "function-bindings",
            Kind::WeightSheet => "weight-sheets",
            Kind::HeadcountPlan => "headcount-plans",
            Kind::Function => "functions",
            Kind::Bounds => "bounds",
        }
    }

    pub fn from_word(word: &str) -> Option<Kind> {
        Kind::ALL.into_iter().find(|kind| kind.word() == word)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    Ordinary,
    /// Sent to one instance at most, and once, without a key or a ledger.
    Single,
    Once,
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

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FunctionBinding {
    /// The host it is for, in any case and with or without a port; empty for any host.
    #[serde(default)]
    pub host: String,
    pub route: String,
    #[serde(default)]
    pub function: String,
    /// Functions and their weights; if there are any, they take the place of the one function.
    #[serde(default)]
    pub shares: BTreeMap<String, f64>,
    pub class: Class,
    #[serde(default = "deadline")]
    pub deadline_ms: u32,
    #[serde(default = "one")]
    pub instance_limit: u32,
    #[serde(default = "memory")]
    pub memory_mb: u32,
    #[serde(default)]
    pub min: u32,
    #[serde(default = "max")]
    pub max: u32,
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
    pub fn function_for(&self, dice: u64) -> &str {
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

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WeightSheet {
    pub replica_cost: f64,
    pub sla_soft: f64,
    pub sla_hard: f64,
    pub soft_fraction: f64,
    pub startup_cost: f64,
    pub shutdown_cost: f64,
    pub time_discount: f64,
    pub max_scale_up: u32,
    pub max_scale_down: u32,
    pub startup_delay_steps: u32,
    pub work_weight: f64,
    pub waiting_weight: f64,
    pub held_weight: f64,
    pub risk_aware: bool,
    pub target_usage: f64,
    pub demand_floor: f64,
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

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct HeadcountPlan {
    pub fixed: Option<u32>,
    pub min: Option<u32>,
    pub max: Option<u32>,
}
