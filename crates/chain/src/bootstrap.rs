//! One-time bootstrap of a cluster: empty seeds that hear only each other bind themselves, on disk, to the same
//! set of founders. The first view takes effect only after every founder has reported that it is bound.

use std::collections::BTreeMap;
use std::time::Duration;
use wire::{NodeAddress, NodeId, View};

/// Interval between bootstrap requests of a seed.
pub const REQUEST_INTERVAL: Duration = Duration::from_millis(250);
/// Time after its last request for which a seed counts as a founder.
const FOUNDER_TTL: Duration = Duration::from_millis(1500);
/// Maximum number of founders of a cluster.
pub const MAX_FOUNDERS: usize = 3;

/// Seed that asked to found a cluster.
#[derive(Clone)]
pub struct Founder {
    /// Id and address of the seed.
    pub node: NodeAddress,
    /// When the seed last asked.
    pub heard_at: Duration,
    /// First view to which the seed is bound; number 0 if it is bound to none.
    pub bound_to: View,
}

/// Seeds that ask to found a cluster.
#[derive(Clone)]
pub struct Bootstrap {
    founders: BTreeMap<NodeId, Founder>,
    /// Number of founders required; 0 if this replica may not found a cluster.
    pub required_founders: usize,
}

impl Default for Bootstrap {
    fn default() -> Self {
        Bootstrap { founders: BTreeMap::new(), required_founders: MAX_FOUNDERS }
    }
}

impl Bootstrap {
    /// Records a request of another seed, and removes seeds that no longer ask.
    pub fn record(&mut self, asking: Founder, own: Founder, now: Duration) {
        self.founders.insert(asking.node.id, asking);
        self.founders.insert(own.node.id, own);
        self.founders.retain(|_, founder| now < founder.heard_at + FOUNDER_TTL);
    }

    /// Returns the founders if their number is exactly the required one.
    pub fn complete_founders(&self) -> Option<Vec<NodeAddress>> {
        let is_complete = self.founders.len() == self.required_founders;
        is_complete.then(|| self.founders.values().map(|founder| founder.node.clone()).collect())
    }

    /// Returns whether every other founder in a first view is bound to this same view.
    pub fn all_bound_to(&self, first: &View, own_id: NodeId) -> bool {
        first
            .chain
            .iter()
            .all(|id| *id == own_id || self.founders.get(id).is_some_and(|founder| founder.bound_to == *first))
    }

    pub(crate) fn founders(&self) -> impl Iterator<Item = &Founder> {
        self.founders.values()
    }
}
