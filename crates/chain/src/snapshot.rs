//! Both sides of a catch-up: the replica that serves its state, and the one that receives it in chunks.

use crate::types::{State, Value};
use std::time::Duration;
use wire::{KeyValue, NodeId};

/// Maximum size of a chunk in bytes, which only its last pair may exceed.
const MAX_CHUNK_BYTES: usize = 512 * 1024;
/// Maximum number of key-value pairs in a chunk.
const MAX_CHUNK_PAIRS: usize = 4096;
/// Time after which an unanswered request is repeated.
pub const RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Time without progress after which a download is abandoned.
pub const DOWNLOAD_TIMEOUT: Duration = Duration::from_secs(5);

/// Snapshot that is being served to a joiner.
#[derive(Clone)]
pub struct SnapshotSource {
    /// Id of the snapshot.
    pub id: u64,
    /// Replica that receives the snapshot.
    pub joiner: NodeId,
    /// State that is served.
    pub state: State,
    /// Newest entry that the state includes.
    pub seq: u64,
    /// First key of each chunk that has been served, and of the next one.
    pub chunk_starts: Vec<String>,
    /// When the joiner last requested something.
    pub requested_at: Duration,
}

/// Chunk of a snapshot.
pub struct Chunk {
    /// Pairs, ordered by key.
    pub pairs: Vec<KeyValue>,
    /// Whether this is the last chunk.
    pub is_last: bool,
}

impl SnapshotSource {
    /// Creates a snapshot that is served from its first key.
    pub fn new(id: u64, joiner: NodeId, state: State, seq: u64, now: Duration) -> Self {
        SnapshotSource { id, joiner, state, seq, chunk_starts: vec![String::new()], requested_at: now }
    }

    /// Returns the chunk with this index, or `None` if the preceding chunk was never served.
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

/// Catch-up that is being received. Until the source has answered, it is not known whether it will send the missed
/// entries or a snapshot.
#[derive(Clone)]
pub struct Download {
    /// Replica that serves the catch-up.
    pub source: NodeId,
    /// Id of the snapshot, 0 until the source has reported it.
    pub snapshot_id: u64,
    /// Index of the chunk to request next.
    pub next_chunk: u32,
    /// Newest entry that the snapshot includes.
    pub seq: u64,
    /// Pairs received so far.
    pub pairs: Vec<(String, Value)>,
    /// When the last request was sent.
    pub requested_at: Duration,
    /// When data last arrived.
    pub progressed_at: Duration,
}

impl Download {
    /// Creates a download of which nothing has arrived yet.
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

    /// Adds a chunk; returns false if it is not the requested one.
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

    /// Records that data arrived and that the next request is sent at once.
    pub fn record_progress(&mut self, now: Duration) {
        self.requested_at = now;
        self.progressed_at = now;
    }
}

/// Catch-ups in which this replica takes part.
#[derive(Clone, Default)]
pub struct CatchUp {
    /// Snapshot that this replica serves.
    pub source: Option<SnapshotSource>,
    /// Catch-up that this replica receives.
    pub download: Option<Download>,
    /// When this replica last asked to join or to bootstrap a cluster.
    pub requested_at: Duration,
    /// When this replica began to ask to join.
    pub joining_since: Option<Duration>,
}

impl CatchUp {
    /// Drops a download that no longer makes progress.
    pub fn abandon_download(&mut self) {
        self.download = None;
    }
}
