//! The redb file: identity and view, the state as pairs, and the recent entries. A file that is
//! damaged, of another format or of another cluster is a fault; it is never written over.

use crate::types::{Batch, Meta, Stored};
use deku::prelude::*;
use derive_more::{Display, Error, From};
use redb::{Database, ReadOnlyDatabase, ReadableDatabase, ReadableTable, StorageBackend, TableDefinition};
use std::path::Path;
use wire::{LogEntry, NodeAddress, Text, View};

const META: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");
const STATE: TableDefinition<&str, &[u8]> = TableDefinition::new("state");
const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
const RECORD_FORMAT: u16 = 1;
/// Bytes of the file kept in memory; all that is read again is in the state.
const CACHE: usize = 2 * 1024 * 1024;

#[derive(DekuRead, DekuWrite)]
struct MetaRecord {
    format: u16,
    cluster: Text,
    node: NodeAddress,
    view: View,
    promised: u64,
    accepted_number: u64,
    accepted: View,
}

#[derive(Debug, Display, Error, From)]
pub enum StoreError {
    #[display("the data file cannot be used: {_0}")]
    #[from(
        redb::Error,
        redb::DatabaseError,
        redb::TransactionError,
        redb::TableError,
        redb::StorageError,
        redb::CommitError
    )]
    File(redb::Error),
    #[display("the data file belongs to cluster {_0}")]
    Foreign(#[error(not(source))] String),
    #[display("the data file has record format {_0}, this program writes {RECORD_FORMAT}")]
    Format(#[error(not(source))] u16),
    #[display("the data file holds a record that cannot be read")]
    Damaged,
}

impl StoreError {
    /// The disk has no room, and nothing else is wrong with it. After other faults what a read brings back
    /// need not be what the disk holds, so only a full disk is ever written to again by the same process.
    pub fn is_disk_full(&self) -> bool {
        use std::io::ErrorKind::{QuotaExceeded, StorageFull};
        matches!(self, StoreError::File(redb::Error::Io(error)) if matches!(error.kind(), StorageFull | QuotaExceeded))
    }
}

pub struct Store {
    base: Database,
    cluster: String,
}

impl Store {
    pub fn open(path: &Path, cluster: &str, node: NodeAddress) -> Result<(Store, Stored), StoreError> {
        // One that was closed cleanly is looked at without a byte of it being written.
        if let Some(base) = path.exists().then(|| ReadOnlyDatabase::open(path).ok()).flatten() {
            stored_meta(&base, cluster)?;
        }
        Store::begin(Database::builder().set_cache_size(CACHE).create(path)?, cluster, node)
    }

    /// Opens a file that is there already and is this member's own, and proves by a write that the disk takes
    /// one.
    pub fn reopen(path: &Path, cluster: &str, node: &NodeAddress) -> Result<(Store, Stored), StoreError> {
        let base = Database::builder().set_cache_size(CACHE).open(path)?;
        let mut store = Store { base, cluster: cluster.to_owned() };
        let stored = store.load()?.ok_or(StoreError::Damaged)?;
        if stored.meta.node.id != node.id {
            return Err(StoreError::Damaged);
        }
        store.write(&Batch { last: stored.last, known_committed: stored.known_committed, ..Batch::default() })?;
        Ok((store, stored))
    }

    /// On a disk of another kind, such as one that loses its power.
    pub fn open_on(disk: impl StorageBackend, cluster: &str, node: NodeAddress) -> Result<(Store, Stored), StoreError> {
        Store::begin(Database::builder().create_with_backend(disk)?, cluster, node)
    }

    fn begin(base: Database, cluster: &str, node: NodeAddress) -> Result<(Store, Stored), StoreError> {
        let mut store = Store { base, cluster: cluster.to_owned() };
        let stored = match store.load()? {
            Some(stored) => stored,
            None => {
                let meta = Meta { node, ..Meta::default() };
                store.write(&Batch { meta: Some(meta.clone()), ..Batch::default() })?;
                Stored { meta, ..Stored::default() }
            }
        };
        Ok((store, stored))
    }

    fn load(&self) -> Result<Option<Stored>, StoreError> {
        let Some(record) = stored_meta(&self.base, &self.cluster)? else { return Ok(None) };
        let read = self.base.begin_read()?;
        let meta = read.open_table(META)?;
        let mut stored = Stored {
            meta: Meta {
                node: record.node,
                view: record.view,
                promised: record.promised,
                accepted_number: record.accepted_number,
                accepted: record.accepted,
            },
            ..Stored::default()
        };
        let last = meta.get("last")?.ok_or(StoreError::Damaged)?;
        let number = |raw: &[u8]| raw.try_into().map(u64::from_le_bytes).map_err(|_| StoreError::Damaged);
        stored.last = number(last.value())?;
        stored.known_committed = meta.get("settled")?.map_or(Ok(0), |raw| number(raw.value()))?;
        for pair in read.open_table(STATE)?.iter()? {
            let (key, value) = pair?;
            stored.state.insert(key.value().to_owned(), value.value().into());
        }
        for line in read.open_table(LOG)?.iter()? {
            let entry: LogEntry = wire::from_bytes(line?.1.value()).ok_or(StoreError::Damaged)?;
            stored.entries.push(entry);
        }
        Ok(Some(stored))
    }

    pub fn write(&mut self, batch: &Batch) -> Result<(), StoreError> {
        let write = self.base.begin_write()?;
        {
            if batch.replace {
                write.delete_table(STATE)?;
                write.delete_table(LOG)?;
            }
            let mut meta = write.open_table(META)?;
            let mut state = write.open_table(STATE)?;
            let mut log = write.open_table(LOG)?;
            for (key, value) in &batch.pairs {
                match value {
                    Some(value) => state.insert(key.as_str(), &value[..])?,
                    None => state.remove(key.as_str())?,
                };
            }
            for entry in &batch.entries {
                log.insert(entry.seq, wire::to_bytes(entry).as_slice())?;
            }
            log.retain_in(..batch.trim_below, |_, _| false)?;
            meta.insert("last", batch.last.to_le_bytes().as_slice())?;
            meta.insert("settled", batch.known_committed.to_le_bytes().as_slice())?;
            if let Some(kept) = &batch.meta {
                let record = MetaRecord {
                    format: RECORD_FORMAT,
                    cluster: self.cluster.as_str().into(),
                    node: kept.node.clone(),
                    view: kept.view.clone(),
                    promised: kept.promised,
                    accepted_number: kept.accepted_number,
                    accepted: kept.accepted.clone(),
                };
                meta.insert("meta", wire::to_bytes(&record).as_slice())?;
            }
        }
        write.commit()?;
        Ok(())
    }
}

/// The record that says whose file this is, if anything was ever written to it.
fn stored_meta(base: &impl ReadableDatabase, cluster: &str) -> Result<Option<MetaRecord>, StoreError> {
    let read = base.begin_read()?;
    let meta = match read.open_table(META) {
        Ok(table) => table,
        Err(redb::TableError::TableDoesNotExist(_)) => return Ok(None),
        Err(error) => return Err(error.into()),
    };
    let raw = meta.get("meta")?.ok_or(StoreError::Damaged)?.value().to_vec();
    let format = raw.get(..2).map(|b| u16::from_le_bytes([b[0], b[1]])).ok_or(StoreError::Damaged)?;
    if format != RECORD_FORMAT {
        return Err(StoreError::Format(format));
    }
    let record: MetaRecord = wire::from_bytes(&raw).ok_or(StoreError::Damaged)?;
    if record.cluster.as_str() != cluster {
        return Err(StoreError::Foreign(record.cluster.as_str().to_owned()));
    }
    Ok(Some(record))
}
