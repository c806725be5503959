//! Configuration that operators declare in a simulated deployment: the bindings, and a mark that identifies the
//! change.

use crate::world::World;
use serde_json::{Value, json};
use wire::ConfigurationItem;

pub(crate) fn item(key: &str, value: Value) -> ConfigurationItem {
    ConfigurationItem { key: key.into(), is_removed: 0, value: value.to_string().into_bytes().into() }
}

impl World {
    /// Returns the bindings that all runs share, and the item with the mark.
    pub(crate) fn items(&self, mark: &str) -> Vec<ConfigurationItem> {
        let mut items: Vec<ConfigurationItem> = (0..self.plan.functions)
            .map(|function| {
                let class = self.class_of(function);
                let limit = self.plan.limit;
                let mut binding = json!({"route": format!("/t{}/f{function}", function % 3), "function": format!("f{function}"), "class": class, "instance_limit": limit, "max": 6});
                if self.is_public(function) {
                    binding["public"] = true.into();
                }
                item(&format!("function-bindings/t{}/f{function}", function % 3), binding)
            })
            .collect();
        items.push(mark_item(mark));
        items
    }
}

/// Returns the item that identifies a change: its number, in the plan of a function that is never called.
pub(crate) fn mark_item(mark: &str) -> ConfigurationItem {
    let number: u64 = mark[1..].parse().unwrap_or_default();
    item("headcount-plans/t0/mark", json!({"fixed": number % 1000}))
}
