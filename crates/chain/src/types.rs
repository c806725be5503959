//! The inputs a replica takes, the outputs it returns, and the records it keeps on disk.

use std::sync::Arc;
use std::time::Duration;
use wire::{ChainMessage, LogEntry, NodeAddress, NodeId, ProposalId, View};

/// A stored value; copies share their bytes.
pub type Value = Arc<[u8]>;
/// The replicated state, by key.
pub type State = im::OrdMap<String, Value>;

/// One change of the state.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Change {
    /// The key that is changed.
    pub key: String,
    /// The new value; none removes the key.
    pub value: Option<Value>,
}

impl Change {
    /// Sets a key to a value.
    pub fn put(key: impl Into<String>, value: impl Into<Value>) -> Self {
        Change { key: key.into(), value: Some(value.into()) }
    }

    /// Removes a key.
    pub fn remove(key: impl Into<String>) -> Self {
        Change { key: key.into(), value: None }
    }

    /// Makes the change in a state.
    pub fn apply_to(&self, state: &mut State) {
        match &self.value {
            Some(value) => state.insert(self.key.clone(), value.clone()),
            None => state.remove(&self.key),
        };
    }
}

/// What an entry does.
pub struct Effect {
    /// Its changes of the state, in order.
    pub changes: Vec<Change>,
    /// What its proposer is answered once it is committed.
    pub reply: Vec<u8>,
}

/// The state machine that is replicated: what an entry with this sequence number and body does to a state. It
/// must depend on nothing else.
pub type Apply = fn(&State, u64, &[u8]) -> Effect;

/// Periods and bounds of a replica.
#[derive(Clone, Debug)]
pub struct Timing {
    /// How often voters send each other heartbeats.
    pub heartbeat: Duration,
    /// A voter is suspected after so long a silence.
    pub suspect_after: Duration,
    /// A disk is unhealthy when a write takes longer than this.
    pub stall_after: Duration,
    /// What is not acknowledged is sent again after this.
    pub resend_after: Duration,
    /// The log holds at most so many entries.
    pub max_log_entries: usize,
}

impl Default for Timing {
    fn default() -> Self {
        Timing {
            heartbeat: Duration::from_millis(100),
            suspect_after: Duration::from_millis(900),
            stall_after: Duration::from_millis(1500),
            resend_after: Duration::from_millis(300),
            max_log_entries: 8192,
        }
    }
}

/// A replica's identity, its view, and its votes on the next.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Meta {
    /// Its id and address.
    pub node: NodeAddress,
    /// The newest view it adopted.
    pub view: View,
    /// It accepts no proposal with a number below this.
    pub promised: u64,
    /// The number of the proposal it accepted, 0 for none.
    pub accepted_number: u64,
    /// The view it accepted.
    pub accepted: View,
}

/// One write to disk: all of it takes effect, or nothing.
#[derive(Clone, Debug, Default)]
pub struct Batch {
    /// Whether what was there is removed first.
    pub replace: bool,
    /// Changes of the state.
    pub changes: Vec<Change>,
    /// Entries to be added to the log.
    pub entries: Vec<LogEntry>,
    /// Entries below this leave the log.
    pub trim_below: u64,
    /// The newest entry.
    pub last: u64,
    /// How far the log was known to be committed: part of every history after.
    pub known_committed: u64,
    /// Identity, view and votes, where they changed.
    pub meta: Option<Meta>,
}

/// What a disk holds.
#[derive(Clone, Debug, Default)]
pub struct Stored {
    /// Identity, view and votes.
    pub meta: Meta,
    /// The state after the newest entry.
    pub state: State,
    /// The entries that are still in the log.
    pub entries: Vec<LogEntry>,
    /// The newest entry.
    pub last: u64,
    /// How far the log was known to be committed.
    pub known_committed: u64,
}

impl Stored {
    /// What a synced write does to it.
    pub fn apply(&mut self, batch: &Batch) {
        if batch.replace {
            self.state = State::new();
            self.entries.clear();
        }
        for change in &batch.changes {
            change.apply_to(&mut self.state);
        }
        self.entries.extend(batch.entries.iter().cloned());
        self.entries.retain(|entry| entry.seq >= batch.trim_below);
        self.last = batch.last;
        self.known_committed = batch.known_committed;
        if let Some(meta) = &batch.meta {
            self.meta = meta.clone();
        }
    }
}

/// What a replica takes in.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time went on.
    Tick,
    /// A message of another registry arrived.
    Message {
        /// Its sender.
        from: NodeId,
        /// The message.
        message: ChainMessage,
    },
    /// A write is synced.
    Written {
        /// The write.
        ticket: u64,
    },
    /// The disk refused a write.
    DiskError,
    /// The disk takes writes again and holds this: the replica starts again from it.
    DiskRecovered {
        /// What it holds.
        stored: Stored,
    },
    /// A command is to be appended.
    Propose {
        /// Names the proposal.
        op: ProposalId,
        /// The command.
        body: Vec<u8>,
    },
    /// A round that was requested is to be started.
    Confirm,
    /// The process is to stop for good or for a while, as planned, and ends after this time at the latest.
    Leave {
        /// How long it can wait until the others can do without it.
        within: Duration,
    },
}

/// What a replica wants done.
#[derive(Clone, Debug)]
pub enum Output {
    /// Send a message to a registry.
    Send {
        /// The registry.
        to: NodeId,
        /// The message.
        message: ChainMessage,
    },
    /// Send a message to all seeds.
    SendSeeds {
        /// The message.
        message: ChainMessage,
    },
    /// Write to disk and report [`Input::Written`] once it is synced.
    Write {
        /// Names the write.
        ticket: u64,
        /// What is to be written.
        batch: Batch,
    },
    /// A proposal of this registry was committed, or was not appended.
    ProposalDone {
        /// The proposal.
        op: ProposalId,
        /// Whether it was appended; it never takes effect if not.
        appended: bool,
        /// The reply to it, empty if it was not appended.
        reply: Vec<u8>,
    },
    /// The log is committed up to here.
    Committed {
        /// The sequence number.
        seq: u64,
    },
    /// A majority confirmed that no newer view has begun since the round was started, and what was appended
    /// before is committed.
    Confirmed {
        /// The round.
        round: u64,
    },
    /// Another view stands.
    ViewAdopted {
        /// The view.
        view: View,
    },
    /// Another registry reported, while this one is empty, which view stands: its voters can be asked to join.
    ViewLearned {
        /// The view.
        view: View,
    },
    /// This replica caught up with the others.
    CaughtUp {
        /// By so many entries that it missed; none for a whole snapshot.
        missed_entries: Option<usize>,
    },
}
