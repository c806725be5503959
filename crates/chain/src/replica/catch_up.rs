//! Catch-up of a replica, with the entries it missed or with a snapshot of the state.
//!
//! Entries once known to be committed are part of every later log, and a replica keeps the watermark of these
//! entries on its disk. If its log reaches back to the watermark and all its later entries equal those of the
//! source, then its log is a prefix of the source's log, and the missed entries are all that it needs.

use super::ChainReplica;
use crate::log::entries_checksum;
use crate::snapshot::{Chunk, Download, SnapshotSource};
use crate::types::{Batch, Change, Output};
use wire::{ChainMessage, KeyValue, LogEntry, NodeId};

/// Size of the missed entries in bytes beyond which a snapshot is sent instead.
const MAX_MISSED_BYTES: usize = 2 * 1024 * 1024;
/// Encoded size of an entry without its body, in bytes.
const ENTRY_OVERHEAD_BYTES: usize = 40;
/// Number of low bits of a snapshot id taken from the clock; the bits above hold the view number.
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

    /// Abandons a download from a former tail: only the tail serves joiners, so a former tail does not answer.
    pub(super) fn abandon_download_from_former_tail(&mut self) {
        let tail = self.meta.view.tail();
        let is_from_former_tail = self.catch_up.download.as_ref().is_some_and(|it| Some(it.source) != tail);
        if is_from_former_tail && !self.writes.is_completing_catch_up() && !self.is_in_chain() {
            self.catch_up.abandon_download();
            self.catch_up.requested_at = std::time::Duration::ZERO;
        }
    }

    /// Returns a request for the missed entries or, if the log no longer reaches back to the known committed
    /// watermark, for a snapshot.
    pub(super) fn first_catch_up_request(&self) -> ChainMessage {
        let since = self.log.known_committed();
        let last = self.log.positions().last;
        match self.log.entries_after(since) {
            Some(entries) => ChainMessage::MissedEntriesRequest { since, last, checksum: entries_checksum(entries) },
            None => ChainMessage::SnapshotRequest { snapshot_id: 0, chunk: 0 },
        }
    }

    /// Returns whether this replica may serve another: a predecessor serves its successor, the tail serves joiners.
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

    /// Serves a chunk; a request with snapshot id 0 starts a new snapshot.
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

    /// Returns the synced entries after `last`, if they are not too large and if `checksum`, over the requester's
    /// entries after `since`, shows that its log is a prefix of the log here.
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
