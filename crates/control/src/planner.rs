//! The optimizer's host as a state machine: it keeps every sample, and answers an ask only while
//! the view names this registry, with that view's number as the fence.

use bindings::{Book, Function};
use scaler::{Optimizer, Sample};
use std::collections::BTreeMap;
use std::time::Duration;
use wire::{NodeId, PlanMsg, View};

#[derive(Default)]
pub struct Planner {
    optimizer: Optimizer,
    functions: BTreeMap<String, Function>,
    view: View,
}

pub struct Planned {
    pub receipt: PlanMsg,
    pub fault: Option<String>,
}

impl Planner {
    pub fn viewed(&mut self, view: View) {
        self.view = view;
    }

    pub fn book(&mut self, book: &Book) {
        self.functions = book.functions().map(|function| (function.name.clone(), function.clone())).collect();
        let known = &self.functions;
        self.optimizer.keep_only(|name| known.contains_key(name));
    }

    pub fn step(&mut self, now: Duration, me: NodeId, message: PlanMsg, limit: Duration) -> Option<Planned> {
        match message {
            PlanMsg::Samples { lines } => {
                for line in lines.iter().filter(|line| self.functions.contains_key(line.function.as_str())) {
                    let sample = Sample {
                        rate: line.rate_milli as f64 / 1000.0,
                        response: Duration::from_micros(line.response_micro),
                        waiting: line.waiting_milli as f64 / 1000.0,
                        held: line.held_milli as f64 / 1000.0,
                    };
                    self.optimizer.sample(now, line.function.as_str(), sample);
                }
                None
            }
            PlanMsg::Ask { ask, function, current, held, waiting } if self.view.optimizer == me => {
                let function = self.functions.get(function.as_str())?;
                let gauge = Sample { held: held.into(), waiting: waiting.into(), ..Sample::default() };
                let planned = self.optimizer.plan(now, function, current, gauge, limit);
                let receipt = PlanMsg::Receipt {
                    ask,
                    fence: self.view.number,
                    state: planned.fault.is_none() as u8,
                    step_ms: planned.step.as_millis() as u32,
                    desired: planned.desired.into(),
                };
                let fault = planned.fault.map(|fault| format!("{}: {fault}", function.name));
                Some(Planned { receipt, fault })
            }
            _ => None,
        }
    }
}
