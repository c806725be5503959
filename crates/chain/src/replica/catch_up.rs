//! Bringing a replica up to the others: by the entries it missed, or by a snapshot of the state.
//!
//! What was once known to be committed is part of every later history, and a replica has that watermark on its
//! disk. If its log reaches back that far, and what follows in it is entry for entry what the source holds, then
//! its log is a prefix of the source's, and the entries it missed are all it needs.

use super::ChainReplica;
use crate::log::entries_checksum;
use crate::snapshot::{Chunk, Download, SnapshotSource};
use crate::types::{Batch, Change, Output};
use wire::{ChainMessage, KeyValue, LogEntry, NodeId};

/// Where the missed entries take more bytes than this, a snapshot is sent instead.
const MAX_MISSED_BYTES: usize = 2 * 1024 * 1024;
/// What an entry takes beside its body.
const ENTRY_OVERHEAD_BYTES: usize = 40;
/// Low bits of a snapshot's id that come from the clock; the view's number stands above them.
const SNAPSHOT_ID_CLOCK_BITS: u32 = 32;

impl ChainReplica {
    pub(super) fn handle_snapshot_offer(&mut self, from: NodeId, view: u64) {
        let is_from_former_tail = view < self.meta.view.number;
        let is_from_predecessor = self.predecessor() == Some(from) && view == self.meta.view.number;
        let is_catching_up = self.catch_up.download.is_some();
        if is_catching_up || is_from_former_tail || (self.is_in_chain() && !is_from_predecessor) {
            return;
        }
        self.catch_up.download = Some(Download::new(from, self.clock.now));
        let request = self.first_catch_up_request();
        self.send(from, request);
    }

    /// A joiner is served by the tail alone, and gets no answer from a replica that is the tail no longer.
    pub(super) fn abandon_download_from_former_tail(&mut self) {
        let tail = self.meta.view.tail();
        let is_from_former_tail = self.catch_up.download.as_ref().is_some_and(|it| Some(it.source) != tail);
        if is_from_former_tail && !self.writes.is_completing_catch_up() && !self.is_in_chain() {
            self.catch_up.abandon_download();
            self.catch_up.requested_at = std::time::Duration::ZERO;
        }
    }

    /// Requests the entries it missed or, where it can prove nothing about its log, a snapshot.
    pub(super) fn first_catch_up_request(&self) -> ChainMessage {
        let since = self.log.known_committed();
        let last = self.log.positions().last;
        match self.log.entries_after(since) {
            Some(entries) => ChainMessage::MissedEntriesRequest { since, last, checksum: entries_checksum(entries) },
            None => ChainMessage::SnapshotRequest { snapshot_id: 0, chunk: 0 },
        }
    }

    /// The successor is served by its predecessor, a joiner by the tail.
    fn may_serve(&self, joiner: NodeId) -> bool {
        self.successor() == Some(joiner) || self.is_current_tail()
    }

    fn start_serving(&mut self, joiner: NodeId) -> u64 {
        let clock_mask = (1 << SNAPSHOT_ID_CLOCK_BITS) - 1;
        let now = self.clock.now;
        let id = (self.meta.view.number << SNAPSHOT_ID_CLOCK_BITS) | (now.as_millis() as u64 & clock_mask);
        let (state, seq) = (self.log.synced_state().clone(), self.log.positions().synced);
        self.catch_up.source = Some(SnapshotSource::new(id, joiner, state, seq, now));
        id
    }

    /// Serves a chunk; snapshot 0 asks for a new snapshot.
    pub(super) fn handle_snapshot_request(&mut self, from: NodeId, snapshot_id: u64, chunk: u32) {
        if snapshot_id == 0 {
            if !self.may_serve(from) {
                return;
            }
            self.start_serving(from);
        }
        let Some(source) = self.catch_up.source.as_mut() else { return };
        if source.joiner != from || (snapshot_id != 0 && source.id != snapshot_id) {
            return;
        }
        source.requested_at = self.clock.now;
        let (snapshot_id, seq) = (source.id, source.seq);
        let Some(Chunk { pairs, is_last }) = source.chunk(chunk) else { return };
        let (last, pairs) = (is_last as u8, pairs.into());
        self.send(from, ChainMessage::SnapshotChunk { snapshot_id, chunk, last, seq, pairs });
    }

    pub(super) fn handle_missed_entries_request(&mut self, from: NodeId, since: u64, last: u64, checksum: u64) {
        if !self.may_serve(from) {
            return;
        }
        let Some(missed) = self.missed_entries(since, last, checksum) else {
            return self.handle_snapshot_request(from, 0, 0);
        };
        let snapshot_id = self.start_serving(from);
        self.send(from, ChainMessage::MissedEntries { snapshot_id, entries: missed.into() });
    }

    /// The synced entries after `last`, if a log with these entries after `since` is a prefix of the one here and
    /// they are not too many.
    fn missed_entries(&self, since: u64, last: u64, checksum: u64) -> Option<Vec<LogEntry>> {
        let synced = self.log.positions().synced;
        if last > synced {
            return None;
        }
        let same_range = self.log.entries_after(since)?.take_while(|entry| entry.seq <= last);
        if entries_checksum(same_range) != checksum {
            return None;
        }
        let missed = self.log.entries_after(last)?.take_while(|entry| entry.seq <= synced);
        let missed: Vec<LogEntry> = missed.cloned().collect();
        let bytes: usize = missed.iter().map(|entry| entry.body.len() + ENTRY_OVERHEAD_BYTES).sum();
        (bytes <= MAX_MISSED_BYTES).then_some(missed)
    }

    pub(super) fn handle_missed_entries(&mut self, from: NodeId, snapshot_id: u64, entries: Vec<LogEntry>) {
        let next = self.log.positions().last + 1;
        let Some(download) = self.catch_up.download.as_mut() else { return };
        let has_gap = entries.first().is_some_and(|entry| entry.seq != next);
        if download.source != from || download.snapshot_id != 0 || has_gap {
            return;
        }
        download.snapshot_id = snapshot_id;
        download.record_progress(self.clock.now);
        let count = entries.len();
        entries.into_iter().for_each(|entry| self.append(entry));
        self.log.clear_pending_replies();
        self.writes.complete_catch_up();
        self.write_meta(Vec::new());
        self.outputs.push(Output::CaughtUp { missed_entries: Some(count) });
    }

    pub(super) fn handle_snapshot_chunk(
        &mut self,
        from: NodeId,
        snapshot_id: u64,
        chunk: u32,
        is_last: bool,
        seq: u64,
        pairs: Vec<KeyValue>,
    ) {
        let Some(download) = self.catch_up.download.as_mut() else { return };
        if !download.receive(from, snapshot_id, chunk, seq, pairs) {
            return;
        }
        download.record_progress(self.clock.now);
        if is_last {
            self.install_snapshot();
        } else {
            let chunk = download.next_chunk;
            self.send(from, ChainMessage::SnapshotRequest { snapshot_id, chunk });
        }
    }

    fn install_snapshot(&mut self) {
        let Some(download) = self.catch_up.download.as_mut() else { return };
        let (seq, pairs) = (download.seq, std::mem::take(&mut download.pairs));
        self.log.install_snapshot(pairs.iter().cloned().collect(), seq);
        self.writes.replace_all(Batch {
            replace: true,
            changes: pairs.into_iter().map(|(key, value)| Change { key, value: Some(value) }).collect(),
            trim_below: seq + 1,
            last: seq,
            meta: Some(self.meta.clone()),
            ..Batch::default()
        });
        self.outputs.push(Output::CaughtUp { missed_entries: None });
    }
}
