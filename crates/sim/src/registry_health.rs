//! Which registries are running, disturbed, isolated or healthy.

use crate::world::{NodeRef, World};
use rand::RngExt;
use std::time::Duration;

/// Time without disturbance after which a registry counts as healthy again, with three registries.
const CATCH_UP_TIME: Duration = Duration::from_secs(4);
/// The same time with more than three registries.
const CATCH_UP_TIME_OF_MANY: Duration = Duration::from_secs(6);

impl World {
    pub(crate) fn live_registries(&self) -> Vec<usize> {
        (0..self.registries.len()).filter(|n| !self.registries[*n].retired).collect()
    }

    pub(crate) fn any_registry(&mut self) -> usize {
        let live = self.live_registries();
        live[self.rng.random_range(0..live.len())]
    }

    /// Addresses that a registry asks while it knows no view: its seeds, and the addresses learned from them.
    pub(crate) fn seeds_of(&self, n: usize) -> Vec<String> {
        let node = &self.registries[n];
        let seeds = if node.seeds.is_empty() { &self.seeds } else { &node.seeds };
        seeds.iter().chain(&node.learned_addresses).cloned().collect()
    }

    pub(crate) fn catch_up_time(&self) -> Duration {
        if self.plan.losses > 1 { CATCH_UP_TIME_OF_MANY } else { CATCH_UP_TIME }
    }

    /// Returns how many more disks may be lost now: the tolerated losses less the registries that aren't healthy.
    pub(crate) fn remaining_disk_losses(&self) -> usize {
        let unhealthy = |n: &usize| !self.is_healthy(*n);
        let lost = self.live_registries().iter().filter(|n| unhealthy(n)).count();
        self.plan.losses.saturating_sub(lost)
    }

    pub(crate) fn is_healthy(&self, n: usize) -> bool {
        let node = &self.registries[n];
        node.core.is_some() && !self.is_disturbed(n) && self.now > node.last_disturbed + self.catch_up_time()
    }

    fn is_disturbed(&self, n: usize) -> bool {
        let (node, now, node_ref) = (&self.registries[n], self.now, NodeRef::Registry(n));
        let held = node.frozen_until > now || node.stalled_until > now || node.slow_disk_until > now || node.full;
        let registry = |node_ref: &NodeRef| matches!(node_ref, NodeRef::Registry(_));
        let touches = |(a, b): &(NodeRef, NodeRef)| (*a == node_ref || *b == node_ref) && registry(a) && registry(b);
        let net = &self.net;
        let mut disturbed = net.cuts.iter().chain(net.slow_links.keys()).chain(net.lossy_links.keys());
        held || node.core.is_none() || self.is_slow(node_ref) || disturbed.any(touches)
    }

    /// Records which registries are disturbed now and which are isolated.
    pub(crate) fn update_disturbances(&mut self) {
        let live = self.live_registries();
        for n in live.iter().copied().filter(|n| self.is_disturbed(*n)).collect::<Vec<_>>() {
            self.registries[n].last_disturbed = self.now;
        }
        let now = self.now;
        let can_receive = |n: usize| {
            let from = |other: &usize| *other != n && self.registries[*other].core.is_some();
            let way = |other: usize| (NodeRef::Registry(other), NodeRef::Registry(n));
            live.iter().filter(|other| from(other)).any(|other| !self.net.cuts.contains(&way(*other)))
        };
        let isolated: Vec<bool> = (0..self.registries.len()).map(|n| !can_receive(n)).collect();
        let since = &mut self.core_rule_state.isolated_since;
        since.resize(isolated.len(), None);
        for (since, isolated) in since.iter_mut().zip(isolated) {
            *since = isolated.then(|| since.unwrap_or(now));
        }
    }
}
