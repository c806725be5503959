//! The inputs a chain member takes, the outputs it returns, and the records it keeps on disk.

use std::sync::Arc;
use std::time::Duration;
use wire::{ChainMessage, LogEntry, NodeAddress, NodeId, ProposalId, View};

pub type Value = Arc<[u8]>;
pub type State = im::OrdMap<String, Value>;

pub struct Effect {
    pub changes: Vec<(String, Option<Value>)>,
    pub reply: Vec<u8>,
}

pub type Apply = fn(&State, u64, &[u8]) -> Effect;

#[derive(Clone, Debug)]
pub struct Timing {
    pub heartbeat: Duration,
    pub suspect: Duration,
    pub stall: Duration,
    pub resend: Duration,
    pub log_kept: usize,
}

impl Default for Timing {
    fn default() -> Self {
        Timing {
            heartbeat: Duration::from_millis(100),
            suspect: Duration::from_millis(900),
            stall: Duration::from_millis(1500),
            resend: Duration::from_millis(300),
            log_kept: 8192,
        }
    }
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Meta {
    pub node: NodeAddress,
    pub view: View,
    pub promised: u64,
    pub accepted_number: u64,
    pub accepted: View,
}

#[derive(Clone, Debug, Default)]
pub struct Batch {
    pub replace: bool,
    pub pairs: Vec<(String, Option<Value>)>,
    pub entries: Vec<LogEntry>,
    pub trim_below: u64,
    pub last: u64,
    /// How far the log was known to be committed: part of every history after.
    pub known_committed: u64,
    pub meta: Option<Meta>,
}

#[derive(Clone, Debug, Default)]
pub struct Stored {
    pub meta: Meta,
    pub state: State,
    pub entries: Vec<LogEntry>,
    pub last: u64,
    pub known_committed: u64,
}

#[derive(Clone, Debug)]
pub enum Input {
    Tick,
    Frame {
        from: NodeId,
        message: ChainMessage,
    },
    Written {
        ticket: u64,
    },
    DiskError,
    /// The disk takes writes again and holds this: the member starts again from it.
    DiskBack {
        stored: Stored,
    },
    Propose {
        op: ProposalId,
        body: Vec<u8>,
    },
    Confirm,
    Leave,
}

#[derive(Clone, Debug)]
pub enum Output {
    Send {
        to: NodeId,
        message: ChainMessage,
    },
    SendSeeds {
        message: ChainMessage,
    },
    Write {
        ticket: u64,
        batch: Batch,
    },
    Done {
        op: ProposalId,
        appended: bool,
        reply: Vec<u8>,
    },
    Committed {
        seq: u64,
    },
    Confirmed {
        round: u64,
    },
    Viewed {
        view: View,
    },
    /// Told by another, while empty, which view stands: its voters are whom to ask to join.
    Told {
        view: View,
    },
    /// Brought up to the others, by so many entries it missed or by a whole snapshot.
    Installed {
        missed: Option<usize>,
    },
}

/// What a synced batch does to what is stored.
pub fn apply_batch(stored: &mut Stored, batch: &Batch) {
    if batch.replace {
        stored.state = State::new();
        stored.entries.clear();
    }
    for (key, value) in &batch.pairs {
        match value {
            Some(value) => stored.state.insert(key.clone(), value.clone()),
            None => stored.state.remove(key),
        };
    }
    stored.entries.extend(batch.entries.iter().cloned());
    stored.entries.retain(|entry| entry.seq >= batch.trim_below);
    stored.last = batch.last;
    stored.known_committed = batch.known_committed;
    if let Some(meta) = &batch.meta {
        stored.meta = meta.clone();
    }
}
