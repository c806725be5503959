//! Chain replication of the registries' shared state: entries are appended at the head, synced to disk by each
//! replica along the chain, and acknowledged by the tail. A majority of voters agrees on the members of the chain,
//! one view at a time.
//!
//! [`ChainReplica`] is a state machine that reads no clock and no socket; the control plane drives it. It
//! coordinates components that own their state and do not depend on it: the log, the write queue, the failure
//! detector, the view agreement, replication progress, confirmation rounds, catch-up and the membership rules.
//! [`DiskWriter`] writes its batches to a redb file.

#![warn(missing_docs)]

mod bootstrap;
mod confirmation;
mod departures;
mod disk;
mod failure_detector;
mod join_requests;
mod log;
mod readmission;
mod replica;
mod replication_progress;
mod snapshot;
mod store;
mod tail_history;
mod types;
mod view_agreement;
mod write_queue;

pub use departures::DepartureWait;
pub use disk::{DiskReport, DiskWriter};
pub use log::Positions;
pub use replica::{ChainReplica, digest_batch, digest_entries, digest_meta, digest_state};
pub use store::{Store, StoreError};
pub use types::{Apply, Batch, Change, Effect, Input, Meta, Output, State, StoredReplica, Timing, Value};
