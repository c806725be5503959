//! This router's views of declared resources: the resources themselves, as its route table has them; the parameters in
//! force, as received from the host of the optimizer; and the state of the headcount plans of the functions owned here.

use crate::function_owner::FunctionOwner;
use crate::status::PlanStatus;
use bindings::RouteTable;
use http_server::ResourceIndex;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::watch;

/// Keeps the index of the views up to date.
pub struct DeclaredViews {
    pub index: watch::Sender<ResourceIndex>,
    routes: Option<Rc<RouteTable>>,
    items: BTreeMap<String, Value>,
    last_sent: (u64, u64, usize),
    plans: BTreeMap<String, PlanStatus>,
    has_changes: bool,
}

impl DeclaredViews {
    pub fn new(index: watch::Sender<ResourceIndex>) -> DeclaredViews {
        let (items, plans) = (BTreeMap::new(), BTreeMap::new());
        DeclaredViews { index, routes: None, items, last_sent: (0, 0, 0), plans, has_changes: false }
    }

    pub fn set_routes(&mut self, routes: Rc<RouteTable>) {
        self.routes = Some(routes);
        self.has_changes = true;
    }

    /// Updates the index from the route table and the owner. Only changed entries are written.
    pub fn update(&mut self, owner: &FunctionOwner) {
        let Some(routes) = self.routes.clone() else { return };
        let (fence, lines) = owner.tuned();
        let checksum =
            lines.iter().map(|line| line.target_usage_micro ^ line.sla_hard_milli).fold(0, u64::wrapping_add);
        let last_sent = (*fence, checksum, lines.len());
        if self.has_changes || last_sent != self.last_sent {
            (self.has_changes, self.last_sent) = (false, last_sent);
            self.items = http_server::view_items(routes.declarations(), *fence, lines);
            self.plans.clear();
        }
        let mut changed: Vec<(String, Value)> = Vec::new();
        let is_rebuilt = self.plans.is_empty();
        let mut current_plans = BTreeMap::new();
        for (name, status) in owner.plans() {
            if self.plans.get(name) != Some(&status) {
                let key = format!("headcount-plans/{name}");
                let mut value = self.items.get(&key).cloned().unwrap_or_else(|| json!({"declared": null}));
                value["plan"] = status.to_json();
                changed.push((key, value));
            }
            current_plans.insert(name.clone(), status);
        }
        let removed: Vec<String> =
            self.plans.keys().filter(|name| !current_plans.contains_key(*name)).cloned().collect();
        if !is_rebuilt && changed.is_empty() && removed.is_empty() {
            return;
        }
        self.plans = current_plans;
        let (items, plans) = (&self.items, &self.plans);
        let is_kept = |key: &str| {
            items.contains_key(key) || key.strip_prefix("headcount-plans/").is_some_and(|name| plans.contains_key(name))
        };
        self.index.send_if_modified(|index| {
            let mut has_changed = index.keep_only(routes.revision, is_kept);
            let declared = items.iter().filter(|(key, _)| {
                is_rebuilt && key.strip_prefix("headcount-plans/").is_none_or(|name| !plans.contains_key(name))
            });
            let without_plan =
                removed.iter().filter_map(|name| items.get_key_value(&format!("headcount-plans/{name}")));
            for (key, value) in declared.chain(without_plan).map(|(k, v)| (k.as_str(), v)) {
                has_changed |= index.put(key, routes.revision, value);
            }
            for (key, value) in &changed {
                has_changed |= index.put(key, routes.revision, value);
            }
            has_changed
        });
    }
}
