//! What the system may tune of a weight sheet by what it measures, and within which bounds. The sheet
//! as declared is never rewritten; each field, or all of them, can be left as declared.

use crate::resources::WeightSheet;
use serde::{Deserialize, Serialize};

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Span {
    #[serde(skip_serializing_if = "Option::is_none")]
    pub on: Option<bool>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub least: Option<f64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub most: Option<f64>,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Tuning {
    #[serde(skip_serializing_if = "Option::is_none")]
    pub on: Option<bool>,
    pub startup_delay_steps: Span,
    pub target_usage: Span,
    pub sla_hard: Span,
}

/// The bounds in force for a tuned field, around what was declared.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    pub least: f64,
    pub most: f64,
}

impl Bounds {
    pub fn keep(&self, value: f64) -> f64 {
        value.clamp(self.least, self.most)
    }
}

impl WeightSheet {
    fn bounds(&self, span: &Span, declared: f64, least: f64, most: f64) -> Option<Bounds> {
        let on = self.tuning.on.unwrap_or(true) && span.on.unwrap_or(true);
        let (least, most) = (span.least.unwrap_or(least.min(declared)), span.most.unwrap_or(most.max(declared)));
        (on && least <= most).then_some(Bounds { least, most })
    }

    pub fn delay_bounds(&self) -> Option<Bounds> {
        self.bounds(&self.tuning.startup_delay_steps, f64::from(self.startup_delay_steps), 1.0, 4.0)
    }

    pub fn usage_bounds(&self) -> Option<Bounds> {
        self.bounds(&self.tuning.target_usage, self.target_usage, 0.4, 0.75)
    }

    pub fn hard_bounds(&self) -> Option<Bounds> {
        self.bounds(&self.tuning.sla_hard, self.sla_hard, self.sla_hard, self.sla_hard * 4.0)
    }
}

/// Each fault of a sheet's tuning, by the field it sits in and what is allowed there.
pub fn faults(tuning: &Tuning) -> Vec<(String, String)> {
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
