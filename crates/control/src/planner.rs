//! The optimizer as a state machine. It keeps every sample. While the view names this registry as the optimizer's
//! host, it answers plan requests, with the view's number as a fencing number, and tunes weight sheets by the
//! measurements of the functions' owners. Tuned values are sent to those owners and to the other registries under
//! the same fencing number, and a later host continues from them.

use bindings::{Function, RouteTable};
use scaler::{FunctionMeasurement, Optimizer, Sample, TunedWeights};
use std::collections::BTreeMap;
use std::time::Duration;
use wire::{Measurement, NodeId, PlanMessage, TunedParameters, View};

/// Minimum time between two messages with tuned values to the same process.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(5);

/// Plans headcounts and tunes weight sheets.
pub struct Planner {
    optimizer: Optimizer,
    functions: BTreeMap<String, Function>,
    view: View,
    is_tuning: bool,
    tuned_sent_at: BTreeMap<NodeId, Duration>,
    fence: u64,
    tuned: Vec<TunedParameters>,
}

/// A message that the planner sends.
pub struct PlannerOutput {
    /// The recipient.
    pub to: NodeId,
    /// The message.
    pub message: PlanMessage,
    /// Reason why the plan is only a fallback.
    pub fault: Option<String>,
}

impl Default for Planner {
    fn default() -> Self {
        Planner::new(true, Optimizer::default())
    }
}

impl Planner {
    /// Creates a planner over an optimizer. `is_tuning` is whether weight sheets are tuned.
    pub fn new(is_tuning: bool, optimizer: Optimizer) -> Planner {
        let functions = BTreeMap::new();
        let (tuned_sent_at, tuned) = (BTreeMap::new(), Vec::new());
        Planner { optimizer, functions, view: View::default(), is_tuning, tuned_sent_at, fence: 0, tuned }
    }

    /// Sets the view, which names the optimizer's host.
    pub fn set_view(&mut self, view: View) {
        self.view = view;
    }

    /// Sets the functions to those of a route table, and drops the samples of all others.
    pub fn set_routes(&mut self, routes: &RouteTable) {
        self.functions = routes.functions().map(|function| (function.name.clone(), function.clone())).collect();
        let known = &self.functions;
        self.optimizer.retain_functions(|name| known.contains_key(name));
    }

    /// Returns the newest tuned values known to this registry, and their fencing number.
    pub fn tuned_values(&self) -> (u64, &[TunedParameters]) {
        (self.fence, &self.tuned)
    }

    /// Handles a message and returns the messages to send.
    pub fn step(
        &mut self,
        now: Duration,
        me: NodeId,
        from: NodeId,
        message: PlanMessage,
        limit: Duration,
    ) -> Vec<PlannerOutput> {
        match message {
            PlanMessage::Samples { samples: lines } => {
                for line in lines.iter().filter(|line| self.functions.contains_key(line.function.as_str())) {
                    let sample = Sample {
                        rate: line.rate_milli as f64 / 1000.0,
                        response_time: Duration::from_micros(line.response_micro),
                        waiting: line.waiting_milli as f64 / 1000.0,
                        queued: line.queued_milli as f64 / 1000.0,
                    };
                    self.optimizer.record_sample(now, line.function.as_str(), sample);
                }
                Vec::new()
            }
            PlanMessage::Request { request_id, function, current, queued, waiting } if self.view.optimizer == me => {
                let Some(function) = self.functions.get(function.as_str()) else { return Vec::new() };
                let gauge = Sample { queued: queued.into(), waiting: waiting.into(), ..Sample::default() };
                let planned = self.optimizer.plan(now, function, current, gauge, limit);
                let message = PlanMessage::Reply {
                    request_id,
                    fence: self.view.number,
                    state: planned.error.is_none() as u8,
                    step_ms: planned.step.as_millis() as u32,
                    desired: planned.desired.into(),
                };
                let fault = planned.error.map(|fault| format!("{}: {fault}", function.name));
                vec![PlannerOutput { to: from, message, fault }]
            }
            PlanMessage::Measurements { measurements: lines } if self.view.optimizer == me => {
                self.handle_measurements(now, me, from, lines.as_slice())
            }
            PlanMessage::Tuned { fence, parameters: lines } => {
                self.adopt(fence, lines.into_vec());
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    fn handle_measurements(
        &mut self,
        now: Duration,
        me: NodeId,
        from: NodeId,
        measurements: &[Measurement],
    ) -> Vec<PlannerOutput> {
        for measurement in measurements.iter().filter(|_| self.is_tuning) {
            let Some(function) = self.functions.get(measurement.function.as_str()) else { continue };
            let measure = FunctionMeasurement {
                boot: Duration::from_micros(measurement.boot_micro),
                boots: measurement.boots,
                refused: measurement.refused,
                rejections: measurement.rejections,
                waiting: measurement.waiting_milli as f64 / 1000.0,
                usage: measurement.usage_milli as f64 / 1000.0,
            };
            self.optimizer.tuner.record(function, measure);
        }
        self.fence = self.view.number;
        self.tuned = self.optimizer.tuner.tuned_weights().map(|(name, tuned)| encode_tuned(name, tuned)).collect();
        let others = self.view.chain.iter().copied().filter(|id| *id != me);
        let due: Vec<NodeId> = others
            .chain([from])
            .filter(|to| self.tuned_sent_at.get(to).is_none_or(|at| now >= *at + ANNOUNCE_INTERVAL))
            .collect();
        self.tuned_sent_at.retain(|_, at| now < *at + ANNOUNCE_INTERVAL * 20);
        let message = PlanMessage::Tuned { fence: self.fence, parameters: self.tuned.clone().into() };
        due.into_iter()
            .map(|to| {
                self.tuned_sent_at.insert(to, now);
                PlannerOutput { to, message: message.clone(), fault: None }
            })
            .collect()
    }

    /// Adopts tuned values of another host, unless values with a higher fencing number are known.
    fn adopt(&mut self, fence: u64, tuned: Vec<TunedParameters>) {
        if fence < self.fence {
            return;
        }
        self.fence = fence;
        for parameters in &tuned {
            if let Some(function) = self.functions.get(parameters.function.as_str()) {
                self.optimizer.tuner.adopt(function, decode_tuned(parameters));
            }
        }
        self.tuned = tuned;
    }
}

fn encode_tuned(name: &str, tuned: &TunedWeights) -> TunedParameters {
    TunedParameters {
        function: name.into(),
        startup_delay_steps: tuned.startup_delay_steps,
        target_usage_micro: (tuned.target_usage * 1e6).round() as u64,
        sla_hard_milli: (tuned.sla_hard * 1e3).round() as u64,
        reason: tuned.reason.as_str().into(),
    }
}

fn decode_tuned(parameters: &TunedParameters) -> TunedWeights {
    TunedWeights {
        startup_delay_steps: parameters.startup_delay_steps,
        target_usage: parameters.target_usage_micro as f64 / 1e6,
        sla_hard: parameters.sla_hard_milli as f64 / 1e3,
        reason: parameters.reason.as_str().to_owned(),
    }
}
