//! Judgements that the simulator and the checker of process runs share.

#![warn(missing_docs)]

mod linearizable;
mod recovery;

pub use linearizable::{Anomaly, Invocation, Read, Response, find_anomalies};
pub use recovery::{LowSecond, Recovery, check_recovery};
