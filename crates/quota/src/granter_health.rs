//! Tracks the granters that are currently unresponsive.

use std::collections::BTreeMap;
use std::time::Duration;
use wire::NodeId;

/// First and longest time for which an unresponsive granter is skipped.
const BACKOFF_RANGE: (Duration, Duration) = (Duration::from_millis(250), Duration::from_secs(2));

#[derive(Clone, Copy, Debug)]
struct Backoff {
    until: Duration,
    duration: Duration,
}

/// Granters that did not answer a request or whose link is down, with a backoff that doubles until they answer again.
#[derive(Debug, Default)]
pub(crate) struct GranterHealth {
    backoffs: BTreeMap<NodeId, Backoff>,
}

impl GranterHealth {
    pub(crate) fn record_failure(&mut self, now: Duration, node: NodeId) {
        let (first, longest) = BACKOFF_RANGE;
        let duration = self.backoffs.get(&node).map_or(first, |backoff| (backoff.duration * 2).min(longest));
        self.backoffs.insert(node, Backoff { until: now + duration, duration });
    }

    pub(crate) fn record_answer(&mut self, node: NodeId) {
        self.backoffs.remove(&node);
    }

    pub(crate) fn retain(&mut self, nodes: &[NodeId]) {
        self.backoffs.retain(|node, _| nodes.contains(node));
    }

    pub(crate) fn is_backing_off(&self, now: Duration, node: NodeId) -> bool {
        self.backoffs.get(&node).is_some_and(|backoff| now < backoff.until)
    }

    pub(crate) fn backing_off_count(&self, now: Duration) -> usize {
        self.backoffs.values().filter(|backoff| now < backoff.until).count()
    }
}
