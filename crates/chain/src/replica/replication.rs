//! Replication of entries along the chain: the head appends them, and each replica applies them in order and syncs
//! them to disk before it forwards them. The tail acknowledges them once they are on one disk more than may be lost,
//! or on all disks of a cluster that was founded with fewer replicas.

use super::ChainReplica;
use crate::replication_progress::ReplicationProgress;
use crate::types::Output;
use wire::{Blob, ChainMessage, LogEntry, NodeId, ProposalId};

/// Maximum number of entries sent to the successor and not yet acknowledged.
const REPLICATION_WINDOW: u64 = 2048;
/// Number of uncommitted entries at which the head refuses proposals.
const MAX_UNCOMMITTED: u64 = REPLICATION_WINDOW * 2;
/// Maximum number of entries in an append message.
const MAX_ENTRIES_PER_MESSAGE: usize = 256;
/// Maximum size of the bodies in an append message, which only its last entry may exceed.
const MAX_BYTES_PER_MESSAGE: usize = 1024 * 1024;

impl ChainReplica {
    /// Starts replication in a newly adopted view, or after a catch-up.
    pub(super) fn enter_chain(&mut self) {
        let now = self.clock.now;
        self.replication = ReplicationProgress::new(self.log.positions().last, now);
        self.confirmation.reset();
        self.report_position();
        self.after_progress();
    }

    fn report_position(&mut self) {
        if let Some(predecessor) = self.predecessor() {
            let seq = self.log.positions().synced;
            self.send(predecessor, ChainMessage::Position { view: self.meta.view.number, seq });
        }
    }

    pub(super) fn append_or_forward(&mut self, op: ProposalId, body: Vec<u8>) {
        match self.meta.view.head() {
            Some(head) if head == self.me() => self.append_as_head(op, body),
            Some(head) => self.send(head, ChainMessage::Propose { op, body: body.into() }),
            None => self.finish_proposal(op, false, Vec::new()),
        }
    }

    fn append_as_head(&mut self, op: ProposalId, body: Vec<u8>) {
        let positions = self.log.positions();
        let has_capacity = positions.last - positions.committed < MAX_UNCOMMITTED;
        if !self.has_enough_replicas() || !has_capacity || self.is_unhealthy() {
            return self.finish_proposal(op, false, Vec::new());
        }
        self.append(LogEntry { seq: positions.last + 1, op, body: body.into() });
    }

    pub(super) fn handle_propose(&mut self, op: ProposalId, body: Blob) {
        if self.is_head() {
            self.append_or_forward(op, body.into_vec());
        } else {
            self.finish_proposal(op, false, Vec::new());
        }
    }

    fn finish_proposal(&mut self, op: ProposalId, appended: bool, reply: Vec<u8>) {
        if op.origin == self.me() {
            self.outputs.push(Output::ProposalDone { op, appended, reply });
        } else {
            self.send(op.origin, ChainMessage::ProposalReply { op, appended: appended as u8, reply: reply.into() });
        }
    }

    pub(super) fn append(&mut self, entry: LogEntry) {
        let changes = self.log.append(entry.clone());
        self.writes.add_entry(entry, changes, self.log.trimmed_below());
    }

    pub(super) fn handle_append(&mut self, from: NodeId, view: u64, fence: u64, entries: Vec<LogEntry>) {
        let is_from_predecessor = view == self.meta.view.number && self.predecessor() == Some(from);
        if !is_from_predecessor || self.catch_up.download.is_some() {
            return;
        }
        self.replication.fence.get_or_insert(fence);
        for entry in entries {
            if entry.seq == self.log.positions().last + 1 {
                self.append(entry);
            }
        }
        self.after_progress();
    }

    pub(super) fn handle_position(&mut self, from: NodeId, view: u64, seq: u64) {
        if view != self.meta.view.number || self.successor() != Some(from) {
            return;
        }
        if seq + 1 < self.log.oldest() || seq > self.log.positions().last {
            return self.send(from, ChainMessage::SnapshotOffer { view });
        }
        self.replication.start_from(seq, self.clock.now);
        self.send_append();
        self.send_pending_entries();
    }

    pub(super) fn handle_synced(&mut self, from: NodeId, view: u64, seq: u64, committed: u64) {
        if view != self.meta.view.number || self.successor() != Some(from) {
            return;
        }
        if self.replication.sent.is_none() {
            return self.handle_position(from, view, seq);
        }
        self.replication.acknowledge(seq, self.clock.now);
        let previously_committed = self.log.positions().committed;
        self.commit(committed.min(self.log.positions().synced));
        // This replica reported its own synced entries when they were synced, so only news about the committed
        // watermark is passed on. One report for each write of each successor would make the number of frames
        // quadratic in the length of the chain.
        if self.log.positions().committed > previously_committed {
            self.report_progress();
        }
        self.send_pending_entries();
    }

    /// Sends as many entries as the replication window allows.
    fn send_pending_entries(&mut self) {
        while self.replication.sent.is_some_and(|sent| {
            sent < self.log.positions().synced && sent < self.replication.acknowledged + REPLICATION_WINDOW
        }) && self.successor().is_some()
        {
            self.send_append();
        }
    }

    /// Sends the next entries. A message without entries still tells the successor the fence of the view.
    fn send_append(&mut self) {
        let (Some(successor), Some(sent)) = (self.successor(), self.replication.sent) else { return };
        let entries = self.log.synced_batch_after(sent, MAX_ENTRIES_PER_MESSAGE, MAX_BYTES_PER_MESSAGE);
        self.replication.sent = Some(entries.last().map_or(sent, |entry| entry.seq));
        let (view, fence) = (self.meta.view.number, self.replication.own_fence);
        self.send(successor, ChainMessage::Append { view, fence, entries: entries.into() });
    }

    pub(super) fn maybe_resend(&mut self) {
        if self.clock.now < self.replication.acknowledged_at + self.timing.resend_after {
            return;
        }
        self.replication.acknowledged_at = self.clock.now;
        let acknowledged = self.replication.acknowledged;
        if self.replication.sent.is_some_and(|sent| acknowledged < sent) {
            self.replication.sent = Some(acknowledged);
            self.send_pending_entries();
        }
        if self.replication.fence.is_none() {
            self.report_position();
        }
        if self.meta.view.voters.as_slice().len() == 1 {
            return self.after_progress();
        }
        self.report_progress();
    }

    fn report_progress(&mut self) {
        if let Some(predecessor) = self.predecessor()
            && self.replication.fence.is_some()
        {
            let positions = self.log.positions();
            let (view, seq, committed) = (self.meta.view.number, positions.synced, positions.committed);
            self.send(predecessor, ChainMessage::Synced { view, seq, committed });
        }
    }

    fn commit(&mut self, seq: u64) {
        let Some(replies) = self.log.commit(seq) else { return };
        if self.is_tail() {
            for pending in replies {
                self.finish_proposal(pending.proposal, true, pending.reply);
            }
        }
        self.outputs.push(Output::Committed { seq });
    }

    /// Performs the steps that newly synced or acknowledged entries may have made possible.
    pub(super) fn after_progress(&mut self) {
        if self.is_current_tail() && self.has_enough_replicas() {
            self.commit(self.log.positions().synced);
        }
        self.report_progress();
        self.send_pending_entries();
        self.maybe_report_confirmed_round();
        self.maybe_finish_joining();
    }
}
