//! Counts of messages and bytes by who, way and kind.

use serde_json::{Map, Value, json};
use std::collections::BTreeMap;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Way {
    In,
    Out,
}

impl Way {
    pub fn word(self) -> &'static str {
        match self {
            Way::In => "in",
            Way::Out => "out",
        }
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count {
    pub messages: u64,
    pub bytes: u64,
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    lines: BTreeMap<(String, Way, &'static str), Count>,
}

impl Tally {
    pub fn add(&mut self, who: &str, way: Way, kind: &'static str, messages: u64, bytes: u64) {
        let count = self.lines.entry((who.to_owned(), way, kind)).or_default();
        count.messages += messages;
        count.bytes += bytes;
    }

    pub fn merge(&mut self, other: &Tally) {
        for ((who, way, kind), count) in &other.lines {
            self.add(who, *way, kind, count.messages, count.bytes);
        }
    }

    /// What came to these counts after `earlier`.
    pub fn since(&self, earlier: &Tally) -> Tally {
        let mut left = Tally::default();
        for (key, count) in &self.lines {
            let before = earlier.lines.get(key).copied().unwrap_or_default();
            let has_changes = Count {
                messages: count.messages.saturating_sub(before.messages),
                bytes: count.bytes.saturating_sub(before.bytes),
            };
            if has_changes != Count::default() {
                left.lines.insert(key.clone(), has_changes);
            }
        }
        left
    }

    pub fn of(&self, who: &str, way: Way, kind: &str) -> Count {
        let fits =
            |key: &(String, Way, &'static str)| key.0 == who && key.1 == way && (kind.is_empty() || key.2 == kind);
        let mut sum = Count::default();
        for (_, count) in self.lines.iter().filter(|(key, _)| fits(key)) {
            sum.messages += count.messages;
            sum.bytes += count.bytes;
        }
        sum
    }

    /// One who's part, each figure divided by `seconds` and `heads`.
    pub fn to_json(&self, who: &str, seconds: f64, heads: f64) -> Value {
        let mut ways = Map::new();
        for way in [Way::In, Way::Out] {
            let mut kinds = Map::new();
            let lines = self.lines.iter().filter(|((name, known, _), _)| name == who && *known == way);
            for ((_, _, kind), count) in lines {
                let rate = |n: u64| round(n as f64 / seconds / heads);
                kinds.insert((*kind).to_owned(), json!({"messages": rate(count.messages), "bytes": rate(count.bytes)}));
            }
            let all = self.of(who, way, "");
            let rate = |n: u64| round(n as f64 / seconds / heads);
            kinds.insert("all".into(), json!({"messages": rate(all.messages), "bytes": rate(all.bytes)}));
            ways.insert(way.word().into(), Value::Object(kinds));
        }
        Value::Object(ways)
    }
}

/// Four figures that matter are as many as any run repeats.
pub fn round(value: f64) -> f64 {
    if value == 0.0 || !value.is_finite() {
        return 0.0;
    }
    let scale = 10f64.powi(3 - value.abs().log10().floor() as i32);
    (value * scale).round() / scale
}
