//! Copying the state to a member that has been away or comes up empty: it pulls a snapshot
//! piece by piece, writes it in one go, and only then is added to the chain by a view of its own.

use crate::member::Member;
use crate::types::{Batch, State, Value};
use std::time::Duration;
use wire::{ChainMessage, KeyValue, NodeAddress, NodeId};

const PIECE_BYTES: usize = 512 * 1024;
const PIECE_PAIRS: usize = 4096;
pub(crate) const RETRY: Duration = Duration::from_millis(500);
const PATIENCE: Duration = Duration::from_secs(5);

#[derive(Clone)]
pub struct Source {
    pub number: u64,
    pub joiner: NodeId,
    pub state: State,
    pub seq: u64,
    pub starts: Vec<String>,
    pub requested_at: Duration,
}

#[derive(Clone)]
pub struct Copying {
    pub from: NodeId,
    pub copy: u64,
    pub piece: u32,
    pub seq: u64,
    pub pairs: Vec<(String, Value)>,
    pub requested_at: Duration,
    pub moved: Duration,
}

impl Member {
    pub(crate) fn seek_to_join(&mut self) {
        let now = self.now;
        if let Some(copying) = &mut self.copying {
            if now > copying.moved + PATIENCE && !self.installs && self.writing.as_ref().is_none_or(|w| !w.installs) {
                self.copying = None;
            } else if now > copying.requested_at + RETRY {
                copying.requested_at = now;
                let (from, copy, piece) = (copying.from, copying.copy, copying.piece);
                let request =
                    if copy == 0 { self.first_request() } else { ChainMessage::SnapshotRequest { copy, piece } };
                self.send(from, request);
            }
            return;
        }
        if self.is_chained() {
            self.seeking = None;
        }
        let held_up = self.faulted || self.is_leaving() || self.misses_a_member();
        if self.is_chained() || held_up || now < self.requested_at + RETRY {
            return;
        }
        self.requested_at = now;
        let waited = (now - *self.seeking.get_or_insert(now)).as_millis() as u64;
        let message = ChainMessage::JoinRequest { node: self.meta.node.clone(), ready: 0, seq: waited };
        if self.meta.view.number == 0 {
            self.outs.push(crate::Output::SendSeeds { message });
        } else {
            self.send_voters(message);
        }
    }

    pub(crate) fn on_join_ask(&mut self, node: NodeAddress, ready: bool, copy: u64) {
        self.note_newcomer(node.id, Duration::from_millis(if ready { 0 } else { copy }));
        let view = self.meta.view.clone();
        if !self.is_current_tail() && self.is_chained() && !view.chain.as_slice().contains(&node.id) {
            return self.send(node.id, ChainMessage::Decided { view });
        }
        if !self.is_current_tail() || view.chain.as_slice().contains(&node.id) || !self.may_return(node.id) {
            return;
        }
        if (self.joins_wait && self.keeps_copies()) || self.is_bringing_in_other(node.id) || !self.has_seat_for(&node) {
            return;
        }
        if !ready {
            return self.send(node.id, ChainMessage::SnapshotOffer { view: view.number });
        }
        let served = self.source.as_ref().is_some_and(|source| source.number == copy && source.joiner == node.id);
        if served
            && view.learner == 0
            && self.proposal.is_none()
            && self.now >= self.propose_after
            && let Some(next) = self.with_joiner(node)
        {
            self.propose(next);
        }
    }

    pub(crate) fn on_take_copy(&mut self, from: NodeId, view: u64) {
        let offered_by_former_tail = view < self.meta.view.number;
        if self.copying.is_some()
            || offered_by_former_tail
            || (self.is_chained() && (self.predecessor() != Some(from) || view != self.meta.view.number))
        {
            return;
        }
        self.copying = Some(Copying {
            from,
            copy: 0,
            piece: 0,
            seq: 0,
            pairs: Vec::new(),
            requested_at: self.now,
            moved: self.now,
        });
        let request = self.first_request();
        self.send(from, request);
    }

    /// A joiner is served by the tail alone, and gets no answer from a member that is the tail no longer.
    pub(crate) fn drop_copy_of_former_tail(&mut self) {
        let tail = self.meta.view.chain.as_slice().last().copied();
        let is_waiting = self.copying.as_ref().is_some_and(|copying| Some(copying.from) != tail);
        let is_installing = self.installs || self.writing.as_ref().is_some_and(|writing| writing.installs);
        if is_waiting && !is_installing && !self.is_chained() {
            self.copying = None;
            self.requested_at = Duration::ZERO;
        }
    }

