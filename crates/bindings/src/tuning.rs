//! Fields of a weight sheet that the system may tune by its measurements, and their bounds. The declared sheet itself
//! is never changed, and tuning can be turned off for each field or for all of them.

use crate::resources::WeightSheet;
use serde::{Deserialize, Serialize};

/// Range in which one field may be tuned. The type's name is part of the parse errors that operators receive.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Span {
    /// Whether the field is tuned; the default is yes.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub on: Option<bool>,
    /// Minimum value that the field may be set to.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub least: Option<f64>,
    /// Maximum value that the field may be set to.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub most: Option<f64>,
}

/// Tuning of a weight sheet.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Tuning {
    /// Whether any field is tuned; the default is that those whose own tuning is on are.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub on: Option<bool>,
    /// Tuning of the startup delay.
    pub startup_delay_steps: Span,
    /// Tuning of the target utilization.
    pub target_usage: Span,
    /// Tuning of the hard cost of uncovered demand.
    pub sla_hard: Span,
}

/// Effective bounds of a tuned field, which include the declared value unless the operator sets them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TuningBounds {
    /// Minimum value.
    pub min: f64,
    /// Maximum value.
    pub max: f64,
}

impl TuningBounds {
    /// Limits a value to the bounds.
    pub fn clamp(&self, value: f64) -> f64 {
        value.clamp(self.min, self.max)
    }
}

impl WeightSheet {
    /// Returns the bounds of a field, by default `default_min` and `default_max` extended to the declared value, or
    /// `None` if the field is not tuned.
    fn tuning_bounds(&self, range: &Span, declared: f64, default_min: f64, default_max: f64) -> Option<TuningBounds> {
        let is_tuned = self.tuning.on.unwrap_or(true) && range.on.unwrap_or(true);
        let min = range.least.unwrap_or(default_min.min(declared));
        let max = range.most.unwrap_or(default_max.max(declared));
        (is_tuned && min <= max).then_some(TuningBounds { min, max })
    }

    /// Returns the bounds of the startup delay, or `None` if it is not tuned.
    pub fn startup_delay_bounds(&self) -> Option<TuningBounds> {
        self.tuning_bounds(&self.tuning.startup_delay_steps, f64::from(self.startup_delay_steps), 1.0, 4.0)
    }

    /// Returns the bounds of the target utilization, or `None` if it is not tuned.
    pub fn target_usage_bounds(&self) -> Option<TuningBounds> {
        self.tuning_bounds(&self.tuning.target_usage, self.target_usage, 0.4, 0.75)
    }

    /// Returns the bounds of the hard cost of uncovered demand, or `None` if it is not tuned.
    pub fn sla_hard_bounds(&self) -> Option<TuningBounds> {
        self.tuning_bounds(&self.tuning.sla_hard, self.sla_hard, self.sla_hard, self.sla_hard * 4.0)
    }
}

/// Returns the faults of a sheet's tuning, each as the field and the values that it allows.
pub fn check_tuning(tuning: &Tuning) -> Vec<(String, String)> {
    let fields = [
        ("startup_delay_steps", &tuning.startup_delay_steps, 1.0, 8.0),
        ("target_usage", &tuning.target_usage, 0.05, 1.0),
        ("sla_hard", &tuning.sla_hard, 0.0, 1e6),
    ];
    let mut faults = Vec::new();
    for (field, range, lowest, highest) in fields {
        for (end, value) in [("least", range.least), ("most", range.most)] {
            if value.is_some_and(|value| !(lowest..=highest).contains(&value)) {
                faults.push((format!("tuning/{field}/{end}"), format!("{lowest} to {highest}")));
            }
        }
        if let (Some(least), Some(most)) = (range.least, range.most)
            && least > most
        {
            faults.push((format!("tuning/{field}/least"), "no more than most".into()));
        }
    }
    faults
}
