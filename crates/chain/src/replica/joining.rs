//! Joining the chain: a replica that was away or starts empty first catches up with the tail. A view change then
//! appends it to the chain as the learner, and a second view change makes it a full member.

use super::ChainReplica;
use crate::snapshot::{DOWNLOAD_TIMEOUT, RETRY_INTERVAL};
use crate::types::Output;
use std::time::Duration;
use wire::{ChainMessage, NodeAddress};

impl ChainReplica {
    pub(super) fn maybe_request_join(&mut self) {
        let now = self.clock.now;
        if self.catch_up.download.is_some() {
            return self.maybe_continue_download();
        }
        if self.is_in_chain() {
            self.catch_up.joining_since = None;
        }
        let is_blocked = self.writes.has_failed() || self.is_leaving() || self.has_unreachable_chain_member();
        if self.is_in_chain() || is_blocked || now < self.catch_up.requested_at + RETRY_INTERVAL {
            return;
        }
        self.catch_up.requested_at = now;
        let waited = now - *self.catch_up.joining_since.get_or_insert(now);
        let node = self.meta.node.clone();
        // While `ready` is 0, `seq` carries the time it has waited, in milliseconds.
        let message = ChainMessage::JoinRequest { node, ready: 0, seq: waited.as_millis() as u64 };
        if self.meta.view.number == 0 {
            self.outputs.push(Output::SendSeeds { message });
        } else {
            self.send_to_voters(&message);
        }
    }

    /// Repeats a request that was not answered, and abandons a download that makes no progress.
    fn maybe_continue_download(&mut self) {
        let now = self.clock.now;
        let is_installing = self.writes.is_completing_catch_up();
        let Some(download) = &mut self.catch_up.download else { return };
        if now > download.progressed_at + DOWNLOAD_TIMEOUT && !is_installing {
            self.catch_up.abandon_download();
        } else if now > download.requested_at + RETRY_INTERVAL {
            download.requested_at = now;
            let (source, snapshot_id, chunk) = (download.source, download.snapshot_id, download.next_chunk);
            let request = match snapshot_id {
                0 => self.first_catch_up_request(),
                _ => ChainMessage::SnapshotRequest { snapshot_id, chunk },
            };
            self.send(source, request);
        }
    }

    /// Handles a request to join. If the joiner is `ready`, `detail` is the id of the snapshot that it holds;
    /// otherwise it is the time that the joiner has waited, in milliseconds.
    pub(super) fn handle_join_request(&mut self, joiner: NodeAddress, ready: bool, detail: u64) {
        let now = self.clock.now;
        let waited = Duration::from_millis(if ready { 0 } else { detail });
        self.rules.join_requests.record(joiner.id, waited, now);
        let is_known = self.meta.view.is_in_chain(joiner.id);
        if !self.is_current_tail() && self.is_in_chain() && !is_known {
            let view = self.meta.view.clone();
            return self.send(joiner.id, ChainMessage::Decided { view });
        }
        if !self.is_current_tail() || is_known || !self.may_admit(&joiner) {
            return;
        }
        if ready {
            self.maybe_add_joiner(joiner, detail);
        } else {
            let view = self.meta.view.number;
            self.send(joiner.id, ChainMessage::SnapshotOffer { view });
        }
    }

    fn may_admit(&self, joiner: &NodeAddress) -> bool {
        let is_deferred = self.rules.joins_deferred && self.has_enough_replicas();
        self.rules.readmissions.may_return(joiner.id, self.clock.now)
            && !is_deferred
            && !self.is_admitting_other(joiner.id)
            && self.can_become_voter(joiner)
    }

    fn maybe_add_joiner(&mut self, joiner: NodeAddress, snapshot_id: u64) {
        let source = self.catch_up.source.as_ref();
        let was_served = source.is_some_and(|source| source.id == snapshot_id && source.joiner == joiner.id);
        if was_served
            && self.meta.view.learner == 0
            && !self.agreement.is_busy(self.clock.now)
            && let Some(next) = self.view_with_joiner(joiner)
        {
            self.propose_view(next);
        }
    }

    /// Completes a catch-up that is now on disk: a member of the chain resumes replication, any other replica
    /// reports to the tail that it is ready to join.
    pub(super) fn finish_catch_up(&mut self) {
        let Some(download) = self.catch_up.download.take() else { return };
        self.log.forget_states_before_snapshot();
        if self.is_in_chain() {
            self.enter_chain();
        } else if !self.is_leaving() {
            let node = self.meta.node.clone();
            self.catch_up.requested_at = self.clock.now;
            self.send(download.source, ChainMessage::JoinRequest { node, ready: 1, seq: download.snapshot_id });
        }
    }

    /// Proposes, as the learner, the view in which it is a full member, once it holds everything that the previous
    /// tail held.
    pub(super) fn maybe_finish_joining(&mut self) {
        let view = &self.meta.view;
        let is_learner = view.learner != 0 && view.learner == self.me();
        if is_learner && !self.agreement.is_busy(self.clock.now) && self.is_current_tail() {
            let mut next = view.clone();
            next.number += 1;
            next.learner = 0;
            self.propose_view(next);
        }
    }
}
