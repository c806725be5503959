//! What the emulator needs to know of each service: how many tasks an instance takes at once, how
//! long it takes to start and to answer.

use serde::Deserialize;
use std::collections::BTreeMap;

#[derive(Clone, Debug, Deserialize)]
pub struct Service {
    pub limit: u32,
    pub start_ms: u64,
    pub work_ms: u64,
}

pub type Services = BTreeMap<String, Service>;

pub fn load(path: &std::path::Path) -> Result<Services, String> {
    let raw = std::fs::read(path).map_err(|error| format!("services file {}: {error}", path.display()))?;
    serde_json::from_slice(&raw).map_err(|error| format!("services file {}: {error}", path.display()))
}
