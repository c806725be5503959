//! Where things stand in the chain's state, and small readings of it.

use chain::{State, Value};
use leases::{Member, Membership};
use std::collections::BTreeMap;
use wire::{ConfigurationEpoch, ConfigurationItem, NodeId};

pub const ACTIVE: &str = "c/active";
pub const LATEST: &str = "c/latest";
pub const ACTIVE_REVISION: &str = "c/revision";
pub const LATEST_REVISION: &str = "c/latest-revision";
pub const TICKS: &str = "t/ticks";
pub const MEMBERSHIP: &str = "m/number";
pub const CLAIMS: &str = "n/claims";
pub const STORED: &str = "n/stored";
pub const ACTIVE_PAIRS: &str = "a/";
pub const LATEST_PAIRS: &str = "l/";
pub const STEPS: &str = "s/";
pub const MEMBERS: &str = "r/";
pub const TAKEN: &str = "o/";
pub const REFUSED: &str = "q/";

pub fn number(state: &State, key: &str) -> u64 {
    state.get(key).and_then(|value| value[..].try_into().ok()).map_or(0, u64::from_le_bytes)
}

pub fn value(number: u64) -> Value {
    number.to_le_bytes().to_vec().into()
}

pub fn step_key(step: u64) -> String {
    format!("{STEPS}{step:020}")
}

pub fn member_key(id: NodeId) -> String {
    format!("{MEMBERS}{id:016x}")
}

pub fn with_prefix<'a>(state: &'a State, prefix: &'a str) -> impl Iterator<Item = (&'a String, &'a Value)> {
    state.range(prefix.to_owned()..).take_while(move |(key, _)| key.starts_with(prefix))
}

pub fn step(state: &State, step: u64) -> Option<ConfigurationEpoch> {
    state.get(&step_key(step)).and_then(|raw| wire::from_bytes(raw))
}

pub fn quorum(state: &State, number: u64) -> Vec<NodeId> {
    step(state, number).map(|step| step.quorum.into_vec()).unwrap_or_default()
}

pub fn members(state: &State) -> Vec<Member> {
    with_prefix(state, MEMBERS).filter_map(|(_, raw)| Member::read(raw)).collect()
}

pub fn incarnations(state: &State) -> BTreeMap<NodeId, u64> {
    members(state).into_iter().map(|member| (member.id, member.incarnation)).collect()
}

pub fn membership(state: &State) -> Membership {
    Membership { number: number(state, MEMBERSHIP), members: members(state).into() }
}

pub fn items(state: &State, prefix: &str) -> Vec<ConfigurationItem> {
    let item = |(key, value): (&String, &Value)| ConfigurationItem {
        key: key[prefix.len()..].into(),
        is_removed: 0,
        value: value.to_vec().into(),
    };
    with_prefix(state, prefix).map(item).collect()
}

/// Up to about a mebibyte of pairs below a prefix from a key on, and the key to go on from.
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
