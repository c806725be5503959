//! This router's view of the three kinds: what is declared, as its route table has it; the sheets in force, as
//! the optimizer's host told; and, for the functions homed here, the plan as it is played.

use crate::function_owner::FunctionOwner;
use crate::status::Played;
use bindings::RouteTable;
use http_server::ResourceIndex;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::watch;

pub struct DeclaredViews {
    pub index: watch::Sender<ResourceIndex>,
    routes: Option<Rc<RouteTable>>,
    items: BTreeMap<String, Value>,
    last_sent: (u64, u64, usize),
    plans: BTreeMap<String, Played>,
    has_changes: bool,
}

impl DeclaredViews {
    pub fn new(index: watch::Sender<ResourceIndex>) -> DeclaredViews {
        let (items, plans) = (BTreeMap::new(), BTreeMap::new());
        DeclaredViews { index, routes: None, items, last_sent: (0, 0, 0), plans, has_changes: false }
    }

    pub fn routes(&mut self, routes: Rc<RouteTable>) {
        self.routes = Some(routes);
        self.has_changes = true;
    }

    /// Brings the index in line with the route table and the owner; what is as it was costs nothing.
    pub fn show(&mut self, owner: &FunctionOwner) {
        let Some(routes) = self.routes.clone() else { return };
        let (fence, lines) = owner.tuned();
        let sum = lines.iter().map(|line| line.target_usage_micro ^ line.sla_hard_milli).fold(0, u64::wrapping_add);
        let last_sent = (*fence, sum, lines.len());
        if self.has_changes || last_sent != self.last_sent {
            (self.has_changes, self.last_sent) = (false, last_sent);
            self.items = http_server::view_items(routes.declarations(), *fence, lines);
            self.plans.clear();
        }
        let mut changed: Vec<(String, Value)> = Vec::new();
        let whole = self.plans.is_empty();
        let mut seen = BTreeMap::new();
        for (name, played) in owner.plans() {
            if self.plans.get(name) != Some(&played) {
                let key = format!("headcount-plans/{name}");
                let mut value = self.items.get(&key).cloned().unwrap_or_else(|| json!({"declared": null}));
                value["plan"] = played.to_json();
                changed.push((key, value));
            }
            seen.insert(name.clone(), played);
        }
        let gone: Vec<String> = self.plans.keys().filter(|name| !seen.contains_key(*name)).cloned().collect();
        if !whole && changed.is_empty() && gone.is_empty() {
            return;
        }
        self.plans = seen;
        let (items, plans) = (&self.items, &self.plans);
        let kept = |key: &str| {
            items.contains_key(key) || key.strip_prefix("headcount-plans/").is_some_and(|name| plans.contains_key(name))
        };
        self.index.send_if_modified(|index| {
            let mut any = index.keep_only(routes.revision, kept);
            let declared = items.iter().filter(|(key, _)| {
                whole && key.strip_prefix("headcount-plans/").is_none_or(|name| !plans.contains_key(name))
            });
            let moved = gone.iter().filter_map(|name| items.get_key_value(&format!("headcount-plans/{name}")));
            for (key, value) in declared.chain(moved).map(|(k, v)| (k.as_str(), v)) {
                any |= index.put(key, routes.revision, value);
            }
            for (key, value) in &changed {
                any |= index.put(key, routes.revision, value);
            }
            any
        });
    }
}
