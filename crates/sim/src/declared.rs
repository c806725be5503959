//! What operators declare in a simulated deployment: its bindings, and a mark that tells one configuration from
//! another.

use crate::world::World;
use serde_json::{Value, json};
use wire::ConfigurationItem;

pub(crate) fn line(key: &str, value: Value) -> ConfigurationItem {
    ConfigurationItem { key: key.into(), is_removed: 0, value: value.to_string().into_bytes().into() }
}

impl World {
    /// The bindings all runs share, under a mark that tells one configuration from another.
    pub(crate) fn items(&self, mark: &str) -> Vec<ConfigurationItem> {
        let mut items: Vec<ConfigurationItem> = (0..self.plan.functions)
            .map(|function| {
                let class = self.class_of(function);
                let limit = self.plan.limit;
                let mut binding = json!({"route": format!("/t{}/f{function}", function % 3), "function": format!("f{function}"), "class": class, "instance_limit": limit, "max": 6});
                if self.is_public(function) {
                    binding["public"] = true.into();
                }
                line(&format!("function-bindings/t{}/f{function}", function % 3), binding)
            })
            .collect();
        items.push(mark_line(mark));
        items
    }
}

/// A change is known by a number kept in a plan of a function that is never called.
pub(crate) fn mark_line(mark: &str) -> ConfigurationItem {
    let number: u64 = mark[1..].parse().unwrap_or_default();
    line("headcount-plans/t0/mark", json!({"fixed": number % 1000}))
}
