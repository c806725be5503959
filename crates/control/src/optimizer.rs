//! The optimizer's thread, which no heartbeat waits for. Every registry keeps the samples, so that a
//! moved duty has history. What a configuration means is read here too, as it takes long where it is large:
//! the route table for plans, and the kinds as they are shown, with what is tuned beside what was declared.

use crate::planner::Planner;
use bindings::RouteTable;
use chain::Value;
use events::event;
use http_server::ResourceIndex;
use kernel::{Inbox, InboxSender};
use links::LinkOrder;
use scaler::Optimizer;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};
use tokio::sync::watch;
use wire::{Message, NodeId, PlanMessage, View};

pub enum OptimizerMessage {
    Frame { from: NodeId, message: PlanMessage },
    Active { step: u64, revision: u64, pairs: BTreeMap<String, Value> },
    ViewAdopted { view: View },
}

pub struct Host {
    pub me: NodeId,
    pub solve: Duration,
    pub step: Duration,
    pub fits: f64,
    pub plans: bool,
    pub tuning: bool,
    pub index: watch::Sender<ResourceIndex>,
    pub links: InboxSender<LinkOrder>,
}

pub fn run(host: Host, mut inbox: Inbox<OptimizerMessage>) {
    let begun = Instant::now();
    let mut planner = Planner::new(host.tuning, Optimizer::new(host.step, host.fits));
    let mut last_sent = (0, 0);
    let mut active = (0, BTreeMap::new());
    while let Some(message) = inbox.next_blocking() {
        match message {
            OptimizerMessage::ViewAdopted { view } => planner.viewed(view),
            OptimizerMessage::Active { step, revision, pairs } => {
                planner.routes(&RouteTable::build(
                    step,
                    revision,
                    pairs.iter().map(|(key, raw)| (key.as_str(), &raw[..])),
                ));
                let before = std::mem::replace(&mut active, (revision, pairs)).1;
                show(&host.index, &active, &before, &planner);
            }
            OptimizerMessage::Frame { message: PlanMessage::Request { .. }, .. } if !host.plans => {}
            OptimizerMessage::Frame { from, message } => {
                let tunes = matches!(message, PlanMessage::Measurements { .. } | PlanMessage::Tuned { .. });
                for planned in planner.step(begun.elapsed(), host.me, from, message, host.solve) {
                    if let Some(fault) = planned.fault {
                        event!(plan_failed, "{fault}");
                    }
                    let order = LinkOrder::Send { to: planned.to, message: Message::Plan(planned.message) };
                    if host.links.send(order).is_err() {
                        event!(inbox_full, "links");
                    }
                }
                let (fence, lines) = planner.in_force();
                if tunes && (!lines.is_empty() || last_sent != (fence, lines.len())) {
                    last_sent = (fence, lines.len());
                    show(&host.index, &active, &active.1, &planner);
                }
            }
        }
    }
}

/// Puts the kinds that are other than before, and those that are tuned, in their place on the index.
fn show(
    index: &watch::Sender<ResourceIndex>,
    (revision, pairs): &(u64, BTreeMap<String, Value>),
    before: &BTreeMap<String, Value>,
    planner: &Planner,
) {
    let (fence, tuned) = planner.in_force();
    let sheets: Vec<String> = tuned.iter().map(|line| format!("weight-sheets/{}", line.function.as_str())).collect();
    let learner = |(key, raw): &(&String, &Value)| before.get(*key) != Some(*raw) || sheets.contains(*key);
    let changed = pairs.iter().filter(learner).map(|(key, raw)| (key.as_str(), &raw[..]));
    let items = http_server::kinds(changed, fence, tuned);
    index.send_if_modified(|index| {
        let put = items.iter().fold(false, |any, (key, value)| index.put(key, *revision, value) || any);
        index.keep_only(*revision, |key| pairs.contains_key(key) || items.contains_key(key)) || put
    });
}
