//! Inputs and outputs of a replica, and the records that it keeps on disk.

use std::sync::Arc;
use std::time::Duration;
use wire::{ChainMessage, LogEntry, NodeAddress, NodeId, ProposalId, View};

/// A stored value; clones share the bytes.
pub type Value = Arc<[u8]>;
/// The replicated state: values by key.
pub type State = im::OrdMap<String, Value>;

/// A change of one key of the state.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Change {
    /// Key that is changed.
    pub key: String,
    /// New value; `None` removes the key.
    pub value: Option<Value>,
}

impl Change {
    /// Returns a change that sets a key to a value.
    pub fn put(key: impl Into<String>, value: impl Into<Value>) -> Self {
        Change { key: key.into(), value: Some(value.into()) }
    }

    /// Returns a change that removes a key.
    pub fn remove(key: impl Into<String>) -> Self {
        Change { key: key.into(), value: None }
    }

    /// Applies the change to a state.
    pub fn apply_to(&self, state: &mut State) {
        match &self.value {
            Some(value) => state.insert(self.key.clone(), value.clone()),
            None => state.remove(&self.key),
        };
    }
}

/// Result of applying a log entry.
pub struct Effect {
    /// Changes of the state, in order.
    pub changes: Vec<Change>,
    /// Reply sent to the proposer once the entry is committed.
    pub reply: Vec<u8>,
}

/// Transition function of the replicated state machine: computes the effect of an entry from the state, the entry's
/// sequence number and its body. The result must depend on nothing else.
pub type Apply = fn(&State, u64, &[u8]) -> Effect;

/// Intervals, timeouts and limits of a replica.
#[derive(Clone, Debug)]
pub struct Timing {
    /// Interval between heartbeats.
    pub heartbeat: Duration,
    /// Time without an answer after which a voter is suspected to have failed.
    pub suspect_after: Duration,
    /// Duration of a disk write beyond which the disk counts as unhealthy.
    pub stall_after: Duration,
    /// Time after which unacknowledged entries are sent again.
    pub resend_after: Duration,
    /// Maximum number of entries in the log.
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

/// Identity of a replica, its current view, and its votes on the next view.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Meta {
    /// Id and address of the replica.
    pub node: NodeAddress,
    /// Newest view that the replica adopted.
    pub view: View,
    /// Lowest proposal number that the replica may still accept.
    pub promised: u64,
    /// Number of the accepted proposal, 0 for none.
    pub accepted_number: u64,
    /// View of the accepted proposal.
    pub accepted: View,
}

/// An atomic write to disk.
#[derive(Clone, Debug, Default)]
pub struct Batch {
    /// Whether the stored state and log are deleted first.
    pub replace: bool,
    /// Changes of the state, in order.
    pub changes: Vec<Change>,
    /// Entries to append to the log.
    pub entries: Vec<LogEntry>,
    /// Entries below this sequence number are removed from the log.
    pub trim_below: u64,
    /// Sequence number of the newest entry.
    pub last: u64,
    /// Highest sequence number known to be committed; every later log contains the entries up to it.
    pub known_committed: u64,
    /// Identity, view and votes, if they changed.
    pub meta: Option<Meta>,
}

/// Contents of a replica's disk.
#[derive(Clone, Debug, Default)]
pub struct StoredReplica {
    /// Identity, view and votes.
    pub meta: Meta,
    /// State after the newest entry.
    pub state: State,
    /// Entries that are still in the log.
    pub entries: Vec<LogEntry>,
    /// Sequence number of the newest entry.
    pub last: u64,
    /// Highest sequence number known to be committed.
    pub known_committed: u64,
}

impl StoredReplica {
    /// Applies a synced write.
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

/// Event that a replica handles.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// A message from another registry arrived.
    Message {
        /// Sender of the message.
        from: NodeId,
        /// The message.
        message: ChainMessage,
    },
    /// A write is synced to disk.
    Written {
        /// Ticket of the write.
        ticket: u64,
    },
    /// A write to disk failed.
    DiskError,
    /// The disk accepts writes again; the replica restarts from its contents.
    DiskRecovered {
        /// Contents of the disk.
        stored: StoredReplica,
    },
    /// Append a command to the log.
    Propose {
        /// Id of the proposal.
        op: ProposalId,
        /// The command.
        body: Vec<u8>,
    },
    /// Start the confirmation round that was requested.
    Confirm,
    /// Prepare for a planned stop of the process, temporary or permanent.
    Leave {
        /// Time after which the process ends, even if the other replicas still need this one.
        within: Duration,
    },
}

/// Action that a replica requests from its driver.
#[derive(Clone, Debug)]
pub enum Output {
    /// Send a message to a registry.
    Send {
        /// Registry that receives the message.
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
        /// Number that [`Input::Written`] repeats.
        ticket: u64,
        /// Batch to write.
        batch: Batch,
    },
    /// A proposal of this registry was committed, or refused without being appended.
    ProposalDone {
        /// The proposal.
        op: ProposalId,
        /// Whether the proposal was appended; if not, it never takes effect.
        appended: bool,
        /// Reply to the proposal, empty if it was not appended.
        reply: Vec<u8>,
    },
    /// The log is committed up to an entry.
    Committed {
        /// Sequence number of the entry.
        seq: u64,
    },
    /// A majority confirmed that no newer view had begun when the round was started, and all entries appended
    /// before the confirmation are committed.
    Confirmed {
        /// Number of the round.
        round: u64,
    },
    /// The replica adopted a new view.
    ViewAdopted {
        /// The new view.
        view: View,
    },
    /// This replica is empty and another registry reported its view, whose voters can be asked for admission.
    ViewLearned {
        /// The reported view.
        view: View,
    },
    /// This replica received the data that it was missing from another replica.
    CaughtUp {
        /// Number of missed entries received; `None` if a snapshot was received instead.
        missed_entries: Option<usize>,
    },
}
