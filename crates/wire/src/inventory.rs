//! Changes of the provider's instances and workers, sent to the other owners by the one that reads the provider's
//! list.

use crate::{List, Text};
use deku::prelude::*;

/// An instance as the provider lists it.
#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct InstanceRecord {
    pub id: Text,
    /// Name of the function as `tenant/name`.
    pub function: Text,
    pub address: Text,
    pub zone: Text,
    pub worker: Text,
    /// 0 starting, 1 running, 2 leaving.
    pub state: u8,
}

/// A worker as the provider lists it.
#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct WorkerRecord {
    pub name: Text,
    pub zone: Text,
    pub memory_mb: u32,
    pub free_mb: u32,
    pub ready: u8,
}

/// Differences of the provider's list from the list numbered `since`, or from an empty list if `since` is 0, and the
/// age of the request for the list. The fields about workers are filled if `workers_read` is not 0.
#[derive(Clone, Debug, Default, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct InventoryChange {
    pub number: u64,
    pub since: u64,
    pub age_ms: u32,
    pub instances: List<InstanceRecord>,
    pub removed_instances: List<Text>,
    pub workers_read: u8,
    pub workers_age_ms: u32,
    pub workers: List<WorkerRecord>,
    pub removed_workers: List<Text>,
}
