//! What the control plane may look at, and the few things it may set.

use super::ChainReplica;
use crate::log::Positions;
use crate::types::State;
use std::time::Duration;
use wire::{LogEntry, NodeAddress, NodeId, View};

impl ChainReplica {
    /// How many registries may lose their disks at once with everything acknowledged still replicated.
    pub fn tolerating_losses(mut self, losses: usize) -> Self {
        self.rules.tolerated_losses = losses.max(1);
        self
    }

    /// Numbers confirmation rounds from here, differently in each process.
    pub fn numbering_rounds_from(mut self, first: u64) -> Self {
        self.confirmation.number_from(first);
        self
    }

    /// Whether joins wait because a joiner, which becomes the tail, would hold up something more pressing.
    pub fn defer_joins(&mut self, deferred: bool) {
        self.rules.joins_deferred = deferred;
    }

    /// Requests a confirmation round and returns its number; [`crate::Input::Confirm`] starts it.
    pub fn request_confirmation(&mut self) -> u64 {
        self.confirmation.request()
    }

    /// The view it has adopted.
    pub fn view(&self) -> &View {
        &self.meta.view
    }

    /// The state after the newest entry here, committed or not.
    pub fn state(&self) -> &State {
        self.log.state()
    }

    /// The state as far as it is known here to be committed: nothing in it can be lost.
    pub fn committed_state(&self) -> &State {
        self.log.committed_state()
    }

    /// Its id and address.
    pub fn node(&self) -> &NodeAddress {
        &self.meta.node
    }

    /// The entries that are still in its log.
    pub fn entries(&self) -> impl Iterator<Item = &LogEntry> {
        self.log.entries()
    }

    /// The voters it suspects.
    pub fn suspects(&self) -> Vec<NodeId> {
        let now = self.clock.now;
        let voters = self.meta.view.voters.iter().map(|voter| voter.id);
        voters.filter(|id| self.detector.is_suspect(*id, now)).collect()
    }

    /// The watermarks of its log.
    pub fn positions(&self) -> Positions {
        self.log.positions()
    }

    /// Whether it is in the chain of its view.
    pub fn is_in_chain(&self) -> bool {
        self.meta.view.is_in_chain(self.me())
    }

    /// Whether it is the first in the chain, where entries are appended.
    pub fn is_head(&self) -> bool {
        self.meta.view.head() == Some(self.me())
    }

    /// Whether it is the last in the chain.
    pub fn is_tail(&self) -> bool {
        self.meta.view.tail() == Some(self.me())
    }

    /// Whether it is the tail and holds everything that was committed before its view.
    pub fn is_current_tail(&self) -> bool {
        let synced = self.log.positions().synced;
        let has_reached_fence = self.is_head() || self.replication.fence.is_some_and(|fence| synced >= fence);
        self.is_tail() && self.catch_up.download.is_none() && has_reached_fence
    }

    /// The view with which its unbroken run as the tail began, if it is the tail now.
    pub fn tenure(&self) -> Option<u64> {
        self.is_tail().then(|| self.tail_history.first_view())
    }

    /// No lease of any tail before this one was requested after this moment, as far as a majority has reported.
    pub fn earlier_tails_answered_until(&self) -> Option<Duration> {
        self.tenure()?;
        self.tail_history.earlier_tails_answered_until()
    }

    pub(super) fn predecessor(&self) -> Option<NodeId> {
        let before = self.meta.view.position_of(self.me())?.checked_sub(1)?;
        self.meta.view.chain.as_slice().get(before).copied()
    }

    pub(super) fn successor(&self) -> Option<NodeId> {
        let after = self.meta.view.position_of(self.me())? + 1;
        self.meta.view.chain.as_slice().get(after).copied()
    }
}
