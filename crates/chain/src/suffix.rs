//! Bringing back a member that was away for a while without a whole snapshot. What was once known
//! to be committed is part of every later history; it is kept on disk with each write. If the member's
//! log reaches back that far, and what follows in it is entry for entry what the source holds, then
//! its log is a prefix of the source's, and the entries it missed are all it needs. Otherwise it copies
//! a snapshot as before.

use crate::copy::Source;
use crate::member::Member;
use crate::types::Output;
use sha2::{Digest, Sha256};
use wire::{ChainMessage, LogEntry, NodeId};

const MOST_BYTES: usize = 2 * 1024 * 1024;
const LOG_BYTES: usize = 4 * 1024 * 1024;

fn digest<'a>(entries: impl Iterator<Item = &'a LogEntry>) -> u64 {
    let mut hasher = Sha256::new();
    entries.for_each(|entry| hasher.update(wire::to_bytes(entry)));
    hasher.finalize().first_chunk::<8>().map_or(0, |bytes| u64::from_le_bytes(*bytes))
}

impl Member {
    fn log_after(&self, seq: u64) -> Option<impl Iterator<Item = &LogEntry>> {
        let oldest = self.log.front().map_or(self.last + 1, |entry| entry.seq);
        (oldest <= seq + 1).then(|| self.log.iter().filter(move |entry| entry.seq > seq))
    }

    /// What is committed every member of the chain has; how much more is kept serves those that return.
    pub(crate) fn trim_log(&mut self) {
        while self.log.len() > self.timing.log_kept
            || (self.log_bytes > LOG_BYTES && self.log.front().is_some_and(|entry| entry.seq <= self.committed))
        {
            let Some(entry) = self.log.pop_front() else { return };
            self.log_bytes -= entry.body.len();
        }
    }

    /// What the member asks the source for: the entries it missed, or, where it can prove nothing, all.
    pub(crate) fn first_request(&self) -> ChainMessage {
        let since = self.known_committed;
        match self.log_after(since) {
            Some(entries) => ChainMessage::MissedEntriesRequest { since, last: self.last, digest: digest(entries) },
            None => ChainMessage::SnapshotRequest { copy: 0, piece: 0 },
        }
    }

    pub(crate) fn on_suffix_ask(&mut self, from: NodeId, since: u64, last: u64, theirs: u64) {
        if !self.may_serve(from) {
            return;
        }
        let same = last <= self.synced
            && self.log_after(since).is_some_and(|mine| digest(mine.take_while(|e| e.seq <= last)) == theirs);
        let synced = self.synced;
        let missed: Option<Vec<LogEntry>> = self
            .log_after(last)
            .filter(|_| same)
            .map(|entries| entries.take_while(|entry| entry.seq <= synced).cloned().collect());
        let Some(missed) = missed else { return self.on_copy_ask(from, 0, 0) };
        if missed.iter().map(|entry| entry.body.as_slice().len() + 40).sum::<usize>() > MOST_BYTES {
            return self.on_copy_ask(from, 0, 0);
        }
        let copy = self.copy_number();
        let (state, starts) = (self.synced_state.clone(), vec![String::new()]);
        self.source = Some(Source { number: copy, joiner: from, state, seq: synced, starts, requested_at: self.now });
        self.send(from, ChainMessage::MissedEntries { copy, entries: missed.into() });
    }

    pub(crate) fn on_suffix(&mut self, from: NodeId, copy: u64, entries: Vec<LogEntry>) {
        let now = self.now;
        let next = self.last + 1;
        let Some(copying) = self.copying.as_mut() else { return };
        if copying.from != from || copying.copy != 0 || entries.first().is_some_and(|entry| entry.seq != next) {
            return;
        }
        (copying.copy, copying.requested_at, copying.moved) = (copy, now, now);
        let count = entries.len();
        entries.into_iter().for_each(|entry| self.take(entry));
        self.pending_replies.clear();
        self.installs = true;
        self.keep_meta(Vec::new());
        self.outs.push(Output::Installed { missed: Some(count) });
    }
}
