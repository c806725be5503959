//! The optimizer's host as a state machine: it keeps every sample, answers an ask only while the view
//! names this registry, with that view's number as the fence, and tunes the weight sheets by what owners
//! measured. What is tuned is sent to whoever measures and to the other registries, under the same
//! fence; a host that was named later goes on from there.

use bindings::{Function, RouteTable};
use scaler::{Measure, Optimizer, Sample, Tuned};
use std::collections::BTreeMap;
use std::time::Duration;
use wire::{Measurement, NodeId, PlanMessage, TunedParameters, View};

const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(5);

pub struct Planner {
    optimizer: Optimizer,
    functions: BTreeMap<String, Function>,
    view: View,
    tunes: bool,
    plans_sent_at: BTreeMap<NodeId, Duration>,
    fence: u64,
    in_force: Vec<TunedParameters>,
}

pub struct Planned {
    pub to: NodeId,
    pub message: PlanMessage,
    pub fault: Option<String>,
}

impl Default for Planner {
    fn default() -> Self {
        Planner::new(true, Optimizer::default())
    }
}

impl Planner {
    pub fn new(tunes: bool, optimizer: Optimizer) -> Planner {
        let functions = BTreeMap::new();
        let (plans_sent_at, in_force) = (BTreeMap::new(), Vec::new());
        Planner { optimizer, functions, view: View::default(), tunes, plans_sent_at, fence: 0, in_force }
    }

    pub fn viewed(&mut self, view: View) {
        self.view = view;
    }

    pub fn routes(&mut self, routes: &RouteTable) {
        self.functions = routes.functions().map(|function| (function.name.clone(), function.clone())).collect();
        let known = &self.functions;
        self.optimizer.keep_only(|name| known.contains_key(name));
    }

    /// What is tuned at present, as far as this registry knows, and by which host's fence.
    pub fn in_force(&self) -> (u64, &[TunedParameters]) {
        (self.fence, &self.in_force)
    }

    pub fn step(
        &mut self,
        now: Duration,
        me: NodeId,
        from: NodeId,
        message: PlanMessage,
        limit: Duration,
    ) -> Vec<Planned> {
        match message {
            PlanMessage::Samples { lines } => {
                for line in lines.iter().filter(|line| self.functions.contains_key(line.function.as_str())) {
                    let sample = Sample {
                        rate: line.rate_milli as f64 / 1000.0,
                        response: Duration::from_micros(line.response_micro),
                        waiting: line.waiting_milli as f64 / 1000.0,
                        queued: line.queued_milli as f64 / 1000.0,
                    };
                    self.optimizer.sample(now, line.function.as_str(), sample);
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
                    state: planned.fault.is_none() as u8,
                    step_ms: planned.step.as_millis() as u32,
                    desired: planned.desired.into(),
                };
                let fault = planned.fault.map(|fault| format!("{}: {fault}", function.name));
                vec![Planned { to: from, message, fault }]
            }
            PlanMessage::Measurements { lines } if self.view.optimizer == me => {
                self.measured(now, me, from, lines.as_slice())
            }
            PlanMessage::Tuned { fence, lines } => {
                self.adopt(fence, lines.into_vec());
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    fn measured(&mut self, now: Duration, me: NodeId, from: NodeId, lines: &[Measurement]) -> Vec<Planned> {
        for line in lines.iter().filter(|_| self.tunes) {
            let Some(function) = self.functions.get(line.function.as_str()) else { continue };
            let measure = Measure {
                boot: Duration::from_micros(line.boot_micro),
                boots: line.boots,
                refused: line.refused,
                rejections: line.rejections,
                waiting: line.waiting_milli as f64 / 1000.0,
                usage: line.usage_milli as f64 / 1000.0,
            };
            self.optimizer.tuner.take(function, measure);
        }
        self.fence = self.view.number;
        self.in_force = self.optimizer.tuner.tuned().map(|(name, tuned)| line_of(name, tuned)).collect();
        let others = self.view.chain.iter().copied().filter(|id| *id != me);
        let due: Vec<NodeId> = others
            .chain([from])
            .filter(|to| self.plans_sent_at.get(to).is_none_or(|at| now >= *at + ANNOUNCE_INTERVAL))
            .collect();
        self.plans_sent_at.retain(|_, at| now < *at + ANNOUNCE_INTERVAL * 20);
        let message = PlanMessage::Tuned { fence: self.fence, lines: self.in_force.clone().into() };
        due.into_iter()
            .map(|to| {
                self.plans_sent_at.insert(to, now);
                Planned { to, message: message.clone(), fault: None }
            })
            .collect()
    }

    /// Another host's word, unless a later one has been heard.
    fn adopt(&mut self, fence: u64, lines: Vec<TunedParameters>) {
        if fence < self.fence {
            return;
        }
        self.fence = fence;
        for line in &lines {
            if let Some(function) = self.functions.get(line.function.as_str()) {
                self.optimizer.tuner.adopt(function, tuned_of(line));
            }
        }
        self.in_force = lines;
    }
}

fn line_of(name: &str, tuned: &Tuned) -> TunedParameters {
    TunedParameters {
        function: name.into(),
        startup_delay_steps: tuned.startup_delay_steps,
        target_usage_micro: (tuned.target_usage * 1e6).round() as u64,
        sla_hard_milli: (tuned.sla_hard * 1e3).round() as u64,
        reason: tuned.why.as_str().into(),
    }
}

fn tuned_of(line: &TunedParameters) -> Tuned {
    Tuned {
        startup_delay_steps: line.startup_delay_steps,
        target_usage: line.target_usage_micro as f64 / 1e6,
        sla_hard: line.sla_hard_milli as f64 / 1e3,
        why: line.reason.as_str().to_owned(),
    }
}
