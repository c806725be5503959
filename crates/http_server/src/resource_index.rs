//! The resources of the declared kinds that one node holds, each with the revision of its last change on
//! this node and a position in the order of changes. Snapshots of the index are cheap to clone; a slow
//! watcher sees fewer changes, never older ones, and nothing is queued for it.

use im::OrdMap;
use serde_json::{Value, json};
use std::sync::Arc;

/// Maximum number of removals remembered; a watcher that missed more has to restart from the full list.
const MAX_REMOVALS_KEPT: usize = 2048;

#[derive(Clone, Debug, PartialEq)]
struct Item {
    position: u64,
    revision: u64,
    value: Arc<str>,
}

/// A snapshot of one node's resources and the order of their changes.
#[derive(Clone, Debug)]
pub struct ResourceIndex {
    epoch: u64,
    position: u64,
    items: OrdMap<String, Item>,
    by_position: OrdMap<u64, String>,
    removed: OrdMap<u64, (String, u64)>,
    last_forgotten: u64,
}

/// Tenant whose resources a reader may see; empty for all tenants.
pub type Scope = String;

impl ResourceIndex {
    /// Creates an empty index; the epoch identifies this process, and marks of another epoch are not accepted.
    pub fn new(epoch: u64) -> ResourceIndex {
        let (items, by_position, removed) = (OrdMap::new(), OrdMap::new(), OrdMap::new());
        ResourceIndex { epoch, position: 0, items, by_position, removed, last_forgotten: 0 }
    }

    /// Inserts or updates a resource, by `kind/tenant/name`; returns whether anything changed.
    pub fn put(&mut self, key: &str, revision: u64, value: &Value) -> bool {
        let text = value.to_string();
        let known = self.items.get(key);
        if known.is_some_and(|item| *item.value == *text) {
            return false;
        }
        let old = known.map(|item| item.position);
        self.position += 1;
        if let Some(old) = old {
            self.by_position.remove(&old);
        }
        self.by_position.insert(self.position, key.to_owned());
        self.items.insert(key.to_owned(), Item { position: self.position, revision, value: text.into() });
        true
    }

    /// Removes the resources whose key `kept` rejects; returns whether any was removed.
    pub fn keep_only(&mut self, revision: u64, kept: impl Fn(&str) -> bool) -> bool {
        let removed: Vec<String> = self.items.keys().filter(|key| !kept(key)).cloned().collect();
        for key in &removed {
            if let Some(item) = self.items.remove(key) {
                self.by_position.remove(&item.position);
            }
            self.position += 1;
            self.removed.insert(self.position, (key.clone(), revision));
        }
        while self.removed.len() > MAX_REMOVALS_KEPT {
            if let Some((position, _)) = self.removed.get_min().cloned() {
                self.removed.remove(&position);
                self.last_forgotten = position;
            }
        }
        !removed.is_empty()
    }

    /// Returns one resource with its revision, by `kind/tenant/name`.
    pub fn get(&self, key: &str) -> Option<Value> {
        let item = self.items.get(key)?;
        let value: Value = serde_json::from_str(&item.value).unwrap_or_default();
        Some(json!({"revision": item.revision, "value": value}))
    }

    /// Returns every resource of a kind that is in scope, by `tenant/name`.
    pub fn list(&self, kind: &str, scope: &str) -> Value {
        let prefix = format!("{kind}/");
        let named = |key: &String| key.strip_prefix(&prefix).filter(|name| in_scope(name, scope)).map(str::to_owned);
        let list = self.items.iter().filter_map(|(key, _)| Some((named(key)?, self.get(key)?)));
        json!({"at": self.mark(self.position), "items": list.collect::<serde_json::Map<_, _>>()})
    }

    /// Returns the mark from which a reader at this position continues.
    fn mark(&self, position: u64) -> String {
        format!("{:x}-{position}", self.epoch)
    }

    /// Returns the position of a reader's mark, if all changes after it are still known.
    fn position_of(&self, mark: Option<&str>) -> Option<u64> {
        let (epoch, position) = mark?.split_once('-')?;
        let position =
            position.parse().ok().filter(|position| (self.last_forgotten..=self.position).contains(position))?;
        (u64::from_str_radix(epoch, 16).ok()? == self.epoch).then_some(position)
    }

