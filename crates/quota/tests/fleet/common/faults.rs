//! Faults and changes injected into the simulated fleet.

use super::fleet::{Event, Fleet, GRANTER_COUNT, node_id, node_index};
use quota::{ConsumerLimit, Granters};
use rand::RngExt;
use std::collections::BTreeSet;
use std::time::Duration;

/// Time from a crash or return of a router until the membership changes.
const MEMBERSHIP_CHANGE_DELAY: Duration = Duration::from_secs(2);

/// Fault or change that is injected into the fleet.
#[derive(Clone, Debug)]
pub enum Fault {
    Kill(usize),
    Start(usize),
    /// The router loses its lease and is dropped from the membership, but keeps running.
    Drop(usize),
    /// The router stops processing while its clock continues.
    Freeze(usize),
    Thaw(usize),
    /// These routers are partitioned from the others.
    Partition(BTreeSet<usize>),
    Heal,
    SetLimit(usize, ConsumerLimit),
}

impl Fleet {
    pub(super) fn apply_fault(&mut self, fault: Fault) {
        match fault {
            Fault::Kill(n) => self.kill(n),
            Fault::Start(n) => self.start(n),
            Fault::Drop(n) => self.drop_from_membership(n),
            Fault::Freeze(n) => self.nodes[n].iter_mut().for_each(|node| node.is_frozen = true),
            Fault::Thaw(n) => self.thaw(n),
            Fault::Partition(nodes) => self.network.partition = nodes,
            Fault::Heal => self.network.partition.clear(),
            Fault::SetLimit(consumer, limit) => self.set_limit(consumer, limit),
        }
        let at = self.now + MEMBERSHIP_CHANGE_DELAY;
        self.schedule(at, Event::MembershipChanged);
    }

    /// Kills a router. The connections to it end, as those of a killed process do.
    fn kill(&mut self, n: usize) {
        self.nodes[n] = None;
        for at in 0..self.nodes.len() {
            let noticed_at = self.now + self.network.longest_delay.mul_f64(self.random.random());
            self.schedule(noticed_at, Event::LinkDown { at, to: n });
        }
    }

    /// Drops a router from the membership. The others learn of it before the router joins again.
    fn drop_from_membership(&mut self, n: usize) {
        let Some(node) = &mut self.nodes[n] else { return };
        node.has_lease = false;
        node.is_serving = false;
        node.granter.handle_membership_loss(self.now - node.started_at);
        self.membership.members.remove(&node_id(n));
        self.membership.granters =
            Granters::new(self.membership.members.iter().copied().filter(|m| node_index(*m) < GRANTER_COUNT));
        (0..self.nodes.len()).filter(|other| *other != n).for_each(|other| self.deliver_membership(other));
    }

    fn thaw(&mut self, n: usize) {
        let Some(node) = &mut self.nodes[n] else { return };
        node.is_frozen = false;
        for (from, message) in std::mem::take(&mut node.held_messages) {
            self.receive(from, n, &message);
        }
    }

    fn set_limit(&mut self, consumer: usize, limit: ConsumerLimit) {
        let before = std::mem::replace(&mut self.consumers[consumer].limit, limit);
        let limits = self.limits();
        let now = self.now;
        for node in self.nodes.iter_mut().flatten() {
            node.meter.set_limits(limits.clone());
            node.granter.set_limits(now - node.started_at, limits.clone());
        }
        if limit.rate_per_s < before.rate_per_s {
            self.limit_checker.record_lowered_limit(now, self.consumers[consumer].id, before);
        }
    }
}
