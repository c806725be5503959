//! Checks shared by the simulator and the load generator: linearizability of changes, and recovery of service.

#![warn(missing_docs)]

mod linearizable;
mod recovery;

pub use linearizable::{Anomaly, Invocation, Read, Response, find_anomalies};
pub use recovery::{LowSecond, Recovery, check_recovery};
