//! What the system may tune of a weight sheet by what it measures, and within which bounds. The sheet
//! as declared is never rewritten; each field, or all of them, can be left as declared.

use crate::resources::WeightSheet;
use serde::{Deserialize, Serialize};

/// The tuning of one field.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TuningRange {
    /// Whether it is tuned; it is if left out.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub on: Option<bool>,
    /// The least value it may be set to.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub least: Option<f64>,
    /// The greatest value it may be set to.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub most: Option<f64>,
}

/// The tuning of a weight sheet.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Tuning {
    /// Whether any field is tuned; those that allow it are if left out.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub on: Option<bool>,
    /// For the startup delay.
    pub startup_delay_steps: TuningRange,
    /// For the target utilization.
    pub target_usage: TuningRange,
    /// For the cost of uncovered demand.
    pub sla_hard: TuningRange,
}

/// The bounds in force for a tuned field, around what was declared.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TuningBounds {
    /// The least value.
    pub min: f64,
    /// The greatest value.
    pub max: f64,
}

impl TuningBounds {
    /// The value, moved into the bounds.
    pub fn clamp(&self, value: f64) -> f64 {
        value.clamp(self.min, self.max)
    }
}

impl WeightSheet {
    fn bounds(&self, span: &TuningRange, declared: f64, least: f64, most: f64) -> Option<TuningBounds> {
        let on = self.tuning.on.unwrap_or(true) && span.on.unwrap_or(true);
        let (least, most) = (span.least.unwrap_or(least.min(declared)), span.most.unwrap_or(most.max(declared)));
        (on && least <= most).then_some(TuningBounds { min: least, max: most })
    }

    /// The bounds of the startup delay; none if it is not tuned.
    pub fn startup_delay_bounds(&self) -> Option<TuningBounds> {
        self.bounds(&self.tuning.startup_delay_steps, f64::from(self.startup_delay_steps), 1.0, 4.0)
    }

    /// The bounds of the target utilization; none if it is not tuned.
    pub fn target_usage_bounds(&self) -> Option<TuningBounds> {
        self.bounds(&self.tuning.target_usage, self.target_usage, 0.4, 0.75)
    }

    /// The bounds of the cost of uncovered demand; none if it is not tuned.
    pub fn sla_hard_bounds(&self) -> Option<TuningBounds> {
        self.bounds(&self.tuning.sla_hard, self.sla_hard, self.sla_hard, self.sla_hard * 4.0)
    }
}

/// Each fault of a sheet's tuning, by the field it sits in and what is allowed there.
pub fn check_tuning(tuning: &Tuning) -> Vec<(String, String)> {
    let fields = [
        ("startup_delay_steps", &tuning.startup_delay_steps, 1.0, 8.0),
        ("target_usage", &tuning.target_usage, 0.05, 1.0),
        ("sla_hard", &tuning.sla_hard, 0.0, 1e6),
    ];
    let mut found = Vec::new();
    for (field, span, least, most) in fields {
        for (end, value) in [("least", span.least), ("most", span.most)] {
            if value.is_some_and(|value| !(least..=most).contains(&value)) {
                found.push((format!("tuning/{field}/{end}"), format!("{least} to {most}")));
            }
        }
        if let (Some(low), Some(high)) = (span.least, span.most)
            && low > high
        {
            found.push((format!("tuning/{field}/least"), "no more than most".into()));
        }
    }
    found
}