    /// The next in the chain is served by the one before it, a joiner by the tail.
    pub(crate) fn may_serve(&self, joiner: NodeId) -> bool {
        self.successor() == Some(joiner) || self.is_current_tail()
    }

    pub(crate) fn copy_number(&self) -> u64 {
        (self.meta.view.number << 32) | (self.now.as_millis() as u64 & 0xffff_ffff)
    }

    pub(crate) fn on_copy_ask(&mut self, from: NodeId, copy: u64, piece: u32) {
        if copy == 0 {
            if !self.may_serve(from) {
                return;
            }
            let number = self.copy_number();
            self.source = Some(Source {
                number,
                joiner: from,
                state: self.synced_state.clone(),
                seq: self.synced,
                starts: vec![String::new()],
                requested_at: self.now,
            });
        }
        let Some(source) = self.source.as_mut() else { return };
        if source.joiner != from || (copy != 0 && source.number != copy) {
            return;
        }
        source.requested_at = self.now;
        let Some(start) = source.starts.get(piece as usize).cloned() else { return };
        let mut bytes = 0;
        let mut pairs = Vec::new();
        let mut follow = None;
        for (key, value) in source.state.range(start..) {
            if pairs.len() >= PIECE_PAIRS || bytes > PIECE_BYTES {
                follow = Some(key.clone());
                break;
            }
            bytes += key.len() + value.len();
            pairs.push(KeyValue { key: key.as_str().into(), value: value.to_vec().into() });
        }
        let last = follow.is_none() as u8;
        if let Some(key) = follow
            && source.starts.len() == piece as usize + 1
        {
            source.starts.push(key);
        }
        let (copy, seq) = (source.number, source.seq);
        self.send(from, ChainMessage::SnapshotChunk { copy, piece, last, seq, pairs: pairs.into() });
    }

    pub(crate) fn on_copy_piece(
        &mut self,
        from: NodeId,
        copy: u64,
        piece: u32,
        last: bool,
        seq: u64,
        pairs: Vec<KeyValue>,
    ) {
        let now = self.now;
        let Some(copying) = self.copying.as_mut() else { return };
        if copying.from != from || copying.piece != piece || (copying.copy != 0 && copying.copy != copy) {
            return;
        }
        copying.copy = copy;
        copying.seq = seq;
        copying.piece += 1;
        copying.requested_at = now;
        copying.moved = now;
        copying.pairs.extend(pairs.into_iter().map(|p| (p.key.as_str().to_owned(), p.value.into_vec().into())));
        if !last {
            let piece = copying.piece;
            return self.send(from, ChainMessage::SnapshotRequest { copy, piece });
        }
        let pairs = std::mem::take(&mut copying.pairs);
        self.state = pairs.iter().cloned().collect();
        self.log.clear();
        self.log_bytes = 0;
        self.pending_replies.clear();
        self.last = seq;
        self.committed = 0;
        self.next = Batch {
            replace: true,
            pairs: pairs.into_iter().map(|(key, value)| (key, Some(value))).collect(),
            trim_below: seq + 1,
            last: seq,
            meta: Some(self.meta.clone()),
            ..Batch::default()
        };
        self.installs = true;
        self.dirty = true;
        self.outs.push(crate::Output::Installed { missed: None });
    }

    pub(crate) fn installed(&mut self) {
        let Some(copying) = self.copying.take() else { return };
        self.snapshots = [(self.synced, self.synced_state.clone())].into();
        if self.is_chained() {
            self.enter_line();
        } else if !self.is_leaving() {
            let node = self.meta.node.clone();
            self.requested_at = self.now;
            self.send(copying.from, ChainMessage::JoinRequest { node, ready: 1, seq: copying.copy });
        }
    }

    pub(crate) fn finish_joining(&mut self) {
        let view = &self.meta.view;
        if view.learner != self.meta.node.id
            || view.learner == 0
            || self.proposal.is_some()
            || self.now < self.propose_after
        {
            return;
        }
        if self.is_current_tail() {
            let mut next = view.clone();
            next.number += 1;
            next.learner = 0;
            self.propose(next);
        }
    }
}
