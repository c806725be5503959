//! The registries' shared state: a chain entered at the head and answered from the tail, mended
//! by a small view that a majority of voters agrees on. `Member` is a state machine; `Disk` keeps
//! what it writes in redb. Nothing here reads a clock or a socket.

mod copy;
mod digest;
mod disk;
mod found;
mod leave;
mod line;
mod member;
mod register;
mod returns;
mod seats;
mod store;
mod suffix;
mod tenure;
mod types;
mod view;
mod writes;

pub use digest::{digest_batch, digest_entries, digest_meta, digest_state};
pub use disk::{Disk, DiskReport};
pub use member::Member;
pub use store::{Store, StoreError};
pub use types::{Apply, Batch, Effect, Input, Meta, Output, State, Stored, Timing, Value, apply_batch};
