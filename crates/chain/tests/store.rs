//! Data file of the store: synced data is read back; a damaged, foreign or newer file is refused with a clear error
//! and left unmodified.

use chain::{Batch, Change, Store, StoreError};
use redb::{Database, ReadableTable, TableDefinition};
use std::path::PathBuf;
use wire::{LogEntry, NodeAddress, ProposalId};

fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("heronlink-store-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

fn node() -> NodeAddress {
    NodeAddress { id: 5, address: "127.0.0.1:1".into() }
}

fn write_some(path: &std::path::Path) {
    let (mut store, stored) = Store::open(path, "posta", node()).unwrap();
    assert_eq!((stored.last, stored.meta.node.id), (0, 5));
    for seq in 1..=20u64 {
        let entry = LogEntry { seq, op: ProposalId { origin: 1, number: seq }, body: vec![seq as u8; 100].into() };
        let batch = Batch {
            changes: vec![Change::put(format!("key {}", seq % 7), vec![seq as u8; 50])],
            entries: vec![entry],
            trim_below: seq.saturating_sub(5),
            last: seq,
            ..Batch::default()
        };
        store.write(&batch).unwrap();
    }
}

#[test]
fn synced_data_is_read_back_and_old_entries_are_trimmed() {
    let folder = folder("back");
    let path = folder.join("registry.redb");
    write_some(&path);
    let (_, stored) = Store::open(&path, "posta", NodeAddress { id: 99, address: "".into() }).unwrap();
    assert_eq!((stored.last, stored.meta.node.id, stored.state.len()), (20, 5, 7), "the identity is the stored one");
    assert_eq!(stored.entries.iter().map(|entry| entry.seq).collect::<Vec<_>>(), (15..=20).collect::<Vec<_>>());
    assert_eq!(stored.state.get("key 6").map(|value| value[0]), Some(20));
    let _ = std::fs::remove_dir_all(folder);
}

#[test]
fn a_foreign_or_damaged_file_is_refused_and_left_unmodified() {
    let folder = folder("damaged");
    let path = folder.join("registry.redb");
    write_some(&path);
    let whole = std::fs::read(&path).unwrap();
    assert!(matches!(Store::open(&path, "pixel", node()), Err(StoreError::OtherCluster(name)) if name == "posta"));
    assert!(std::fs::read(&path).unwrap() == whole, "a foreign file was written to");
    let cases: Vec<(&str, Vec<u8>)> = vec![
        ("garbage", vec![0x5a; 8192]),
        ("truncated", whole[..whole.len() / 3].to_vec()),
        ("bad header", [vec![0; 512], whole[512..].to_vec()].concat()),
    ];
    for (name, bytes) in cases {
        std::fs::write(&path, &bytes).unwrap();
        let opened = std::panic::catch_unwind(|| Store::open(&path, "posta", node()).map(drop));
        let refused = matches!(&opened, Ok(Err(error)) if error.to_string().contains("data file"));
        assert!(refused, "{name}: {opened:?}");
        assert!(std::fs::read(&path).unwrap() == bytes, "{name}: the file was written to");
    }
    let _ = std::fs::remove_dir_all(folder);
}

#[test]
fn a_file_of_an_unsupported_record_format_is_refused_and_left_unmodified() {
    let folder = folder("format");
    let path = folder.join("registry.redb");
    write_some(&path);
    {
        let base = Database::open(&path).unwrap();
        let write = base.begin_write().unwrap();
        let table: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");
        let mut raw = write.open_table(table).unwrap().get("meta").unwrap().unwrap().value().to_vec();
        raw[..2].copy_from_slice(&9u16.to_le_bytes());
        write.open_table(table).unwrap().insert("meta", raw.as_slice()).unwrap();
        write.commit().unwrap();
    }
    let before = std::fs::read(&path).unwrap();
    let refused = Store::open(&path, "posta", node()).map(drop);
    assert!(matches!(refused, Err(StoreError::UnsupportedFormat(9))), "{refused:?}");
    assert!(std::fs::read(&path).unwrap() == before, "the file was written to");
    let _ = std::fs::remove_dir_all(folder);
}
