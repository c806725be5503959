//! The provider's instances and workers, as the owner that reads its list sends them to the others: only what
//! changed.

use crate::{List, Text};
use deku::prelude::*;

/// An instance as the provider lists it.
#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct InstanceRecord {
    pub id: Text,
    /// Tenant and name.
    pub function: Text,
    pub address: Text,
    pub zone: Text,
    pub worker: Text,
    /// 0 starting, 1 running, 2 leaving
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

/// What the provider's list shows otherwise than under an earlier number, or than nothing where that
/// is 0, and how long ago it was asked for; the workers likewise where they were read as well.
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
