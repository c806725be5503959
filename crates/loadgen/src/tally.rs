//! The record of one attempt, and the summary of a whole load.

use crate::spans::is_served;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// One line of the callers' record; times in milliseconds.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Attempt {
    pub task: String,
    pub label: String,
    pub class: String,
    pub service: String,
    pub path: String,
    pub target: String,
    pub at: u64,
    pub took: u64,
    pub status: u16,
    pub outcome: String,
    pub retry_after: bool,
    pub body: String,
}

/// Returns counts, share of served attempts, latencies and statuses for each class of tasks.
pub fn summary(attempts: &[Attempt]) -> String {
    let mut lines = vec![format!("{} attempts", attempts.len())];
    let mut classes: BTreeMap<&str, Vec<&Attempt>> = BTreeMap::new();
    for attempt in attempts {
        classes.entry(&attempt.class).or_default().push(attempt);
    }
    for (class, list) in classes {
        let good = list.iter().filter(|a| is_served(a)).count();
        let mut took: Vec<u64> = list.iter().map(|a| a.took).collect();
        took.sort_unstable();
        let at = |share: f64| took[((took.len() - 1) as f64 * share) as usize];
        let mut statuses: BTreeMap<String, usize> = BTreeMap::new();
        for attempt in &list {
            *statuses.entry(format!("{} {}", attempt.status, attempt.outcome)).or_default() += 1;
        }
        lines.push(format!(
            "{class}: {} attempts, {:.4} served, ms p50 {} p95 {} p99 {} most {}; {statuses:?}",
            list.len(),
            good as f64 / list.len() as f64,
            at(0.5),
            at(0.95),
            at(0.99),
            at(1.0),
        ));
    }
    lines.join("\n")
}
