//! The optimizer's thread, separate so that heartbeats never wait for it. Every registry keeps the samples, so that
//! the next host of the optimizer has their history. Parsing the configuration also happens here, since it takes long
//! if the configuration is large: the route table for plans, and the published resources, in which tuned values stand
//! beside the declared ones.

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

/// A message to the optimizer's thread.
pub enum OptimizerMessage {
    /// A frame about samples, plans or tuning.
    Frame { from: NodeId, message: PlanMessage },
    /// Another configuration came into force.
    Active { step: u64, revision: u64, pairs: BTreeMap<String, Value> },
    /// This replica adopted a view.
    ViewAdopted { view: View },
}

/// Settings and connections of the optimizer's thread.
pub struct OptimizerContext {
    /// This registry.
    pub me: NodeId,
    /// Maximum time for solving one headcount plan.
    pub solve: Duration,
    /// Length of one step of samples and plans.
    pub step: Duration,
    /// Maximum number of forecast fits per second.
    pub fits: f64,
    /// Whether plans are made.
    pub plans: bool,
    /// Whether weight sheets are tuned.
    pub tuning: bool,
    /// The published resources.
    pub index: watch::Sender<ResourceIndex>,
    /// Inbox of the links.
    pub links: InboxSender<LinkOrder>,
}

/// Runs the optimizer until its inbox is closed.
pub fn run(context: OptimizerContext, mut inbox: Inbox<OptimizerMessage>) {
    let started_at = Instant::now();
    let mut planner = Planner::new(context.tuning, Optimizer::new(context.step, context.fits));
    let mut last_published = (0, 0);
    let mut active = (0, BTreeMap::new());
    while let Some(message) = inbox.next_blocking() {
        match message {
            OptimizerMessage::ViewAdopted { view } => planner.set_view(view),
            OptimizerMessage::Active { step, revision, pairs } => {
                planner.set_routes(&RouteTable::build(
                    step,
                    revision,
                    pairs.iter().map(|(key, raw)| (key.as_str(), &raw[..])),
                ));
                let previous = std::mem::replace(&mut active, (revision, pairs)).1;
                publish_resources(&context.index, &active, &previous, &planner);
            }
            OptimizerMessage::Frame { message: PlanMessage::Request { .. }, .. } if !context.plans => {}
            OptimizerMessage::Frame { from, message } => {
                let is_tuning_message = matches!(message, PlanMessage::Measurements { .. } | PlanMessage::Tuned { .. });
                for output in planner.step(started_at.elapsed(), context.me, from, message, context.solve) {
                    if let Some(fault) = output.fault {
                        event!(plan_failed, "{fault}");
                    }
                    let order = LinkOrder::Send { to: output.to, message: Message::Plan(output.message) };
                    if context.links.send(order).is_err() {
                        event!(inbox_full, "links");
                    }
                }
                let (fence, tuned) = planner.tuned_values();
                if is_tuning_message && (!tuned.is_empty() || last_published != (fence, tuned.len())) {
                    last_published = (fence, tuned.len());
                    publish_resources(&context.index, &active, &active.1, &planner);
                }
            }
        }
    }
}

/// Publishes the resources that differ from before, and those that are tuned, in the index.
fn publish_resources(
    index: &watch::Sender<ResourceIndex>,
    (revision, pairs): &(u64, BTreeMap<String, Value>),
    previous: &BTreeMap<String, Value>,
    planner: &Planner,
) {
    let (fence, tuned) = planner.tuned_values();
    let tuned_keys: Vec<String> =
        tuned.iter().map(|parameters| format!("weight-sheets/{}", parameters.function.as_str())).collect();
    let is_affected = |(key, raw): &(&String, &Value)| previous.get(*key) != Some(*raw) || tuned_keys.contains(*key);
    let changed = pairs.iter().filter(is_affected).map(|(key, raw)| (key.as_str(), &raw[..]));
    let items = http_server::view_items(changed, fence, tuned);
    index.send_if_modified(|index| {
        let has_put = items.iter().fold(false, |any, (key, value)| index.put(key, *revision, value) || any);
        index.keep_only(*revision, |key| pairs.contains_key(key) || items.contains_key(key)) || has_put
    });
}
