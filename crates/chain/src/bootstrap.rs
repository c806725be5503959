//! Founding a cluster, once: empty seeds that see each other and nobody else each bind, on disk, to the same
//! founders, and only when all of these have said so does the first view stand.

use std::collections::BTreeMap;
use std::time::Duration;
use wire::{NodeAddress, NodeId, View};

/// Seeds ask each other this often.
pub const REQUEST_INTERVAL: Duration = Duration::from_millis(250);
/// A seed that has not asked for this long is not counted as a founder.
const FOUNDER_TTL: Duration = Duration::from_millis(1500);
/// A cluster is founded by at most this many.
pub const MAX_FOUNDERS: usize = 3;

/// A seed that asked to found a cluster.
#[derive(Clone)]
pub struct Founder {
    /// Its id and address.
    pub node: NodeAddress,
    /// When it last asked.
    pub heard_at: Duration,
    /// The first view it is bound to; its number is 0 while it is bound to none.
    pub bound_to: View,
}

/// The seeds that ask to found a cluster.
#[derive(Clone)]
pub struct Bootstrap {
    founders: BTreeMap<NodeId, Founder>,
    /// How many founders a cluster takes; 0 if this replica may not found one.
    pub founders_needed: usize,
}

impl Default for Bootstrap {
    fn default() -> Self {
        Bootstrap { founders: BTreeMap::new(), founders_needed: MAX_FOUNDERS }
    }
}

impl Bootstrap {
    /// Records a seed that asked, and forgets those that no longer ask.
    pub fn record(&mut self, asking: Founder, own: Founder, now: Duration) {
        self.founders.insert(asking.node.id, asking);
        self.founders.insert(own.node.id, own);
        self.founders.retain(|_, founder| now < founder.heard_at + FOUNDER_TTL);
    }

    /// All founders, if there are just as many as it takes.
    pub fn complete(&self) -> Option<Vec<NodeAddress>> {
        let is_complete = self.founders.len() == self.founders_needed;
        is_complete.then(|| self.founders.values().map(|founder| founder.node.clone()).collect())
    }

    /// Whether every other founder in a first view is bound to that very view.
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
