//! Dedicated disk thread, so that a stalled sync never delays a heartbeat. It writes batches in order and reports
//! each ticket when its batch is synced. After an error it stops; if the disk was only full, it instead tries to
//! reopen the file until there is space again, and reports the contents.

use crate::store::{Store, StoreError};
use crate::types::{Batch, StoredReplica};
use std::sync::mpsc::{self, Receiver, RecvTimeoutError};
use std::time::Duration;

/// Interval between attempts to reopen the file on a full disk.
const REOPEN_INTERVAL: Duration = Duration::from_millis(500);
/// Number of writes that may wait for the thread; the replica has only one in progress at a time.
const QUEUE_CAPACITY: usize = 4;

/// Result reported by the disk thread.
#[derive(Debug)]
pub enum DiskReport {
    /// A write is synced.
    Written {
        /// Ticket of the write.
        ticket: u64,
    },
    /// A write failed; no more writes are accepted unless [`DiskReport::Recovered`] follows.
    Failed(StoreError),
    /// A disk that was full accepts writes again.
    Recovered {
        /// Contents of the disk.
        stored: Box<StoredReplica>,
    },
}

struct WriteRequest {
    ticket: u64,
    batch: Batch,
}

/// Handle of the disk thread, which ends when the handle is dropped.
pub struct DiskWriter {
    requests: mpsc::SyncSender<WriteRequest>,
}

impl DiskWriter {
    /// Starts the thread. `reopen` opens the same file again, or returns why it cannot be opened yet.
    pub fn start(
        store: Store,
        reopen: impl Fn() -> Result<(Store, StoredReplica), StoreError> + Send + 'static,
        report: impl Fn(DiskReport) + Send + 'static,
    ) -> std::io::Result<DiskWriter> {
        let (requests, queue) = mpsc::sync_channel::<WriteRequest>(QUEUE_CAPACITY);
        std::thread::Builder::new().name("disk".into()).spawn(move || {
            let mut store = store;
            while let Some(error) = write_until_error(store, &queue, &report) {
                let is_full = error.is_disk_full();
                report(DiskReport::Failed(error));
                if !is_full {
                    return;
                }
                let Some((opened, stored)) = reopen_when_possible(&queue, &reopen) else { return };
                store = opened;
                report(DiskReport::Recovered { stored: Box::new(stored) });
            }
        })?;
        Ok(DiskWriter { requests })
    }

    /// Queues a write; returns false if the thread has ended or its queue is full.
    pub fn write(&self, ticket: u64, batch: Batch) -> bool {
        self.requests.try_send(WriteRequest { ticket, batch }).is_ok()
    }
}

/// Writes queued batches until an error, which is returned, or until the queue is closed. Closes the file.
fn write_until_error(
    mut store: Store,
    queue: &Receiver<WriteRequest>,
    report: &impl Fn(DiskReport),
) -> Option<StoreError> {
    while let Ok(WriteRequest { ticket, batch }) = queue.recv() {
        match store.write(&batch) {
            Ok(()) => report(DiskReport::Written { ticket }),
            Err(error) => return Some(error),
        }
    }
    None
}

/// Tries to reopen the file until that succeeds; returns `None` if the queue is closed first. Writes that were queued
/// before the error are discarded.
fn reopen_when_possible(
    queue: &Receiver<WriteRequest>,
    reopen: &impl Fn() -> Result<(Store, StoredReplica), StoreError>,
) -> Option<(Store, StoredReplica)> {
    loop {
        match queue.recv_timeout(REOPEN_INTERVAL) {
            Ok(_) => {}
            Err(RecvTimeoutError::Disconnected) => return None,
            Err(RecvTimeoutError::Timeout) => {
                if let Ok(opened) = reopen() {
                    return Some(opened);
                }
            }
        }
    }
}