    /// Returns one line for each resource changed since a mark, in the order of change, and the mark to
    /// continue from. Without a known mark, a reset line comes first, then every resource.
    pub fn changes(&self, filter: &Filter, mark: Option<&str>) -> (String, String) {
        let since = self.position_of(mark);
        let mut lines = String::new();
        if since.is_none() {
            lines.push_str(&format!("{}\n", json!({"at": self.mark(0), "reset": true})));
        }
        let from = since.unwrap_or(0) + 1;
        let present = self.by_position.range(from..).filter_map(|(position, key)| {
            let (name, item) = (filter.selected_name(key)?, self.items.get(key)?);
            let value: Value = serde_json::from_str(&item.value).unwrap_or_default();
            Some((*position, json!({"name": name, "revision": item.revision, "value": value})))
        });
        let removed =
            self.removed.range(from..).filter(|_| since.is_some()).filter_map(|(position, (key, revision))| {
                Some((*position, json!({"name": filter.selected_name(key)?, "revision": revision, "gone": true})))
            });
        let mut all: Vec<(u64, Value)> = present.chain(removed).collect();
        all.sort_by_key(|(position, _)| *position);
        for (position, mut line) in all {
            line["at"] = self.mark(position).into();
            line["kind"] = filter.kind.as_str().into();
            lines.push_str(&format!("{line}\n"));
        }
        (lines, self.mark(self.position))
    }
}

/// Selects what a watch reports: the resources of one kind within a scope, or one of them.
#[derive(Clone, Debug)]
pub struct Filter {
    /// Name of the kind, such as `weight-sheets`.
    pub kind: String,
    /// Tenant whose resources the reader may see; empty for all tenants.
    pub scope: Scope,
    /// Name of one resource, as `tenant/name`; `None` for all of the kind.
    pub name: Option<String>,
}

impl Filter {
    /// Returns the `tenant/name` in a key if the filter selects it.
    fn selected_name<'a>(&self, key: &'a str) -> Option<&'a str> {
        let name = key.strip_prefix(self.kind.as_str())?.strip_prefix('/')?;
        let wanted = self.name.as_ref().is_none_or(|wanted| wanted == name);
        (wanted && in_scope(name, &self.scope)).then_some(name)
    }
}

/// Returns whether a resource, given as `tenant/name`, is visible in a scope.
pub fn in_scope(name: &str, scope: &str) -> bool {
    scope.is_empty() || name.split('/').next() == Some(scope)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn filter(scope: &str) -> Filter {
        Filter { kind: "weight-sheets".into(), scope: scope.into(), name: None }
    }

    fn line_count(lines: &str) -> usize {
        lines.lines().count()
    }

    #[test]
    fn a_watch_continues_from_its_mark_and_is_reset_if_the_mark_is_unknown() {
        let mut index = ResourceIndex::new(7);
        (0..5).for_each(|n| _ = index.put(&format!("weight-sheets/t{}/f{n}", n % 2), 1, &json!({"n": n})));
        let (lines, mark) = index.changes(&filter(""), None);
        assert_eq!((line_count(&lines), lines.contains("reset")), (6, true));
        assert_eq!(index.changes(&filter(""), Some(&mark)).0, "", "nothing new");
        assert_eq!(line_count(&index.changes(&filter("t1"), None).0), 3, "the items of one tenant, and the reset line");
        assert!(!index.put("weight-sheets/t0/f0", 2, &json!({"n": 0})), "an equal value is no change");
        assert!(index.put("weight-sheets/t0/f0", 2, &json!({"n": 9})));
        assert!(index.keep_only(3, |key| key != "weight-sheets/t1/f1"));
        let (lines, next) = index.changes(&filter(""), Some(&mark));
        assert_eq!(line_count(&lines), 2);
        assert!(lines.contains("\"gone\":true") && lines.contains("\"n\":9"));
        assert_eq!(index.changes(&filter(""), Some(&next)).0, "");
        for foreign in ["8-3", "7-99", "seven", ""] {
            assert!(index.changes(&filter(""), Some(foreign)).0.contains("reset"), "{foreign}");
        }
        assert_eq!(line_count(&index.changes(&Filter { kind: "headcount-plans".into(), ..filter("") }, None).0), 1);
    }

    #[test]
    fn a_slow_reader_gets_one_line_per_resource_and_memory_stays_bounded() {
        let mut index = ResourceIndex::new(1);
        let (_, mark) = index.changes(&filter(""), None);
        for n in 0..100_000u64 {
            index.put(&format!("weight-sheets/t/f{}", n % 10), n, &json!({"n": n}));
        }
        assert_eq!(line_count(&index.changes(&filter(""), Some(&mark)).0), 10);
        for n in 0..5000u64 {
            index.put("weight-sheets/t/passing", n, &json!({"n": n}));
            index.keep_only(n, |key| key != "weight-sheets/t/passing");
        }
        assert!(index.changes(&filter(""), Some(&mark)).0.contains("reset"), "older removals are forgotten");
        assert!(index.removed.len() <= MAX_REMOVALS_KEPT);
    }
}
