//! Queries of the control plane, and the few settings that it may change.

use super::ChainReplica;
use crate::log::Positions;
use crate::types::State;
use std::time::Duration;
use wire::{LogEntry, NodeAddress, NodeId, View};

impl ChainReplica {
    /// Sets how many registries may lose their disks at once without losing acknowledged entries, at least one.
    pub fn with_tolerated_losses(mut self, losses: usize) -> Self {
        self.rules.tolerated_losses = losses.max(1);
        self
    }

    /// Sets the number from which confirmation rounds are counted, which must differ between processes.
    pub fn with_first_round(mut self, first: u64) -> Self {
        self.confirmation.number_from(first);
        self
    }

    /// Sets whether joins are postponed because a joiner, which becomes the tail, would delay more urgent work.
    pub fn defer_joins(&mut self, deferred: bool) {
        self.rules.joins_deferred = deferred;
    }

    /// Requests a confirmation round and returns its number; [`crate::Input::Confirm`] starts the round.
    pub fn request_confirmation(&mut self) -> u64 {
        self.confirmation.request()
    }

    /// Returns the view that the replica has adopted.
    pub fn view(&self) -> &View {
        &self.meta.view
    }

    /// Returns the state after the newest entry here, committed or not.
    pub fn state(&self) -> &State {
        self.log.state()
    }

    /// Returns the state after the newest entry known here to be committed; none of it can be lost.
    pub fn committed_state(&self) -> &State {
        self.log.committed_state()
    }

    /// Returns the id and address of the replica.
    pub fn node(&self) -> &NodeAddress {
        &self.meta.node
    }

    /// Returns the entries that are still in the log.
    pub fn entries(&self) -> impl Iterator<Item = &LogEntry> {
        self.log.entries()
    }

    /// Returns the voters that this replica suspects.
    pub fn suspects(&self) -> Vec<NodeId> {
        let now = self.clock.now;
        let voters = self.meta.view.voters.iter().map(|voter| voter.id);
        voters.filter(|id| self.detector.is_suspect(*id, now)).collect()
    }

    /// Returns the watermarks of the log.
    pub fn positions(&self) -> Positions {
        self.log.positions()
    }

    /// Returns whether this replica is in the chain of its view.
    pub fn is_in_chain(&self) -> bool {
        self.meta.view.is_in_chain(self.me())
    }

    /// Returns whether this replica is the head of the chain, where entries are appended.
    pub fn is_head(&self) -> bool {
        self.meta.view.head() == Some(self.me())
    }

    /// Returns whether this replica is the last in the chain.
    pub fn is_tail(&self) -> bool {
        self.meta.view.tail() == Some(self.me())
    }

    /// Returns whether this replica is the tail and holds everything that was committed before its view.
    pub fn is_current_tail(&self) -> bool {
        let synced = self.log.positions().synced;
        let has_reached_fence = self.is_head() || self.replication.fence.is_some_and(|fence| synced >= fence);
        self.is_tail() && self.catch_up.download.is_none() && has_reached_fence
    }

    /// Returns the first of the consecutive views in which this replica is the tail, if it is the tail now.
    pub fn tail_since_view(&self) -> Option<u64> {
        self.is_tail().then(|| self.tail_history.first_view())
    }

    /// Returns the time after which no earlier tail can have requested a lease, once a majority has reported.
    pub fn last_answer_to_earlier_tails(&self) -> Option<Duration> {
        self.tail_since_view()?;
        self.tail_history.last_answer_to_earlier_tails()
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
