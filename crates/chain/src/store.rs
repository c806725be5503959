//! The redb data file: identity and view, the state as key-value pairs, and the recent log entries. Opening a file
//! that is damaged, of another format or of another cluster is an error; such a file is never overwritten.

use crate::types::{Batch, Meta, StoredReplica};
use deku::prelude::*;
use derive_more::{Display, Error, From};
use redb::{Database, ReadOnlyDatabase, ReadableDatabase, ReadableTable, StorageBackend, TableDefinition};
use std::path::Path;
use wire::{LogEntry, NodeAddress, Text, View};

// The names of tables and keys are part of the record format.
const META: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");
const STATE: TableDefinition<&str, &[u8]> = TableDefinition::new("state");
const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
const META_KEY: &str = "meta";
const LAST_KEY: &str = "last";
const KNOWN_COMMITTED_KEY: &str = "settled";
const RECORD_FORMAT: u16 = 1;
/// Size of redb's cache. It is small because reads are served from the state in memory.
const CACHE_BYTES: usize = 2 * 1024 * 1024;

/// Identity, view and votes in their stored form.
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

impl MetaRecord {
    fn new(cluster: &str, meta: &Meta) -> Self {
        MetaRecord {
            format: RECORD_FORMAT,
            cluster: cluster.into(),
            node: meta.node.clone(),
            view: meta.view.clone(),
            promised: meta.promised,
            accepted_number: meta.accepted_number,
            accepted: meta.accepted.clone(),
        }
    }
}

impl From<MetaRecord> for Meta {
    fn from(record: MetaRecord) -> Self {
        let MetaRecord { node, view, promised, accepted_number, accepted, .. } = record;
        Meta { node, view, promised, accepted_number, accepted }
    }
}

