//! The registries' shared state, by chain replication: entries are appended at the head, synced at each replica
//! on their way, and acknowledged by the tail. Which replicas are in the chain is agreed by a majority of voters,
//! view by view.
//!
//! [`ChainReplica`] is a state machine; it reads no clock and no socket, and the control plane drives it. It
//! coordinates parts that own their state and do not know it: the log, the write queue, the failure detector, the
//! view agreement, replication progress, confirmation rounds, catch-up, and what decides who may join. [`Disk`]
//! keeps what it writes in a redb file.

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
pub use disk::{Disk, DiskReport};
pub use log::Positions;
pub use replica::{ChainReplica, digest_batch, digest_entries, digest_meta, digest_state};
pub use store::{Store, StoreError};
pub use types::{Apply, Batch, Change, Effect, Input, Meta, Output, State, Stored, Timing, Value};
