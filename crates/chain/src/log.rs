//! The replicated log of one replica, the state that results from its entries, and its three watermarks:
//! `committed <= synced <= last`.
//!
//! Entries are applied when they are appended. The reply to an entry's proposer is held back until the entry is
//! committed.

use crate::types::{Apply, Change, State, StoredReplica};
use sha2::{Digest, Sha256};
use std::collections::{BTreeMap, VecDeque};
use wire::{LogEntry, ProposalId};

/// Size of the log in bytes beyond which committed entries are dropped from memory and disk.
const MAX_COMMITTED_BYTES: usize = 4 * 1024 * 1024;

/// Watermarks of a replica's log, each the sequence number of an entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Positions {
    /// Newest entry, which may not be on this replica's disk yet.
    pub last: u64,
    /// Newest entry on this replica's disk.
    pub synced: u64,
    /// Newest entry that this replica has seen committed since the process started.
    pub committed: u64,
}

/// Reply to an entry's proposer, sent once the entry is committed.
#[derive(Clone, Hash)]
pub struct PendingReply {
    /// Proposal that became the entry.
    pub proposal: ProposalId,
    /// Reply as encoded by the state machine.
    pub reply: Vec<u8>,
}

/// State after a synced entry that is not yet known to be committed.
#[derive(Clone)]
struct SyncedState {
    seq: u64,
    state: State,
}

/// Log entries, the state after them, and the watermarks.
#[derive(Clone)]
pub struct ReplicaLog {
    apply: Apply,
    max_entries: usize,
    state: State,
    synced_state: State,
    committed_state: State,
    synced_states: VecDeque<SyncedState>,
    entries: VecDeque<LogEntry>,
    entry_bytes: usize,
    positions: Positions,
    /// Highest sequence number that this process or an earlier one knew to be committed. Every later log
    /// contains the entries up to it.
    known_committed: u64,
    pending_replies: BTreeMap<u64, PendingReply>,
}

impl ReplicaLog {
    /// Creates the log from the contents of the disk. None of it is known to be committed in the current view.
    pub fn new(stored: &StoredReplica, apply: Apply, max_entries: usize) -> Self {
        let state = stored.state.clone();
        ReplicaLog {
            apply,
            max_entries,
            synced_state: state.clone(),
            committed_state: State::new(),
            synced_states: [SyncedState { seq: stored.last, state: state.clone() }].into(),
            state,
            entry_bytes: stored.entries.iter().map(|entry| entry.body.len()).sum(),
            entries: stored.entries.iter().cloned().collect(),
            positions: Positions { last: stored.last, synced: stored.last, committed: 0 },
            known_committed: stored.known_committed,
            pending_replies: BTreeMap::new(),
        }
    }

    /// Returns the state after the newest entry.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Returns the state after the newest entry on this replica's disk.
    pub fn synced_state(&self) -> &State {
        &self.synced_state
    }

    /// Returns the state after the newest entry known to be committed; none of it can be lost.
    pub fn committed_state(&self) -> &State {
        &self.committed_state
    }

    /// Returns the entries that are still in the log, oldest first.
    pub fn entries(&self) -> impl Iterator<Item = &LogEntry> {
        self.entries.iter()
    }

    /// Returns the watermarks.
    pub fn positions(&self) -> Positions {
        self.positions
    }

    /// Returns the highest sequence number that was ever known to be committed.
    pub fn known_committed(&self) -> u64 {
        self.known_committed
    }

    /// Returns the sequence number of the oldest entry in the log, or of the next entry if the log is empty.
    pub fn oldest(&self) -> u64 {
        self.entries.front().map_or(self.positions.last + 1, |entry| entry.seq)
    }

    /// Returns the sequence number below which entries are no longer in the log; 0 if the log is empty.
    pub fn trimmed_below(&self) -> u64 {
        self.entries.front().map_or(0, |entry| entry.seq)
    }

    /// Returns the entries after a sequence number, or `None` if some of them were already trimmed.
    pub fn entries_after(&self, seq: u64) -> Option<impl Iterator<Item = &LogEntry>> {
        (self.oldest() <= seq + 1).then(|| self.entries.iter().filter(move |entry| entry.seq > seq))
    }

