//! The optimizer's thread, which no heartbeat waits for. Every registry keeps the samples, so that a
//! moved duty has history.

use crate::planner::Planner;
use bindings::Book;
use events::event;
use kernel::{Inbox, Post};
use links::LinkOrder;
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

pub fn run(host: Host, mut inbox: Inbox<OptimizerMsg>) {
    let begun = Instant::now();
    let mut planner = Planner::default();
    while let Some(message) = inbox.next_blocking() {
        match message {
            OptimizerMsg::Viewed { view } => planner.viewed(view),
            OptimizerMsg::Book { book } => planner.book(&book),
            OptimizerMsg::Frame { message: PlanMsg::Ask { .. }, .. } if !host.plans => {}
            OptimizerMsg::Frame { from, message } => {
                let Some(planned) = planner.step(begun.elapsed(), host.me, message, host.solve) else { continue };
                if let Some(fault) = planned.fault {
                    event!(plan_fault, "{fault}");
                }
                let order = LinkOrder::Send { to: from, message: Message::Plan(planned.receipt) };
                if host.links.send(order).is_err() {
                    event!(inbox_full, "links");
                }
            }
        }
    }
}
