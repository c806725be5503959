//! Entries along the chain: entered at the head, written and synced at each member before they
//! go on, applied in order, acknowledged by the tail once one disk more holds them than may be lost, or
//! as many as there are where a cluster was founded with fewer seats.

use crate::member::Member;
use crate::types::Output;
use wire::{Blob, ChainMessage, LogEntry, NodeId, ProposalId};

const WINDOW: u64 = 2048;
const PER_FRAME: usize = 256;
const FRAME_BYTES: usize = 1024 * 1024;

impl Member {
    fn place(&self) -> Option<usize> {
        self.meta.view.chain.iter().position(|id| *id == self.meta.node.id)
    }

    pub(crate) fn predecessor(&self) -> Option<NodeId> {
        let place = self.place()?;
        place.checked_sub(1).and_then(|before| self.meta.view.chain.as_slice().get(before)).copied()
    }

    pub(crate) fn successor(&self) -> Option<NodeId> {
        self.meta.view.chain.as_slice().get(self.place()? + 1).copied()
    }

    pub fn is_chained(&self) -> bool {
        self.place().is_some()
    }

    pub fn is_head(&self) -> bool {
        self.place() == Some(0)
    }

    pub fn is_tail(&self) -> bool {
        self.meta.view.chain.as_slice().last() == Some(&self.meta.node.id)
    }

    pub fn is_current_tail(&self) -> bool {
        self.is_tail()
            && self.copying.is_none()
            && (self.is_head() || self.fence.is_some_and(|fence| self.synced >= fence))
    }

    /// Whether an entry is kept on one disk more than may be lost, or on all there were ever meant to be.
    pub(crate) fn keeps_copies(&self) -> bool {
        self.meta.view.chain.as_slice().len() >= self.copies()
    }

    pub(crate) fn enter_line(&mut self) {
        self.fence = None;
        self.view_fence = self.last;
        self.sent_to = u64::MAX;
        self.acked = 0;
        self.acked_at = self.now;
        self.round.running = false;
        self.round.needs = None;
        if let Some(before) = self.predecessor() {
            let message = ChainMessage::Position { view: self.meta.view.number, seq: self.synced };
            self.send(before, message);
        }
        self.settle();
    }

    pub(crate) fn propose_entry(&mut self, op: ProposalId, body: Vec<u8>) {
        let head = self.meta.view.chain.as_slice().first().copied();
        match head {
            Some(head) if head == self.meta.node.id => {
                let room = (self.last - self.committed) < WINDOW * 2;
                if !self.keeps_copies() || !room || self.is_unwell() {
                    return self.done(op, false, Vec::new());
                }
                let entry = LogEntry { seq: self.last + 1, op, body: body.into() };
                self.take(entry);
            }
            Some(head) => self.send(head, ChainMessage::Propose { op, body: body.into() }),
            None => self.done(op, false, Vec::new()),
        }
    }

    pub(crate) fn done(&mut self, op: ProposalId, appended: bool, reply: Vec<u8>) {
        if op.origin == self.meta.node.id {
            self.outs.push(Output::Done { op, appended, reply });
        } else {
            self.send(op.origin, ChainMessage::Done { op, appended: appended as u8, reply: reply.into() });
        }
    }

    pub(crate) fn take(&mut self, entry: LogEntry) {
        let effect = (self.apply)(&self.state, entry.seq, entry.body.as_slice());
        for (key, value) in effect.changes {
            match &value {
                Some(value) => self.state.insert(key.clone(), value.clone()),
                None => self.state.remove(&key),
            };
            self.next.pairs.push((key, value));
        }
        self.last = entry.seq;
        self.pending_replies.insert(entry.seq, (entry.op, effect.reply));
        self.log_bytes += entry.body.len();
        self.log.push_back(entry.clone());
        self.trim_log();
        self.next.trim_below = self.log.front().map_or(0, |kept| kept.seq);
        self.next.entries.push(entry);
        self.next.last = self.last;
        self.dirty = true;
    }

    pub(crate) fn on_append(&mut self, from: NodeId, view: u64, fence: u64, entries: Vec<LogEntry>) {
        if view != self.meta.view.number || self.predecessor() != Some(from) || self.copying.is_some() {
            return;
        }
        self.fence.get_or_insert(fence);
        for entry in entries {
            if entry.seq == self.last + 1 {
                self.take(entry);
            }
        }
        self.settle();
    }

