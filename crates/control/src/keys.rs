//! Keys of the replicated state, and functions that read single items of it.

use chain::{State, Value};
use leases::{Member, Membership};
use std::collections::BTreeMap;
use wire::{ConfigurationEpoch, ConfigurationItem, NodeId};

/// Number of the active epoch.
pub const ACTIVE: &str = "c/active";
/// Number of the latest epoch, staged or active.
pub const LATEST: &str = "c/latest";
/// Revision of the active configuration.
pub const ACTIVE_REVISION: &str = "c/revision";
/// Latest accepted revision.
pub const LATEST_REVISION: &str = "c/latest-revision";
/// Number of ticks of the chain's clock.
pub const TICKS: &str = "t/ticks";
/// Number of the membership.
pub const MEMBERSHIP: &str = "m/number";
/// Number of run-once keys.
pub const CLAIM_COUNT: &str = "n/claims";
/// Number of deferred requests.
pub const DEFERRED_COUNT: &str = "n/stored";
/// Prefix of the resources of the active configuration.
pub const ACTIVE_PAIRS: &str = "a/";
/// Prefix of the resources of the latest configuration.
pub const LATEST_PAIRS: &str = "l/";
/// Prefix of the configuration epochs, which are called steps in frames, status pages and logs.
pub const STEPS: &str = "s/";
/// Prefix of the member routers.
pub const MEMBERS: &str = "r/";
/// Prefix of the outcomes of accepted operations.
pub const ACCEPTED_OPERATIONS: &str = "o/";
/// Prefix of the outcomes of refused operations.
pub const REFUSED_OPERATIONS: &str = "q/";

/// Returns the number under a key, or 0 if there is none.
pub fn read_number(state: &State, key: &str) -> u64 {
    state.get(key).and_then(|value| value[..].try_into().ok()).map_or(0, u64::from_le_bytes)
}

/// Encodes a number as a value.
pub fn encode_number(number: u64) -> Value {
    number.to_le_bytes().to_vec().into()
}

/// Returns the key of an epoch.
pub fn epoch_key(step: u64) -> String {
    format!("{STEPS}{step:020}")
}

/// Returns the key of a member router.
pub fn member_key(id: NodeId) -> String {
    format!("{MEMBERS}{id:016x}")
}

/// Iterates over the pairs whose key starts with a prefix.
pub fn with_prefix<'a>(state: &'a State, prefix: &'a str) -> impl Iterator<Item = (&'a String, &'a Value)> {
    state.range(prefix.to_owned()..).take_while(move |(key, _)| key.starts_with(prefix))
}

/// Reads an epoch.
pub fn epoch(state: &State, step: u64) -> Option<ConfigurationEpoch> {
    state.get(&epoch_key(step)).and_then(|raw| wire::from_bytes(raw))
}

/// Returns the quorum of an epoch.
pub fn quorum(state: &State, number: u64) -> Vec<NodeId> {
    epoch(state, number).map(|epoch| epoch.quorum.into_vec()).unwrap_or_default()
}

/// Returns the member routers.
pub fn members(state: &State) -> Vec<Member> {
    with_prefix(state, MEMBERS).filter_map(|(_, raw)| Member::read(raw)).collect()
}

/// Returns the member routers' incarnations by id.
pub fn incarnations(state: &State) -> BTreeMap<NodeId, u64> {
    members(state).into_iter().map(|member| (member.id, member.incarnation)).collect()
}

/// Returns the membership.
pub fn membership(state: &State) -> Membership {
    Membership { number: read_number(state, MEMBERSHIP), members: members(state).into() }
}

/// Returns the pairs under a prefix as configuration items, without the prefix in their keys.
pub fn items(state: &State, prefix: &str) -> Vec<ConfigurationItem> {
    let item = |(key, value): (&String, &Value)| ConfigurationItem {
        key: key[prefix.len()..].into(),
        is_removed: 0,
        value: value.to_vec().into(),
    };
    with_prefix(state, prefix).map(item).collect()
}

/// Returns about one mebibyte of the pairs under a prefix, starting at a key, and the key where the next page starts
/// (empty after the last page). With `strip`, the items' keys lack the prefix.
pub fn page(state: &State, prefix: &str, from: &str, strip: bool) -> (Vec<ConfigurationItem>, String) {
    let mut items = Vec::new();
    let mut bytes = 0;
    let start = if from.is_empty() { prefix.to_owned() } else { format!("{prefix}{from}") };
    for (key, value) in state.range(start..).take_while(|(key, _)| key.starts_with(prefix)) {
        let name = &key[prefix.len()..];
        if bytes > 1024 * 1024 || items.len() >= 8192 {
            return (items, name.to_owned());
        }
        bytes += key.len() + value.len();
        let shown = if strip { name } else { key.as_str() };
        items.push(ConfigurationItem { key: shown.into(), is_removed: 0, value: value.to_vec().into() });
    }
    (items, String::new())
}
