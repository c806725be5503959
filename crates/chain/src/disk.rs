//! A thread of its own for the disk, so that a stalled sync never holds up a heartbeat. It takes
//! batches in order and reports each ticket when its batch is synced. After a fault it takes no more;
//! if the disk was merely full, it opens the file anew until there is room, and reports what it holds.

use crate::store::{Store, StoreError};
use crate::types::{Batch, Stored};
use std::sync::mpsc::{self, Receiver, RecvTimeoutError};
use std::time::Duration;

const REOPEN_EVERY: Duration = Duration::from_millis(500);

/// What came of the disk's work.
#[derive(Debug)]
pub enum DiskReport {
    Written {
        ticket: u64,
    },
    Fault(StoreError),
    /// A disk that was full takes writes again, and this is what it holds.
    Back {
        stored: Box<Stored>,
    },
}

pub struct Disk {
    batches: mpsc::SyncSender<(u64, Batch)>,
}

impl Disk {
    /// `reopen` opens the same file once more, or tells why it cannot be opened yet.
    pub fn start(
        store: Store,
        reopen: impl Fn() -> Result<(Store, Stored), StoreError> + Send + 'static,
        report: impl Fn(DiskReport) + Send + 'static,
    ) -> std::io::Result<Disk> {
        let (batches, inbox) = mpsc::sync_channel::<(u64, Batch)>(4);
        std::thread::Builder::new().name("disk".into()).spawn(move || {
            let mut store = store;
            while let Some(error) = write_until_fault(store, &inbox, &report) {
                let is_full = error.is_disk_full();
                report(DiskReport::Fault(error));
                if !is_full {
                    return;
                }
                let Some((opened, stored)) = reopen_when_possible(&inbox, &reopen) else { return };
                store = opened;
                report(DiskReport::Back { stored: Box::new(stored) });
            }
        })?;
        Ok(Disk { batches })
    }

    pub fn write(&self, ticket: u64, batch: Batch) -> bool {
        self.batches.try_send((ticket, batch)).is_ok()
    }
}

/// Writes what comes until a fault, or until nothing more can come. The file is closed after it.
fn write_until_fault(
    mut store: Store,
    inbox: &Receiver<(u64, Batch)>,
    report: &impl Fn(DiskReport),
) -> Option<StoreError> {
    while let Ok((ticket, batch)) = inbox.recv() {
        match store.write(&batch) {
            Ok(()) => report(DiskReport::Written { ticket }),
            Err(error) => return Some(error),
        }
    }
    None
}

/// Tries again and again; batches from before the fault are passed over.
fn reopen_when_possible(
    inbox: &Receiver<(u64, Batch)>,
    reopen: &impl Fn() -> Result<(Store, Stored), StoreError>,
) -> Option<(Store, Stored)> {
    loop {
        match inbox.recv_timeout(REOPEN_EVERY) {
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
