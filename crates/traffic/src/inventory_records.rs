//! Conversion of the provider's lists to the records that owners exchange, and differences between two lists.

use instance_provider::{InstanceLine, InstanceState, WorkerLine};
use std::collections::BTreeMap;
use wire::{InstanceRecord, InventoryChange, Text, WorkerRecord};

pub(crate) fn instance_record(line: &InstanceLine) -> InstanceRecord {
    InstanceRecord {
        id: line.id.as_str().into(),
        function: line.service.as_str().into(),
        address: line.address.as_str().into(),
        zone: line.zone.as_str().into(),
        worker: line.worker.as_str().into(),
        state: match line.state {
            InstanceState::Starting => 0,
            InstanceState::Running => 1,
            InstanceState::Leaving => 2,
        },
    }
}

pub(crate) fn from_instance_record(record: &InstanceRecord) -> InstanceLine {
    InstanceLine {
        id: record.id.as_str().to_owned(),
        service: record.function.as_str().to_owned(),
        address: record.address.as_str().to_owned(),
        zone: record.zone.as_str().to_owned(),
        worker: record.worker.as_str().to_owned(),
        state: match record.state {
            0 => InstanceState::Starting,
            1 => InstanceState::Running,
            _ => InstanceState::Leaving,
        },
    }
}

pub(crate) fn worker_record(line: &WorkerLine) -> WorkerRecord {
    let (name, zone) = (line.name.as_str().into(), line.zone.as_str().into());
    WorkerRecord { name, zone, memory_mb: line.memory_mb, free_mb: line.free_mb, ready: line.ready as u8 }
}

pub(crate) fn from_worker_record(record: &WorkerRecord) -> WorkerLine {
    let (name, zone) = (record.name.as_str().to_owned(), record.zone.as_str().to_owned());
    WorkerLine { name, zone, memory_mb: record.memory_mb, free_mb: record.free_mb, ready: record.ready != 0 }
}

/// Returns the lines that are new or differ.
pub(crate) fn changed<'a, T: PartialEq>(
    before: &'a BTreeMap<String, T>,
    after: &'a BTreeMap<String, T>,
) -> impl Iterator<Item = &'a T> {
    after.iter().filter(|(key, line)| before.get(*key) != Some(line)).map(|(_, line)| line)
}

/// Returns the keys that are no longer present.
pub(crate) fn removed<T>(before: &BTreeMap<String, T>, after: &BTreeMap<String, T>) -> Vec<Text> {
    before.keys().filter(|key| !after.contains_key(*key)).map(|key| key.as_str().into()).collect()
}

/// Returns the change from one instance list to another, without workers.
pub(crate) fn change_of(
    before: &BTreeMap<String, InstanceLine>,
    after: &BTreeMap<String, InstanceLine>,
) -> InventoryChange {
    let instances: Vec<InstanceRecord> = changed(before, after).map(instance_record).collect();
    InventoryChange {
        instances: instances.into(),
        removed_instances: removed(before, after).into(),
        ..InventoryChange::default()
    }
}
