//! Judgements that the simulator and the checker of process runs share.

#![warn(missing_docs)]

mod linearizable;
mod recovery;

pub use linearizable::{Anomaly, Invocation, Read, Response, anomalies};
pub use recovery::{Low, Recovery, recovery};
