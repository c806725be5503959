//! Properties of each service: concurrency limit of an instance, and its time to start and to answer.

use serde::Deserialize;
use std::collections::BTreeMap;

/// Properties of a service.
#[derive(Clone, Debug, Deserialize)]
pub struct Service {
    /// Number of tasks that an instance runs at once.
    pub limit: u32,
    /// Nominal time until an instance has started.
    pub start_ms: u64,
    /// Time of a task.
    pub work_ms: u64,
}

/// Services by tenant and name.
pub type Services = BTreeMap<String, Service>;

/// Reads the services file.
pub fn load(path: &std::path::Path) -> Result<Services, String> {
    let raw = std::fs::read(path).map_err(|error| format!("services file {}: {error}", path.display()))?;
    serde_json::from_slice(&raw).map_err(|error| format!("services file {}: {error}", path.display()))
}
