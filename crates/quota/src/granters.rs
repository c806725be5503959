//! Selects the routers that grant credits of a consumer, as a pure function of the owners in the membership.

use crate::limits::ConsumerId;
use wire::NodeId;
use xxhash_rust::xxh3::xxh3_64;

/// Routers that may grant credits under one membership.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Granters {
    nodes: Vec<NodeId>,
}

impl Granters {
    /// Creates the set from routers in any order.
    pub fn new(nodes: impl IntoIterator<Item = NodeId>) -> Granters {
        let mut nodes: Vec<NodeId> = nodes.into_iter().collect();
        nodes.sort_unstable();
        nodes.dedup();
        Granters { nodes }
    }

    pub(crate) fn nodes(&self) -> &[NodeId] {
        &self.nodes
    }

    pub(crate) fn contains(&self, node: NodeId) -> bool {
        self.nodes.binary_search(&node).is_ok()
    }

    /// Returns a hash of the set that is the same on every machine.
    pub(crate) fn fingerprint(&self) -> u64 {
        let bytes: Vec<u8> = self.nodes.iter().flat_map(|node| node.to_le_bytes()).collect();
        xxh3_64(&bytes)
    }

    /// Returns the granters of one consumer, highest rank first. They are chosen by rendezvous hashing, so that adding
    /// or removing a router changes the granters of few consumers.
    pub(crate) fn for_consumer(&self, consumer: ConsumerId, shards: usize) -> Vec<NodeId> {
        let mut ranked: Vec<(u64, NodeId)> =
            self.nodes.iter().map(|node| (rendezvous_score(consumer, *node), *node)).collect();
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        ranked.into_iter().take(shards).map(|(_, node)| node).collect()
    }

    /// Returns the fraction of a consumer's limit that a router grants.
    pub(crate) fn share(&self, node: NodeId, consumer: ConsumerId, shards: usize) -> f64 {
        if !self.contains(node) {
            return 0.0;
        }
        let own_score = (rendezvous_score(consumer, node), node);
        let higher_ranked =
            self.nodes.iter().filter(|other| (rendezvous_score(consumer, **other), **other) > own_score).count();
        let shards = shards.min(self.nodes.len());
        if higher_ranked < shards { 1.0 / shards as f64 } else { 0.0 }
    }
}

fn rendezvous_score(consumer: ConsumerId, node: NodeId) -> u64 {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&consumer.0.to_le_bytes());
    bytes[8..].copy_from_slice(&node.to_le_bytes());
    xxh3_64(&bytes)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn shares_of_a_consumer_add_up_to_one_and_belong_to_its_granters() {
        for (size, shards) in [(1, 8), (3, 8), (8, 8), (8, 2), (40, 8)] {
            let granters = Granters::new(100..100 + size);
            for consumer in (0..50).map(ConsumerId) {
                let sum: f64 = granters.nodes().iter().map(|node| granters.share(*node, consumer, shards)).sum();
                assert!((sum - 1.0).abs() < 1e-9, "{size} {shards}: {sum}");
                let of_consumer = granters.for_consumer(consumer, shards);
                assert!(of_consumer.iter().all(|node| granters.share(*node, consumer, shards) > 0.0));
            }
        }
    }

    #[test]
    fn removing_a_router_keeps_the_other_granters_of_a_consumer() {
        let (all, fewer) = (Granters::new(1..=20), Granters::new((1..=20).filter(|node| *node != 7)));
        for consumer in (0..50).map(ConsumerId) {
            let kept = all.for_consumer(consumer, 4).into_iter().filter(|node| *node != 7);
            let now = fewer.for_consumer(consumer, 4);
            assert!(kept.into_iter().all(|node| now.contains(&node)));
        }
    }
}
