//! A thread of its own for the disk, so that a stalled sync never holds up a heartbeat. It takes batches in order
//! and reports each ticket when its batch is synced. After an error it takes no more; if the disk was merely full,
//! it reopens the file until there is room, and reports what it holds.

use crate::store::{Store, StoreError};
use crate::types::{Batch, Stored};
use std::sync::mpsc::{self, Receiver, RecvTimeoutError};
use std::time::Duration;

/// A full disk is tried again this often.
const REOPEN_INTERVAL: Duration = Duration::from_millis(500);
/// So many writes may wait for the thread; the replica has one in progress at a time.
const QUEUE_CAPACITY: usize = 4;

/// What came of the disk's work.
#[derive(Debug)]
pub enum DiskReport {
    /// A write is synced.
    Written {
        /// The write.
        ticket: u64,
    },
    /// The disk failed; it takes no more writes.
    Failed(StoreError),
    /// A disk that was full takes writes again.
    Recovered {
        /// What it holds.
        stored: Box<Stored>,
    },
}

struct WriteRequest {
    ticket: u64,
    batch: Batch,
}

/// The sending end of the disk's thread, which ends when this is dropped.
pub struct Disk {
    requests: mpsc::SyncSender<WriteRequest>,
}

impl Disk {
    /// Starts the thread. `reopen` opens the same file once more, or says why it cannot be opened yet.
    pub fn start(
        store: Store,
        reopen: impl Fn() -> Result<(Store, Stored), StoreError> + Send + 'static,
        report: impl Fn(DiskReport) + Send + 'static,
    ) -> std::io::Result<Disk> {
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
        Ok(Disk { requests })
    }

    /// Hands a write over; false if the thread has ended or its queue is full.
    pub fn write(&self, ticket: u64, batch: Batch) -> bool {
        self.requests.try_send(WriteRequest { ticket, batch }).is_ok()
    }
}

/// Writes what comes until an error, or until nothing more can come. The file is closed after it.
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

/// Writes that were handed over before the error are passed over.
fn reopen_when_possible(
    queue: &Receiver<WriteRequest>,
    reopen: &impl Fn() -> Result<(Store, Stored), StoreError>,
) -> Option<(Store, Stored)> {
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
