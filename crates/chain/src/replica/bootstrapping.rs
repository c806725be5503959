//! Bootstrap of a cluster from empty disks. An empty replica that reaches an existing cluster is sent its view and
//! asks to join. A replica that may not found a cluster only asks to join, unless it bound itself to founders before.

use super::ChainReplica;
use super::view_repair::optimizer_for;
use crate::bootstrap::{Founder, MAX_FOUNDERS, REQUEST_INTERVAL};
use crate::types::Output;
use wire::{ChainMessage, NodeAddress, NodeId, View};

impl ChainReplica {
    /// Sets how many founders, at most three, a cluster must have to be founded by this replica; 0 for never.
    pub fn with_founders(mut self, founders: usize) -> Self {
        self.bootstrap.required_founders = founders.min(MAX_FOUNDERS);
        self
    }

    pub(super) fn maybe_request_bootstrap(&mut self) {
        let now = self.clock.now;
        let is_empty = self.log.positions().last == 0;
        if now < self.catch_up.requested_at + REQUEST_INTERVAL || !is_empty || !self.may_bootstrap() {
            return;
        }
        let node = self.meta.node.clone();
        let bound_to = self.meta.accepted.clone();
        if self.bootstrap.required_founders == 1 {
            return self.handle_bootstrap_request(node, bound_to);
        }
        self.outputs.push(Output::SendSeeds { message: ChainMessage::BootstrapRequest { node, bound_to } });
    }

    /// Returns whether this replica may found a cluster, or has bound itself to founders before.
    fn may_bootstrap(&self) -> bool {
        self.bootstrap.required_founders > 0 || self.is_bound()
    }

    /// Returns whether this replica is bound to founders. Before the first view, `accepted` holds the view of the
    /// founders to which it is bound.
    fn is_bound(&self) -> bool {
        self.meta.accepted_number > 0
    }

    pub(super) fn handle_bootstrap_request(&mut self, node: NodeAddress, bound_to: View) {
        if self.meta.view.number > 0 {
            let view = self.meta.view.clone();
            return self.send(node.id, ChainMessage::Decided { view });
        }
        if !self.may_bootstrap() {
            return;
        }
        let now = self.clock.now;
        let own = Founder { node: self.meta.node.clone(), heard_at: now, bound_to: self.meta.accepted.clone() };
        self.bootstrap.record(Founder { node, heard_at: now, bound_to }, own, now);
        if !self.is_bound() {
            return self.maybe_bind();
        }
        let first = self.meta.accepted.clone();
        if self.bootstrap.all_bound_to(&first, self.me()) && self.writes.is_idle() {
            self.adopt(first);
        }
    }

    /// Binds this replica to the founders once all of them are present.
    fn maybe_bind(&mut self) {
        let Some(voters) = self.bootstrap.complete_founders() else { return };
        let chain: Vec<NodeId> = voters.iter().map(|voter| voter.id).collect();
        let optimizer = optimizer_for(&chain, 0);
        self.meta.accepted = View { number: 1, chain: chain.into(), voters: voters.into(), learner: 0, optimizer };
        self.meta.accepted_number = 1;
        self.write_meta(Vec::new());
    }
}
