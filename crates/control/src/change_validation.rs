//! Validation of a change against a state: that it is based on the latest revision, stays within its tenant, and
//! results in a valid configuration. Refusals of format 2 entries are stored in the replicated state, so their texts
//! must be the same in every release.

use crate::apply::Draft;
use crate::keys;
use bindings::ConfigurationError;
use std::collections::BTreeMap;
use wire::ConfigurationItem;

/// Maximum size of a change, chosen so that its epoch fits in a frame.
const MAX_EPOCH_BYTES: usize = 5 * 1024 * 1024;
/// Encoded size of an item beyond its key and value.
const ITEM_OVERHEAD_BYTES: usize = 16;
/// Maximum number of resources in a configuration.
const MAX_RESOURCES: usize = 50_000;

/// A change as an operator sent it.
pub struct Change<'a> {
    /// The revision that the change is based on, or none to accept whichever is the latest.
    pub base: Option<u64>,
    /// The revision that the change declares, or 0 for the next one.
    pub revision: u64,
    /// Whether all other resources in the scope are removed.
    pub full: bool,
    /// The tenant whose resources may be changed, or empty for all tenants.
    pub scope: &'a str,
    /// The resources that are set and removed.
    pub items: &'a [ConfigurationItem],
}

/// Refusal of a change.
pub struct ChangeRefused {
    /// The HTTP status.
    pub status: u16,
    /// The faults as JSON.
    pub body: String,
}

impl ChangeRefused {
    fn new(status: u16, path: &str, fault: impl Into<String>) -> Self {
        ChangeRefused::of_faults(status, &[ConfigurationError { path: path.to_owned(), fault: fault.into() }])
    }

    fn of_faults(status: u16, faults: &[ConfigurationError]) -> Self {
        ChangeRefused { status, body: serde_json::to_string(faults).unwrap_or_default() }
    }
}

/// Validates a change and returns the items that differ from the latest configuration.
pub fn validate(draft: &Draft, change: &Change) -> Result<Vec<ConfigurationItem>, ChangeRefused> {
    check_revision(draft, change)?;
    let in_scope = |key: &str| change.scope.is_empty() || key.split('/').nth(1) == Some(change.scope);
    if let Some(item) = change.items.iter().find(|item| !in_scope(item.key.as_str())) {
        return Err(ChangeRefused::new(403, item.key.as_str(), "another tenant's resource"));
    }
    let mut resources: BTreeMap<&str, &[u8]> = keys::with_prefix(draft.state, keys::LATEST_PAIRS)
        .map(|(key, value)| (&key[keys::LATEST_PAIRS.len()..], &value[..]))
        .collect();
    let mut changed: BTreeMap<&str, ConfigurationItem> = BTreeMap::new();
    if change.full {
        let removed: Vec<&str> = resources.keys().copied().filter(|key| in_scope(key)).collect();
        for key in removed {
            resources.remove(key);
            changed.insert(key, ConfigurationItem { key: key.into(), is_removed: 1, value: Vec::new().into() });
        }
    }
    for item in change.items {
        let key = item.key.as_str();
        if item.is_removed != 0 {
            resources.remove(key);
        } else {
            resources.insert(key, item.value.as_slice());
        }
        changed.insert(key, item.clone());
    }
    check_resources(&resources, change.scope)?;
    check_size(&changed)?;
    let latest = |key: &str| draft.state.get(&format!("{}{key}", keys::LATEST_PAIRS));
    changed.retain(|key, item| match latest(key) {
        Some(value) => item.is_removed != 0 || value[..] != *item.value.as_slice(),
        None => item.is_removed == 0,
    });
    Ok(changed.into_values().collect())
}

fn check_revision(draft: &Draft, change: &Change) -> Result<(), ChangeRefused> {
    let latest = draft.number(keys::LATEST_REVISION);
    if change.base.is_some_and(|base| base != latest) {
        let body = format!("{{\"fault\":\"stale revision\",\"latest\":{latest}}}");
        return Err(ChangeRefused { status: 412, body });
    }
    if change.revision != 0 && change.revision <= latest {
        return Err(ChangeRefused::new(422, "revision", format!("above {latest}, which is the latest")));
    }
    Ok(())
}

fn check_resources(resources: &BTreeMap<&str, &[u8]>, scope: &str) -> Result<(), ChangeRefused> {
    let mut faults = bindings::check(resources.iter().map(|(key, value)| (*key, *value)));
    if resources.len() > MAX_RESOURCES {
        let fault = format!("no more than {MAX_RESOURCES} resources");
        faults.push(ConfigurationError { path: String::new(), fault });
    }
    if faults.is_empty() {
        return Ok(());
    }
    let is_conflict = |fault: &ConfigurationError| fault.fault.contains("is taken by") && !scope.is_empty();
    let status = if faults.iter().all(is_conflict) { 409 } else { 422 };
    Err(ChangeRefused::of_faults(status, &faults))
}

fn check_size(changed: &BTreeMap<&str, ConfigurationItem>) -> Result<(), ChangeRefused> {
    let size = |(key, item): (&&str, &ConfigurationItem)| key.len() + item.value.len() + ITEM_OVERHEAD_BYTES;
    if changed.iter().map(size).sum::<usize>() > MAX_EPOCH_BYTES {
        return Err(ChangeRefused::new(413, "", format!("a change of up to {MAX_EPOCH_BYTES} bytes; part it")));
    }
    Ok(())
}
