//! Judgements that the simulator and the checker of process runs share.

#![warn(missing_docs)]

mod recovery;

pub use recovery::{Low, Recovery, recovery};
