//! A thread of its own for the disk, so that a stalled sync never holds up a heartbeat. It takes
//! batches in order and reports each ticket when its batch is synced, or one fault and then no more.

use crate::store::{Store, StoreFault};
use crate::types::Batch;
use std::sync::mpsc;

pub struct Disk {
    batches: mpsc::SyncSender<(u64, Batch)>,
}

impl Disk {
    pub fn start(mut store: Store, report: impl Fn(Result<u64, StoreFault>) + Send + 'static) -> std::io::Result<Disk> {
        let (batches, inbox) = mpsc::sync_channel::<(u64, Batch)>(4);
        std::thread::Builder::new().name("disk".into()).spawn(move || {
            while let Ok((ticket, batch)) = inbox.recv() {
                match store.write(&batch) {
                    Ok(()) => report(Ok(ticket)),
                    Err(fault) => return report(Err(fault)),
                }
            }
        })?;
        Ok(Disk { batches })
    }

    pub fn write(&self, ticket: u64, batch: Batch) -> bool {
        self.batches.try_send((ticket, batch)).is_ok()
    }
}
