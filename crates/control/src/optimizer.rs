//! The optimizer's thread, which no heartbeat waits for. Every registry keeps the samples, so that a
//! moved duty has history.

use crate::planner::Planner;
use crate::service::ControlMsg;
use bindings::Book;
use events::event;
use kernel::{Inbox, Post};
use links::LinkOrder;
use scaler::Optimizer;
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
    pub step: Duration,
    pub fits: f64,
    pub plans: bool,
    pub tuning: bool,
    pub control: Post<ControlMsg>,
    pub links: Post<LinkOrder>,
}

pub fn run(host: Host, mut inbox: Inbox<OptimizerMsg>) {
    let begun = Instant::now();
    let mut planner = Planner::new(host.tuning, Optimizer::new(host.step, host.fits));
    let mut told = (0, 0);
    while let Some(message) = inbox.next_blocking() {
        match message {
            OptimizerMsg::Viewed { view } => planner.viewed(view),
            OptimizerMsg::Book { book } => planner.book(&book),
            OptimizerMsg::Frame { message: PlanMsg::Ask { .. }, .. } if !host.plans => {}
            OptimizerMsg::Frame { from, message } => {
                let tunes = matches!(message, PlanMsg::Measures { .. } | PlanMsg::Tuned { .. });
                for planned in planner.step(begun.elapsed(), host.me, from, message, host.solve) {
                    if let Some(fault) = planned.fault {
                        event!(plan_fault, "{fault}");
                    }
                    let order = LinkOrder::Send { to: planned.to, message: Message::Plan(planned.message) };
                    if host.links.send(order).is_err() {
                        event!(inbox_full, "links");
                    }
                }
                let (fence, lines) = planner.in_force();
                if tunes && (!lines.is_empty() || told != (fence, lines.len())) {
                    told = (fence, lines.len());
                    host.control.send_blocking(ControlMsg::Tuned { fence, lines: lines.to_vec() });
                }
            }
        }
    }
}
