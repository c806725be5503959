//! Counts by router and incarnation that only grow, merged by maximum: the order of reports, repeated ones and lost
//! ones make no difference to what is known in the end.

use crate::limits::ConsumerId;
use std::collections::BTreeMap;
use wire::{NodeId, QuotaCount};

/// What one incarnation of a router counted of one consumer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests admitted.
    pub admitted: u64,
    /// Of those, the ones given back.
    pub refunded: u64,
    /// Requests that arrived.
    pub arrived: u64,
}

impl Counters {
    /// Requests admitted and not given back.
    pub fn used(&self) -> u64 {
        self.admitted.saturating_sub(self.refunded)
    }

    /// Whether one router can have counted so.
    pub fn is_consistent(&self) -> bool {
        self.refunded <= self.admitted && self.admitted <= self.arrived
    }

    /// The maximum of each count.
    pub fn merged(&self, other: &Counters) -> Counters {
        Counters {
            admitted: self.admitted.max(other.admitted),
            refunded: self.refunded.max(other.refunded),
            arrived: self.arrived.max(other.arrived),
        }
    }
}

impl From<&QuotaCount> for Counters {
    fn from(count: &QuotaCount) -> Counters {
        Counters { admitted: count.admitted, refunded: count.refunded, arrived: count.arrived }
    }
}

/// The counts of one router's newest incarnation.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct OriginCounts {
    incarnation: u64,
    consumers: BTreeMap<ConsumerId, Counters>,
}

impl OriginCounts {
    fn merge(&mut self, other: &OriginCounts) {
        if other.incarnation < self.incarnation {
            return;
        }
        if other.incarnation > self.incarnation {
            *self = other.clone();
            return;
        }
        for (consumer, counters) in &other.consumers {
            let known = self.consumers.entry(*consumer).or_default();
            *known = known.merged(counters);
        }
    }
}

/// All that is known of what routers counted.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MergedCounts {
    origins: BTreeMap<NodeId, OriginCounts>,
}

impl MergedCounts {
    /// Takes in counts of one consumer at one router. Returns what was known before, if the router's incarnation
    /// had counted that consumer before.
    pub fn record(
        &mut self,
        origin: NodeId,
        incarnation: u64,
        consumer: ConsumerId,
        counters: Counters,
    ) -> Option<Counters> {
        let before = self.get(origin, incarnation, consumer);
        let consumers = BTreeMap::from([(consumer, counters)]);
        self.origins.entry(origin).or_default().merge(&OriginCounts { incarnation, consumers });
        before
    }

    /// What one incarnation of a router counted of a consumer, as far as is known.
    pub fn get(&self, origin: NodeId, incarnation: u64, consumer: ConsumerId) -> Option<Counters> {
        let known = self.origins.get(&origin).filter(|known| known.incarnation == incarnation)?;
        known.consumers.get(&consumer).copied()
    }

    /// The newest incarnation that is known of a router.
    pub fn incarnation(&self, origin: NodeId) -> Option<u64> {
        self.origins.get(&origin).map(|known| known.incarnation)
    }

    /// Takes in all that another knows.
    pub fn merge(&mut self, other: &MergedCounts) {
        for (origin, counts) in &other.origins {
            self.origins.entry(*origin).or_default().merge(counts);
        }
    }

    /// Forgets routers that are gone.
    pub fn retain(&mut self, is_member: impl Fn(NodeId) -> bool) {
        self.origins.retain(|origin, _| is_member(*origin));
    }
}
