//! The replicated log of one replica, the state that its entries add up to, and the three watermarks in it:
//! `committed <= synced <= last`.
//!
//! Entries are applied as they are appended. What an entry answers its proposer is kept until the entry is
//! committed, since only then may it be told.

use crate::types::{Apply, Change, State, Stored};
use sha2::{Digest, Sha256};
use std::collections::{BTreeMap, VecDeque};
use wire::{LogEntry, ProposalId};

/// Committed entries are dropped from memory and disk while the log holds more bytes than this.
const MAX_COMMITTED_BYTES: usize = 4 * 1024 * 1024;

/// Watermarks of a replica's log, each a sequence number of an entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Positions {
    /// The newest entry, which may not be on this replica's disk yet.
    pub last: u64,
    /// The newest entry on this replica's disk.
    pub synced: u64,
    /// The newest entry known here to be committed since this process started.
    pub committed: u64,
}

/// What an entry answers its proposer once it is committed.
#[derive(Clone, Hash)]
pub struct PendingReply {
    /// The proposal that became the entry.
    pub proposal: ProposalId,
    /// The reply, as the state machine encoded it.
    pub reply: Vec<u8>,
}

/// The state after a synced entry that is not yet known to be committed.
#[derive(Clone)]
struct SyncedState {
    seq: u64,
    state: State,
}

/// Entries, the state after them, and the watermarks.
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
    /// How far the log was ever known to be committed, by this process or one before it. Such entries are part
    /// of every later history.
    known_committed: u64,
    pending_replies: BTreeMap<u64, PendingReply>,
}

impl ReplicaLog {
    /// The log as it was read from disk. Nothing in it is known to be committed in the present view.
    pub fn new(stored: &Stored, apply: Apply, max_entries: usize) -> Self {
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

    /// The state after the newest entry.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// The state after the newest entry that is on this replica's disk.
    pub fn synced_state(&self) -> &State {
        &self.synced_state
    }

    /// The state after the newest entry that is known to be committed: nothing in it can be lost.
    pub fn committed_state(&self) -> &State {
        &self.committed_state
    }

    /// The entries that are still in the log, oldest first.
    pub fn entries(&self) -> impl Iterator<Item = &LogEntry> {
        self.entries.iter()
    }

    /// The watermarks.
    pub fn positions(&self) -> Positions {
        self.positions
    }

    /// How far the log was ever known to be committed.
    pub fn known_committed(&self) -> u64 {
        self.known_committed
    }

    /// The sequence number of the oldest entry in the log, or of the next one where the log is empty.
    pub fn oldest(&self) -> u64 {
        self.entries.front().map_or(self.positions.last + 1, |entry| entry.seq)
    }

    /// Entries below this sequence number are no longer in the log; 0 where the log is empty.
    pub fn trimmed_below(&self) -> u64 {
        self.entries.front().map_or(0, |entry| entry.seq)
    }

    /// The entries after a sequence number, unless the log no longer reaches back so far.
    pub fn entries_after(&self, seq: u64) -> Option<impl Iterator<Item = &LogEntry>> {
        (self.oldest() <= seq + 1).then(|| self.entries.iter().filter(move |entry| entry.seq > seq))
    }

    /// Synced entries after a sequence number, no more than so many and not many more bytes than so many.
    pub fn synced_batch_after(&self, seq: u64, max_entries: usize, max_bytes: usize) -> Vec<LogEntry> {
        let skipped = (seq + 1).saturating_sub(self.trimmed_below()) as usize;
        let mut bytes = 0;
        let fits = |entry: &&LogEntry| {
            bytes += entry.body.len();
            entry.seq <= self.positions.synced && bytes <= max_bytes + entry.body.len()
        };
        self.entries.iter().skip(skipped).take(max_entries).take_while(fits).cloned().collect()
    }

    /// Appends and applies an entry, and returns what it changes in the state.
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

    /// Every replica of the chain has the entries that are committed; how many more of them are retained serves
    /// replicas that return.
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

    /// Moves the synced watermark to an entry, with the state after it.
    pub fn mark_synced(&mut self, seq: u64, state: State) {
        self.positions.synced = seq;
        self.synced_states.push_back(SyncedState { seq, state: state.clone() });
        self.synced_state = state;
    }

    /// Moves the committed watermark, and returns what may be replied now; nothing if it stands there already.
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

    /// Forgets replies to entries that another replica answers.
    pub fn clear_pending_replies(&mut self) {
        self.pending_replies.clear();
    }

    /// Puts a snapshot in place of everything. It becomes synced by [`ReplicaLog::mark_synced`].
    pub fn install_snapshot(&mut self, state: State, seq: u64) {
        self.state = state;
        self.entries.clear();
        self.entry_bytes = 0;
        self.pending_replies.clear();
        self.positions.last = seq;
        self.positions.committed = 0;
    }

    /// After a snapshot is on disk, no state from before it can be the committed one.
    pub fn forget_states_before_snapshot(&mut self) {
        let seq = self.positions.synced;
        self.synced_states = [SyncedState { seq, state: self.synced_state.clone() }].into();
    }

    /// States after synced entries that are not yet known to be committed, by sequence number.
    pub(crate) fn synced_states(&self) -> impl Iterator<Item = (u64, &State)> {
        self.synced_states.iter().map(|synced| (synced.seq, &synced.state))
    }

    pub(crate) fn pending_replies(&self) -> &BTreeMap<u64, PendingReply> {
        &self.pending_replies
    }
}

/// A checksum over entries, by which two replicas find out whether their logs agree.
pub fn entries_checksum<'a>(entries: impl Iterator<Item = &'a LogEntry>) -> u64 {
    let mut hasher = Sha256::new();
    entries.for_each(|entry| hasher.update(wire::to_bytes(entry)));
    hasher.finalize().first_chunk::<8>().map_or(0, |bytes| u64::from_le_bytes(*bytes))
}