    /// Returns synced entries after a sequence number, at most `max_entries` of them. Their bodies may exceed
    /// `max_bytes` by no more than the last entry.
    pub fn synced_batch_after(&self, seq: u64, max_entries: usize, max_bytes: usize) -> Vec<LogEntry> {
        let skipped = (seq + 1).saturating_sub(self.trimmed_below()) as usize;
        let mut bytes = 0;
        let fits = |entry: &&LogEntry| {
            bytes += entry.body.len();
            entry.seq <= self.positions.synced && bytes <= max_bytes + entry.body.len()
        };
        self.entries.iter().skip(skipped).take(max_entries).take_while(fits).cloned().collect()
    }

    /// Appends and applies an entry, and returns its changes of the state.
    pub fn append(&mut self, entry: LogEntry) -> Vec<Change> {
        let effect = (self.apply)(&self.state, entry.seq, entry.body.as_slice());
        for change in &effect.changes {
            change.apply_to(&mut self.state);
        }
        self.positions.last = entry.seq;
        self.pending_replies.insert(entry.seq, PendingReply { proposal: entry.op, reply: effect.reply });
        self.entry_bytes += entry.body.len();
        self.entries.push_back(entry);
        self.trim();
        effect.changes
    }

    /// Removes old entries while the log is too large. Every replica in the chain already has the committed
    /// entries; retaining some of them lets returning replicas catch up without a snapshot.
    fn trim(&mut self) {
        let committed = self.positions.committed;
        while self.entries.len() > self.max_entries
            || (self.entry_bytes > MAX_COMMITTED_BYTES
                && self.entries.front().is_some_and(|entry| entry.seq <= committed))
        {
            let Some(entry) = self.entries.pop_front() else { return };
            self.entry_bytes -= entry.body.len();
        }
    }

    /// Moves the synced watermark to an entry and keeps the state after it.
    pub fn mark_synced(&mut self, seq: u64, state: State) {
        self.positions.synced = seq;
        self.synced_states.push_back(SyncedState { seq, state: state.clone() });
        self.synced_state = state;
    }

    /// Moves the committed watermark and returns the replies that may be sent now, or `None` if the watermark is
    /// already there.
    pub fn commit(&mut self, seq: u64) -> Option<Vec<PendingReply>> {
        if seq <= self.positions.committed {
            return None;
        }
        self.positions.committed = seq;
        self.known_committed = self.known_committed.max(seq);
        while let Some(synced) = self.synced_states.pop_front_if(|synced| synced.seq <= seq) {
            self.committed_state = synced.state;
        }
        let later = self.pending_replies.split_off(&(seq + 1));
        Some(std::mem::replace(&mut self.pending_replies, later).into_values().collect())
    }

    /// Discards replies to entries that another replica answers.
    pub fn clear_pending_replies(&mut self) {
        self.pending_replies.clear();
    }

    /// Replaces the state and all entries by a snapshot. [`ReplicaLog::mark_synced`] marks it as synced later.
    pub fn install_snapshot(&mut self, state: State, seq: u64) {
        self.state = state;
        self.entries.clear();
        self.entry_bytes = 0;
        self.pending_replies.clear();
        self.positions.last = seq;
        self.positions.committed = 0;
    }

    /// Discards states from before a snapshot that is now on disk, since none of them can become the committed
    /// state.
    pub fn forget_states_before_snapshot(&mut self) {
        let seq = self.positions.synced;
        self.synced_states = [SyncedState { seq, state: self.synced_state.clone() }].into();
    }

    /// Returns the states after synced entries that are not yet known to be committed, by sequence number.
    pub(crate) fn synced_states(&self) -> impl Iterator<Item = (u64, &State)> {
        self.synced_states.iter().map(|synced| (synced.seq, &synced.state))
    }

    pub(crate) fn pending_replies(&self) -> &BTreeMap<u64, PendingReply> {
        &self.pending_replies
    }
}

/// Returns a checksum over entries, with which two replicas compare their logs.
pub fn entries_checksum<'a>(entries: impl Iterator<Item = &'a LogEntry>) -> u64 {
    let mut hasher = Sha256::new();
    entries.for_each(|entry| hasher.update(wire::to_bytes(entry)));
    hasher.finalize().first_chunk::<8>().map_or(0, |bytes| u64::from_le_bytes(*bytes))
}
