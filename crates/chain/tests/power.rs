//! Power loss of the store's disk, at every write in turn: the seed decides whether each unsynced write is dropped,
//! kept or torn. Afterwards the file must open and hold everything acknowledged, and no batch in part.

mod platter;

use chain::{Batch, Change, Store};
use platter::Disk;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use wire::{LogEntry, NodeAddress, ProposalId};

fn node() -> NodeAddress {
    NodeAddress { id: 5, address: "127.0.0.1:1".into() }
}

fn batch(seq: u64) -> Batch {
    let entry = LogEntry { seq, op: ProposalId { origin: 1, number: seq }, body: vec![seq as u8; 60].into() };
    Batch {
        changes: vec![
            Change::put(format!("key {}", seq % 3), seq.to_le_bytes().to_vec()),
            Change::put("newest", seq.to_le_bytes().to_vec()),
        ],
        entries: vec![entry],
        trim_below: seq.saturating_sub(4),
        last: seq,
        ..Batch::default()
    }
}

/// Writes batches until the power is lost, and returns the sequence number of the last acknowledged one.
fn until_the_loss(disk: &Disk, from: u64, batches: u64) -> Option<u64> {
    let (mut store, _) = Store::open_on(disk.clone(), "posta", node()).ok()?;
    let mut done = from;
    for seq in from + 1..=from + batches {
        if store.write(&batch(seq)).is_err() {
            break;
        }
        done = seq;
    }
    Some(done)
}

#[test]
fn whatever_the_moment_the_power_goes_everything_acknowledged_is_there_completely() {
    const BATCHES: u64 = 6;
    let begun = Disk::new(Vec::new(), u64::MAX);
    assert_eq!(until_the_loss(&begun, 0, 2), Some(2));
    let image = begun.0.lock().unwrap().synced.clone();
    let whole = Disk::new(image.clone(), u64::MAX);
    assert_eq!(until_the_loss(&whole, 2, BATCHES), Some(2 + BATCHES));
    let writes = whole.0.lock().unwrap().used;
    assert!(writes > 20, "the disk was written to {writes} times");
    let mut torn = 0;
    for moment in 0..writes {
        for seed in 0..4 {
            let mut dice = ChaCha8Rng::seed_from_u64(moment * 1000 + seed);
            let disk = Disk::new(image.clone(), moment);
            let acknowledged = until_the_loss(&disk, 2, BATCHES).unwrap_or(2);
            let again = Disk::new(disk.after_the_loss(&mut dice), u64::MAX);
            let opened = Store::open_on(again, "posta", NodeAddress { id: 99, address: "".into() });
            let (_, stored) = opened.unwrap_or_else(|told| panic!("write {moment} seed {seed}: {told}"));
            let at = stored.last;
            assert_eq!(stored.meta.node.id, 5, "write {moment} seed {seed}: identity");
            assert!(
                (acknowledged..=acknowledged + 1).contains(&at),
                "write {moment} seed {seed}: {at} of {acknowledged}"
            );
            assert_eq!(
                stored.state.get("newest").map(|v| v.to_vec()),
                Some(at.to_le_bytes().to_vec()),
                "partial batch"
            );
            let entries: Vec<u64> = stored.entries.iter().map(|entry| entry.seq).collect();
            assert_eq!(entries, (at.saturating_sub(4).max(1)..=at).collect::<Vec<_>>(), "write {moment} seed {seed}");
            torn += u64::from(at > acknowledged);
        }
    }
    println!("{writes} moments, {torn} batches stored though not acknowledged");
}

/// Returns a batch that replaces everything by a snapshot of 600 pairs, all with the same mark.
fn checkpoint(mark: u8, last: u64) -> Batch {
    let changes = (0..600).map(|n| Change::put(format!("pair {n:03}"), vec![mark; 200 + n % 90])).collect();
    Batch { replace: true, changes, trim_below: last + 1, last, known_committed: last, ..Batch::default() }
}

#[test]
fn whatever_the_moment_in_the_installing_of_a_snapshot_the_disk_holds_the_old_or_the_new_never_both() {
    let begun = Disk::new(Vec::new(), u64::MAX);
    {
        let (mut store, _) = Store::open_on(begun.clone(), "posta", node()).unwrap();
        store.write(&checkpoint(1, 100)).unwrap();
        (101..105).for_each(|seq| store.write(&batch(seq)).unwrap());
    }
    let image = begun.0.lock().unwrap().synced.clone();
    let install = |disk: &Disk| -> Option<bool> {
        let (mut store, _) = Store::open_on(disk.clone(), "posta", node()).ok()?;
        Some(store.write(&checkpoint(2, 900)).is_ok())
    };
    let whole = Disk::new(image.clone(), u64::MAX);
    assert_eq!(install(&whole), Some(true));
    let writes = whole.0.lock().unwrap().used;
    let (mut old, mut new) = (0, 0);
    for moment in 0..=writes {
        for seed in 0..4 {
            let mut dice = ChaCha8Rng::seed_from_u64(moment * 1000 + seed);
            let disk = Disk::new(image.clone(), moment);
            let acknowledged = install(&disk).unwrap_or(false);
            let again = Disk::new(disk.after_the_loss(&mut dice), u64::MAX);
            let opened = Store::open_on(again, "posta", NodeAddress { id: 99, address: "".into() });
            let (_, stored) = opened.unwrap_or_else(|told| panic!("write {moment} seed {seed}: {told}"));
            let marks =
                |mark: u8| stored.state.iter().filter(|(key, v)| key.starts_with("pair") && v[0] == mark).count();
            let entries: Vec<u64> = stored.entries.iter().map(|entry| entry.seq).collect();
            match stored.last {
                104 => {
                    assert!(!acknowledged, "write {moment} seed {seed}: an acknowledged snapshot is lost");
                    assert_eq!((marks(1), marks(2), entries), (600, 0, vec![101, 102, 103, 104]));
                    assert!(stored.state.contains_key("newest"));
                    old += 1;
                }
                900 => {
                    assert_eq!((marks(1), marks(2), stored.state.len(), entries.len()), (0, 600, 600, 0));
                    new += 1;
                }
                other => panic!("write {moment} seed {seed}: at entry {other}"),
            }
        }
    }
    println!("{writes} moments: old contents {old} times, new contents {new} times");
    assert!(old > 0 && new > 0);
}
