//! Changes of the provider's instances and workers, sent to the other owners by the one that reads the provider's
//! list.

use crate::{List, Text};
use deku::prelude::*;

/// An instance as the provider lists it.
#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct InstanceRecord {
    /// Id of the instance at the provider.
    pub id: Text,
    /// Name of the function as `tenant/name`.
    pub function: Text,
    /// Address at which the instance takes requests.
    pub address: Text,
    /// Zone of the instance.
    pub zone: Text,
    /// Name of the worker on which the instance runs.
    pub worker: Text,
    /// 0 starting, 1 running, 2 leaving.
    pub state: u8,
}

/// A worker as the provider lists it.
#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct WorkerRecord {
    /// Name of the worker.
    pub name: Text,
    /// Zone of the worker.
    pub zone: Text,
    /// Total memory in MB.
    pub memory_mb: u32,
    /// Free memory in MB.
    pub free_mb: u32,
    /// Not 0 if the worker is ready.
    pub ready: u8,
}

/// Differences of the provider's list from the list numbered `since`, or from an empty list if `since` is 0, and the
/// age of the request for the list. The fields about workers are filled if `workers_read` is not 0.
#[derive(Clone, Debug, Default, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct InventoryChange {
    /// Number of the list.
    pub number: u64,
    /// Number of the earlier list, or 0.
    pub since: u64,
    /// Time since the list was requested.
    pub age_ms: u32,
    /// New and changed instances.
    pub instances: List<InstanceRecord>,
    /// Ids of instances that are no longer listed.
    pub removed_instances: List<Text>,
    /// Not 0 if the workers were read too.
    pub workers_read: u8,
    /// Time since the workers were requested.
    pub workers_age_ms: u32,
    /// New and changed workers.
    pub workers: List<WorkerRecord>,
    /// Names of workers that are no longer listed.
    pub removed_workers: List<Text>,
}
