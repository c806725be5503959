//! The three declared kinds and their fields, with the defaults an operator may leave out.

use crate::tuning::Tuning;
use serde::{Deserialize, Serialize};

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    FunctionBinding,
    WeightSheet,
    HeadcountPlan,
}

impl Kind {
    pub const ALL: [Kind; 3] = [Kind::FunctionBinding, Kind::WeightSheet, Kind::HeadcountPlan];

    pub fn word(self) -> &'static str {
        match self {
            Kind::FunctionBinding => "function-bindings",
            Kind::WeightSheet => "weight-sheets",
            Kind::HeadcountPlan => "headcount-plans",
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

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FunctionBinding {
    pub route: String,
    pub function: String,
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