    pub(crate) fn on_position(&mut self, from: NodeId, view: u64, seq: u64) {
        if view != self.meta.view.number || self.successor() != Some(from) {
            return;
        }
        let oldest = self.log.front().map_or(self.last + 1, |kept| kept.seq);
        if seq + 1 < oldest || seq > self.last {
            return self.send(from, ChainMessage::SnapshotOffer { view });
        }
        self.acked = seq;
        self.sent_to = seq;
        self.acked_at = self.now;
        self.forward(true);
    }

    pub(crate) fn on_synced(&mut self, from: NodeId, view: u64, seq: u64, committed: u64) {
        if view != self.meta.view.number || self.successor() != Some(from) {
            return;
        }
        if self.sent_to == u64::MAX {
            return self.on_position(from, view, seq);
        }
        if seq > self.acked {
            self.acked = seq;
            self.acked_at = self.now;
        }
        self.commit(committed.min(self.synced));
        self.report();
        self.forward(false);
    }

    fn forward(&mut self, even_empty: bool) {
        let Some(after) = self.successor() else { return };
        if self.sent_to == u64::MAX {
            return;
        }
        let mut even_empty = even_empty;
        while even_empty || (self.sent_to < self.synced && self.sent_to < self.acked + WINDOW) {
            even_empty = false;
            let first = self.log.front().map_or(0, |kept| kept.seq);
            let skip = (self.sent_to + 1).saturating_sub(first) as usize;
            let mut bytes = 0;
            let synced = self.synced;
            let entries: Vec<LogEntry> = self
                .log
                .iter()
                .skip(skip)
                .take(PER_FRAME)
                .take_while(|entry| {
                    bytes += entry.body.as_slice().len();
                    entry.seq <= synced && bytes <= FRAME_BYTES + entry.body.as_slice().len()
                })
                .cloned()
                .collect();
            self.sent_to = entries.last().map_or(self.sent_to, |entry| entry.seq);
            let fence = self.view_fence;
            let message = ChainMessage::Append { view: self.meta.view.number, fence, entries: entries.into() };
            self.send(after, message);
        }
    }

    pub(crate) fn resend(&mut self) {
        if self.now < self.acked_at + self.timing.resend {
            return;
        }
        self.acked_at = self.now;
        if self.sent_to != u64::MAX && self.acked < self.sent_to {
            self.sent_to = self.acked;
            self.forward(false);
        }
        if let Some(before) = self.predecessor()
            && self.fence.is_none()
        {
            self.send(before, ChainMessage::Position { view: self.meta.view.number, seq: self.synced });
        }
        if self.meta.view.voters.as_slice().len() == 1 {
            return self.settle();
        }
        self.report();
    }

    fn report(&mut self) {
        if let Some(before) = self.predecessor()
            && self.fence.is_some()
        {
            let (seq, committed) = (self.synced, self.committed);
            self.send(before, ChainMessage::Synced { view: self.meta.view.number, seq, committed });
        }
    }

    fn commit(&mut self, seq: u64) {
        if seq <= self.committed {
            return;
        }
        self.committed = seq;
        self.known_committed = self.known_committed.max(seq);
        while let Some((_, state)) = self.snapshots.pop_front_if(|(at, _)| *at <= seq) {
            self.committed_state = state;
        }
        let later = self.pending_replies.split_off(&(seq + 1));
        let ready = std::mem::replace(&mut self.pending_replies, later);
        if self.is_tail() {
            for (op, reply) in ready.into_values() {
                self.done(op, true, reply);
            }
        }
        self.outs.push(Output::Committed { seq });
    }

    pub(crate) fn settle(&mut self) {
        if self.is_current_tail() && self.keeps_copies() {
            self.commit(self.synced);
        }
        self.report();
        self.forward(false);
        self.release_round();
        self.finish_joining();
    }

    pub(crate) fn on_done(&mut self, op: ProposalId, appended: bool, reply: Blob) {
        self.outs.push(Output::Done { op, appended, reply: reply.into_vec() });
    }
}
