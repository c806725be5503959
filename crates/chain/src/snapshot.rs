//! Both ends of a catch-up: the replica that serves its state, and the one that receives it in chunks.

use crate::types::{State, Value};
use std::time::Duration;
use wire::{KeyValue, NodeId};

/// A chunk holds no more bytes than this, but for its last pair.
const MAX_CHUNK_BYTES: usize = 512 * 1024;
/// A chunk holds no more pairs than this.
const MAX_CHUNK_PAIRS: usize = 4096;
/// A request that was not answered is repeated after this long.
pub const RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// A download that does not move on is given up after this long.
pub const DOWNLOAD_TIMEOUT: Duration = Duration::from_secs(5);

/// A snapshot that is being served to a joiner.
#[derive(Clone)]
pub struct SnapshotSource {
    /// Identifies the snapshot.
    pub id: u64,
    /// Whom it is served to.
    pub joiner: NodeId,
    /// The state that is served.
    pub state: State,
    /// The entry after which it is the state.
    pub seq: u64,
    /// The first key of each chunk, as far as chunks have been served.
    pub chunk_starts: Vec<String>,
    /// When the joiner last requested something.
    pub requested_at: Duration,
}

/// One chunk of a snapshot.
pub struct Chunk {
    /// Pairs in the order of their keys.
    pub pairs: Vec<KeyValue>,
    /// Whether no chunk follows.
    pub is_last: bool,
}

impl SnapshotSource {
    /// Begins to serve a state from its first key.
    pub fn new(id: u64, joiner: NodeId, state: State, seq: u64, now: Duration) -> Self {
        SnapshotSource { id, joiner, state, seq, chunk_starts: vec![String::new()], requested_at: now }
    }

    /// The chunk of this index, unless the one before it was never served.
    pub fn chunk(&mut self, index: u32) -> Option<Chunk> {
        let start = self.chunk_starts.get(index as usize).cloned()?;
        let mut bytes = 0;
        let mut pairs = Vec::new();
        let mut next_start = None;
        for (key, value) in self.state.range(start..) {
            if pairs.len() >= MAX_CHUNK_PAIRS || bytes > MAX_CHUNK_BYTES {
                next_start = Some(key.clone());
                break;
            }
            bytes += key.len() + value.len();
            pairs.push(KeyValue { key: key.as_str().into(), value: value.to_vec().into() });
        }
        let is_last = next_start.is_none();
        if let Some(key) = next_start
            && self.chunk_starts.len() == index as usize + 1
        {
            self.chunk_starts.push(key);
        }
        Some(Chunk { pairs, is_last })
    }
}

/// A catch-up that is being received. Until the source has answered it is not known whether it sends the missed
/// entries or a snapshot.
#[derive(Clone)]
pub struct Download {
    /// Who serves it.
    pub source: NodeId,
    /// The snapshot, 0 until the source has named it.
    pub snapshot_id: u64,
    /// The chunk that is requested next.
    pub next_chunk: u32,
    /// The entry after which it is the state.
    pub seq: u64,
    /// The pairs received so far.
    pub pairs: Vec<(String, Value)>,
    /// When something was last requested.
    pub requested_at: Duration,
    /// When something last arrived.
    pub progressed_at: Duration,
}

impl Download {
    /// Nothing has arrived yet.
    pub fn new(source: NodeId, now: Duration) -> Self {
        Download {
            source,
            snapshot_id: 0,
            next_chunk: 0,
            seq: 0,
            pairs: Vec::new(),
            requested_at: now,
            progressed_at: now,
        }
    }

    /// Takes a chunk in; false if it is not the one that was requested.
    pub fn receive(&mut self, from: NodeId, snapshot_id: u64, index: u32, seq: u64, pairs: Vec<KeyValue>) -> bool {
        let is_other_snapshot = self.snapshot_id != 0 && self.snapshot_id != snapshot_id;
        if self.source != from || self.next_chunk != index || is_other_snapshot {
            return false;
        }
        self.snapshot_id = snapshot_id;
        self.seq = seq;
        self.next_chunk += 1;
        self.pairs.extend(pairs.into_iter().map(|pair| (pair.key.as_str().to_owned(), pair.value.into_vec().into())));
        true
    }

    /// Something arrived, and what follows is requested at once.
    pub fn record_progress(&mut self, now: Duration) {
        self.requested_at = now;
        self.progressed_at = now;
    }
}

/// The catch-ups that this replica takes part in.
#[derive(Clone, Default)]
pub struct CatchUp {
    /// The snapshot it serves.
    pub source: Option<SnapshotSource>,
    /// What it receives.
    pub download: Option<Download>,
    /// When it last asked to join, or to bootstrap a cluster.
    pub requested_at: Duration,
    /// Since when it asks to join.
    pub seeking_since: Option<Duration>,
}

impl CatchUp {
    /// Forgets a download that arrives no more.
    pub fn abandon_download(&mut self) {
        self.download = None;
    }
}
