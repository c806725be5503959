//! The optimizer's thread. Every registry keeps the samples, so that a moved duty has history;
//! only the one the view names answers, and every answer carries that view's number as its fence.

use bindings::{Book, Function};
use events::event;
use kernel::{Inbox, Post};
use links::LinkOrder;
use scaler::{Optimizer, Sample};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};
use wire::{Message, NodeId, PlanMsg, View};

pub enum OptimizerMsg {
    Frame { from: NodeId, message: PlanMsg },
    Book { book: Box<Book> },
    Viewed { view: View },
}

pub struct Host {
    pub me: NodeId,
    pub solve: Duration,
    pub plans: bool,
    pub links: Post<LinkOrder>,
}

pub fn run(
    host: Host,
    mut inbox: Inbox<OptimizerMsg>,
    wait: impl Fn(&mut Inbox<OptimizerMsg>) -> Option<OptimizerMsg>,
) {
    let begun = Instant::now();
    let mut optimizer = Optimizer::default();
    let mut functions: BTreeMap<String, Function> = BTreeMap::new();
    let mut view = View::default();
    while let Some(message) = wait(&mut inbox) {
        let now = begun.elapsed();
        match message {
            OptimizerMsg::Viewed { view: next } => view = next,
            OptimizerMsg::Book { book } => {
                functions = book.functions().map(|function| (function.name.clone(), function.clone())).collect();
                optimizer.keep_only(|name| functions.contains_key(name));
            }
            OptimizerMsg::Frame { message: PlanMsg::Samples { lines }, .. } => {
                for line in lines.iter() {
                    let sample = Sample {
                        rate: line.rate_milli as f64 / 1000.0,
                        response: Duration::from_micros(line.response_micro),
                        waiting: line.waiting_milli as f64 / 1000.0,
                        held: line.held_milli as f64 / 1000.0,
                    };
                    if functions.contains_key(line.function.as_str()) {
                        optimizer.sample(now, line.function.as_str(), sample);
                    }
                }
            }
            OptimizerMsg::Frame { from, message: PlanMsg::Ask { ask, function, current, held, waiting } } => {
                if view.optimizer != host.me || !host.plans {
                    continue;
                }
                let Some(function) = functions.get(function.as_str()) else { continue };
                let gauge = Sample { held: held.into(), waiting: waiting.into(), ..Sample::default() };
                let planned = optimizer.plan(now, function, current, gauge, host.solve);
                if let Some(fault) = &planned.fault {
                    event!(plan_fault, "{}: {fault}", function.name);
                }
                let receipt = PlanMsg::Receipt {
                    ask,
                    fence: view.number,
                    state: planned.fault.is_none() as u8,
                    step_ms: planned.step.as_millis() as u32,
                    desired: planned.desired.into(),
                };
                let order = LinkOrder::Send { to: from, message: Message::Plan(receipt) };
                if host.links.send(order).is_err() {
                    event!(inbox_full, "links");
                }
            }
            OptimizerMsg::Frame { .. } => {}
        }
    }
}