/// Reason why a data file cannot be used.
#[derive(Debug, Display, Error, From)]
pub enum StoreError {
    /// The file cannot be opened, read or written.
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
    /// The file belongs to another cluster, with this name.
    #[display("the data file belongs to cluster {_0}")]
    OtherCluster(#[error(not(source))] String),
    /// The file has a record format, this one, that the program does not support.
    #[display("the data file has record format {_0}, this program writes {RECORD_FORMAT}")]
    UnsupportedFormat(#[error(not(source))] u16),
    /// A record cannot be decoded, or a required record is missing.
    #[display("the data file holds a record that cannot be read")]
    Damaged,
}

impl StoreError {
    /// Returns whether the only fault is that the disk is full. After other faults a read may return data that
    /// differs from what is on disk, so only a full disk is written to again by the same process.
    pub fn is_disk_full(&self) -> bool {
        use std::io::ErrorKind::{QuotaExceeded, StorageFull};
        matches!(self, StoreError::File(redb::Error::Io(error)) if matches!(error.kind(), StorageFull | QuotaExceeded))
    }
}

/// Open data file of one registry.
pub struct Store {
    database: Database,
    cluster: String,
}

impl Store {
    /// Opens the data file, or creates it for this registry. The identity in an existing file takes precedence.
    pub fn open(path: &Path, cluster: &str, node: NodeAddress) -> Result<(Store, StoredReplica), StoreError> {
        // A file that was closed cleanly is first checked read-only, so that a foreign file stays unmodified.
        if let Some(database) = path.exists().then(|| ReadOnlyDatabase::open(path).ok()).flatten() {
            read_meta(&database, cluster)?;
        }
        Store::load_or_initialize(Database::builder().set_cache_size(CACHE_BYTES).create(path)?, cluster, node)
    }

    /// Opens the existing data file of this replica, and tests with a write that the disk accepts writes.
    pub fn reopen(path: &Path, cluster: &str, node: &NodeAddress) -> Result<(Store, StoredReplica), StoreError> {
        let database = Database::builder().set_cache_size(CACHE_BYTES).open(path)?;
        let mut store = Store { database, cluster: cluster.to_owned() };
        let stored = store.load()?.ok_or(StoreError::Damaged)?;
        if stored.meta.node.id != node.id {
            return Err(StoreError::Damaged);
        }
        store.write(&Batch { last: stored.last, known_committed: stored.known_committed, ..Batch::default() })?;
        Ok((store, stored))
    }

    /// Opens a store on another storage backend, such as a simulated disk that loses power.
    pub fn open_on(
        disk: impl StorageBackend,
        cluster: &str,
        node: NodeAddress,
    ) -> Result<(Store, StoredReplica), StoreError> {
        Store::load_or_initialize(Database::builder().create_with_backend(disk)?, cluster, node)
    }

    fn load_or_initialize(
        database: Database,
        cluster: &str,
        node: NodeAddress,
    ) -> Result<(Store, StoredReplica), StoreError> {
        let mut store = Store { database, cluster: cluster.to_owned() };
        let stored = match store.load()? {
            Some(stored) => stored,
            None => {
                let meta = Meta { node, ..Meta::default() };
                store.write(&Batch { meta: Some(meta.clone()), ..Batch::default() })?;
                StoredReplica { meta, ..StoredReplica::default() }
            }
        };
        Ok((store, stored))
    }

    fn load(&self) -> Result<Option<StoredReplica>, StoreError> {
        let Some(record) = read_meta(&self.database, &self.cluster)? else { return Ok(None) };
        let read = self.database.begin_read()?;
        let meta = read.open_table(META)?;
        let mut stored = StoredReplica { meta: record.into(), ..StoredReplica::default() };
        let last = meta.get(LAST_KEY)?.ok_or(StoreError::Damaged)?;
        let parse_number = |raw: &[u8]| raw.try_into().map(u64::from_le_bytes).map_err(|_| StoreError::Damaged);
        stored.last = parse_number(last.value())?;
        stored.known_committed = meta.get(KNOWN_COMMITTED_KEY)?.map_or(Ok(0), |raw| parse_number(raw.value()))?;
        for pair in read.open_table(STATE)?.iter()? {
            let (key, value) = pair?;
            stored.state.insert(key.value().to_owned(), value.value().into());
        }
        for row in read.open_table(LOG)?.iter()? {
            let entry: LogEntry = wire::from_bytes(row?.1.value()).ok_or(StoreError::Damaged)?;
            stored.entries.push(entry);
        }
        Ok(Some(stored))
    }

    /// Writes a batch in one transaction, which is synced to disk when this function returns.
    pub fn write(&mut self, batch: &Batch) -> Result<(), StoreError> {
        let write = self.database.begin_write()?;
        {
            if batch.replace {
                write.delete_table(STATE)?;
                write.delete_table(LOG)?;
            }
            let mut meta = write.open_table(META)?;
            let mut state = write.open_table(STATE)?;
            let mut log = write.open_table(LOG)?;
            for change in &batch.changes {
                match &change.value {
                    Some(value) => state.insert(change.key.as_str(), &value[..])?,
                    None => state.remove(change.key.as_str())?,
                };
            }
            for entry in &batch.entries {
                log.insert(entry.seq, wire::to_bytes(entry).as_slice())?;
            }
            log.retain_in(..batch.trim_below, |_, _| false)?;
            meta.insert(LAST_KEY, batch.last.to_le_bytes().as_slice())?;
            meta.insert(KNOWN_COMMITTED_KEY, batch.known_committed.to_le_bytes().as_slice())?;
            if let Some(new_meta) = &batch.meta {
                let record = MetaRecord::new(&self.cluster, new_meta);
                meta.insert(META_KEY, wire::to_bytes(&record).as_slice())?;
            }
        }
        write.commit()?;
        Ok(())
    }
}

/// Reads and checks the identity record, or returns `None` if nothing was ever written to the file.
fn read_meta(database: &impl ReadableDatabase, cluster: &str) -> Result<Option<MetaRecord>, StoreError> {
    let read = database.begin_read()?;
    let meta = match read.open_table(META) {
        Ok(table) => table,
        Err(redb::TableError::TableDoesNotExist(_)) => return Ok(None),
        Err(error) => return Err(error.into()),
    };
    let raw = meta.get(META_KEY)?.ok_or(StoreError::Damaged)?.value().to_vec();
    let format = raw.get(..2).map(|b| u16::from_le_bytes([b[0], b[1]])).ok_or(StoreError::Damaged)?;
    if format != RECORD_FORMAT {
        return Err(StoreError::UnsupportedFormat(format));
    }
    let record: MetaRecord = wire::from_bytes(&raw).ok_or(StoreError::Damaged)?;
    if record.cluster.as_str() != cluster {
        return Err(StoreError::OtherCluster(record.cluster.as_str().to_owned()));
    }
    Ok(Some(record))
}
