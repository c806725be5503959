//! Compatibility with a data file written by an earlier version of the program.

use chain::{Batch, Change, Meta, Store, StoredReplica};
use std::path::PathBuf;
use wire::{LogEntry, NodeAddress, ProposalId, View};

const CLUSTER: &str = "posta";
const LAST: u64 = 6;
const COMMITTED: u64 = 5;

fn data_file() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/data/registry-format-1.redb.deflate")
}

fn view() -> View {
    let voters: Vec<NodeAddress> =
        (1..=3).map(|id| NodeAddress { id, address: format!("10.0.0.{id}:7760").as_str().into() }).collect();
    View { number: 4, chain: vec![1, 2, 3].into(), voters: voters.into(), learner: 3, optimizer: 2 }
}

fn meta() -> Meta {
    let node = NodeAddress { id: 1, address: "10.0.0.1:7760".into() };
    Meta { node, view: view(), promised: 515, accepted_number: 514, accepted: View { number: 5, ..view() } }
}

fn entry(seq: u64) -> LogEntry {
    LogEntry { seq, op: ProposalId { origin: 2, number: seq + 100 }, body: vec![seq as u8; 30].into() }
}

/// Returns batches with every kind of content: identity, view, an open proposal, pairs (one of them removed), and
/// entries (the first of them trimmed).
fn batches() -> Vec<Batch> {
    let pair = |key: &str, value: u8| Change::put(key, vec![value; 20]);
    let first = Batch {
        changes: vec![pair("functions/a/f", 1), pair("claims/k", 2), pair("deferred/t", 3), pair("removed", 4)],
        entries: (1..=3).map(entry).collect(),
        last: 3,
        known_committed: 2,
        meta: Some(meta()),
        ..Batch::default()
    };
    let second = Batch {
        changes: vec![Change::remove("removed"), pair("claims/k", 5)],
        entries: (4..=LAST).map(entry).collect(),
        trim_below: 2,
        last: LAST,
        known_committed: COMMITTED,
        ..Batch::default()
    };
    vec![first, second]
}

fn check(stored: &StoredReplica) {
    assert_eq!(stored.meta, meta());
    assert_eq!((stored.last, stored.known_committed), (LAST, COMMITTED));
    assert_eq!(stored.entries, (2..=LAST).map(entry).collect::<Vec<_>>());
    let pairs: Vec<(String, Vec<u8>)> = stored.state.iter().map(|(key, value)| (key.clone(), value.to_vec())).collect();
    let expected = [("claims/k", 5), ("deferred/t", 3), ("functions/a/f", 1)];
    assert_eq!(pairs, expected.map(|(key, value)| (key.to_owned(), vec![value; 20])));
}

#[test]
fn a_file_of_record_format_one_is_read_completely() {
    let folder = std::env::temp_dir().join(format!("heronlink-stored-format-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let path = folder.join("registry.redb");
    if std::env::var_os("GOLDEN_WRITE").is_some() {
        write_data_file(&path);
    }
    let packed = std::fs::read(data_file()).unwrap();
    std::fs::write(&path, miniz_oxide::inflate::decompress_to_vec(&packed).unwrap()).unwrap();
    let (store, stored) = Store::open(&path, CLUSTER, NodeAddress { id: 99, address: "".into() }).unwrap();
    check(&stored);
    drop(store);
    let _ = std::fs::remove_dir_all(folder);
}

fn write_data_file(path: &std::path::Path) {
    let (mut store, _) = Store::open(path, CLUSTER, meta().node).unwrap();
    for batch in batches() {
        store.write(&batch).unwrap();
    }
    drop(store);
    let packed = miniz_oxide::deflate::compress_to_vec(&std::fs::read(path).unwrap(), 9);
    std::fs::create_dir_all(data_file().parent().unwrap()).unwrap();
    std::fs::write(data_file(), packed).unwrap();
}
