//! The resources of the declared kinds that one node holds, each with the revision of its last change on
//! this node and a position in the order of changes. Snapshots of the index are cheap to clone; a slow
//! watcher sees fewer changes, never older ones, and nothing is queued for it.

use im::OrdMap;
use serde_json::{Value, json};
use std::sync::Arc;

/// Maximum number of removals remembered; a watcher that missed more has to restart from the full list.
const GONE_KEPT: usize = 2048;

#[derive(Clone, Debug, PartialEq)]
struct Item {
    place: u64,
    revision: u64,
    value: Arc<str>,
}

/// A snapshot of one node's resources and the order of their changes.
#[derive(Clone, Debug)]
pub struct ResourceIndex {
    epoch: u64,
    place: u64,
    items: OrdMap<String, Item>,
    by_place: OrdMap<u64, String>,
    gone: OrdMap<u64, (String, u64)>,
    forgotten: u64,
}

/// Tenant whose resources a reader may see; empty for all tenants.
pub type Scope = String;

impl ResourceIndex {
    /// Creates an empty index; the epoch identifies this process, and marks of another epoch are not accepted.
    pub fn new(epoch: u64) -> ResourceIndex {
        let (items, by_place, gone) = (OrdMap::new(), OrdMap::new(), OrdMap::new());
        ResourceIndex { epoch, place: 0, items, by_place, gone, forgotten: 0 }
    }

    /// Inserts or updates a resource, by `kind/tenant/name`; returns whether anything changed.
    pub fn put(&mut self, key: &str, revision: u64, value: &Value) -> bool {
        let text = value.to_string();
        let known = self.items.get(key);
        if known.is_some_and(|item| *item.value == *text) {
            return false;
        }
        let old = known.map(|item| item.place);
        self.place += 1;
        if let Some(old) = old {
            self.by_place.remove(&old);
        }
        self.by_place.insert(self.place, key.to_owned());
        self.items.insert(key.to_owned(), Item { place: self.place, revision, value: text.into() });
        true
    }

    /// Removes the resources whose key `kept` rejects; returns whether any was removed.
    pub fn keep_only(&mut self, revision: u64, kept: impl Fn(&str) -> bool) -> bool {
        let gone: Vec<String> = self.items.keys().filter(|key| !kept(key)).cloned().collect();
        for key in &gone {
            if let Some(item) = self.items.remove(key) {
                self.by_place.remove(&item.place);
            }
            self.place += 1;
            self.gone.insert(self.place, (key.clone(), revision));
        }
        while self.gone.len() > GONE_KEPT {
            if let Some((place, _)) = self.gone.get_min().cloned() {
                self.gone.remove(&place);
                self.forgotten = place;
            }
        }
        !gone.is_empty()
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
        json!({"at": self.mark(self.place), "items": list.collect::<serde_json::Map<_, _>>()})
    }

    /// Returns the mark from which a reader at this position continues.
    fn mark(&self, place: u64) -> String {
        format!("{:x}-{place}", self.epoch)
    }

    /// Returns the position of a reader's mark, if all changes after it are still known.
    fn since(&self, mark: Option<&str>) -> Option<u64> {
        let (epoch, place) = mark?.split_once('-')?;
        let place = place.parse().ok().filter(|place| (self.forgotten..=self.place).contains(place))?;
        (u64::from_str_radix(epoch, 16).ok()? == self.epoch).then_some(place)
    }

    /// Returns one line for each resource changed since a mark, in the order of change, and the mark to
    /// continue from. Without a known mark, a reset line comes first, then every resource.
    pub fn changes(&self, filter: &Filter, mark: Option<&str>) -> (String, String) {
        let since = self.since(mark);
        let mut lines = String::new();
        if since.is_none() {
            lines.push_str(&format!("{}\n", json!({"at": self.mark(0), "reset": true})));
        }
        let from = since.unwrap_or(0) + 1;
        let live = self.by_place.range(from..).filter_map(|(place, key)| {
            let (name, item) = (filter.named(key)?, self.items.get(key)?);
            let value: Value = serde_json::from_str(&item.value).unwrap_or_default();
            Some((*place, json!({"name": name, "revision": item.revision, "value": value})))
        });
        let gone = self.gone.range(from..).filter(|_| since.is_some()).filter_map(|(place, (key, revision))| {
            Some((*place, json!({"name": filter.named(key)?, "revision": revision, "gone": true})))
        });
        let mut all: Vec<(u64, Value)> = live.chain(gone).collect();
        all.sort_by_key(|(place, _)| *place);
        for (place, mut line) in all {
            line["at"] = self.mark(place).into();
            line["kind"] = filter.kind.as_str().into();
            lines.push_str(&format!("{line}\n"));
        }
        (lines, self.mark(self.place))
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
    fn named<'a>(&self, key: &'a str) -> Option<&'a str> {
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

    fn count(lines: &str) -> usize {
        lines.lines().count()
    }

    #[test]
    fn a_watch_goes_on_from_its_mark_and_is_reset_where_the_mark_is_not_known() {
        let mut index = ResourceIndex::new(7);
        (0..5).for_each(|n| _ = index.put(&format!("weight-sheets/t{}/f{n}", n % 2), 1, &json!({"n": n})));
        let (lines, mark) = index.changes(&filter(""), None);
        assert_eq!((count(&lines), lines.contains("reset")), (6, true));
        assert_eq!(index.changes(&filter(""), Some(&mark)).0, "", "nothing new");
        assert_eq!(count(&index.changes(&filter("t1"), None).0), 3, "the items of one tenant, and the reset line");
        assert!(!index.put("weight-sheets/t0/f0", 2, &json!({"n": 0})), "an equal value is no change");
        assert!(index.put("weight-sheets/t0/f0", 2, &json!({"n": 9})));
        assert!(index.keep_only(3, |key| key != "weight-sheets/t1/f1"));
        let (lines, next) = index.changes(&filter(""), Some(&mark));
        assert_eq!(count(&lines), 2);
        assert!(lines.contains("\"gone\":true") && lines.contains("\"n\":9"));
        assert_eq!(index.changes(&filter(""), Some(&next)).0, "");
        for foreign in ["8-3", "7-99", "seven", ""] {
            assert!(index.changes(&filter(""), Some(foreign)).0.contains("reset"), "{foreign}");
        }
        assert_eq!(count(&index.changes(&Filter { kind: "headcount-plans".into(), ..filter("") }, None).0), 1);
    }

    #[test]
    fn a_slow_reader_costs_no_more_than_what_there_is() {
        let mut index = ResourceIndex::new(1);
        let (_, mark) = index.changes(&filter(""), None);
        for n in 0..100_000u64 {
            index.put(&format!("weight-sheets/t/f{}", n % 10), n, &json!({"n": n}));
        }
        assert_eq!(count(&index.changes(&filter(""), Some(&mark)).0), 10);
        for n in 0..5000u64 {
            index.put("weight-sheets/t/passing", n, &json!({"n": n}));
            index.keep_only(n, |key| key != "weight-sheets/t/passing");
        }
        assert!(index.changes(&filter(""), Some(&mark)).0.contains("reset"), "older removals are forgotten");
        assert!(index.gone.len() <= GONE_KEPT);
    }
}
