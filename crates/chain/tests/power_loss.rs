//! Power loss of the store's disk, at every write in turn: the seed decides whether each unsynced write is dropped,
//! kept or torn. Afterwards the file must open and hold everything acknowledged, and no batch in part.

mod simulated_disk;

use chain::{Batch, Change, Store};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use simulated_disk::SimulatedDisk;
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
fn write_until_power_loss(disk: &SimulatedDisk, from: u64, batches: u64) -> Option<u64> {
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
fn acknowledged_batches_are_complete_after_a_power_loss_at_any_write() {
    const BATCHES: u64 = 6;
    let initial = SimulatedDisk::new(Vec::new(), u64::MAX);
    assert_eq!(write_until_power_loss(&initial, 0, 2), Some(2));
    let image = initial.0.lock().unwrap().synced.clone();
    let unlimited = SimulatedDisk::new(image.clone(), u64::MAX);
    assert_eq!(write_until_power_loss(&unlimited, 2, BATCHES), Some(2 + BATCHES));
    let writes = unlimited.0.lock().unwrap().operations;
    assert!(writes > 20, "the disk was written to {writes} times");
    let mut unacknowledged = 0;
    for moment in 0..writes {
        for seed in 0..4 {
            let mut rng = ChaCha8Rng::seed_from_u64(moment * 1000 + seed);
            let disk = SimulatedDisk::new(image.clone(), moment);
            let acknowledged = write_until_power_loss(&disk, 2, BATCHES).unwrap_or(2);
            let after_loss = SimulatedDisk::new(disk.after_power_loss(&mut rng), u64::MAX);
            let opened = Store::open_on(after_loss, "posta", NodeAddress { id: 99, address: "".into() });
            let (_, stored) = opened.unwrap_or_else(|error| panic!("write {moment} seed {seed}: {error}"));
            let last = stored.last;
            assert_eq!(stored.meta.node.id, 5, "write {moment} seed {seed}: identity");
            assert!(
                (acknowledged..=acknowledged + 1).contains(&last),
                "write {moment} seed {seed}: {last} of {acknowledged}"
            );
            assert_eq!(
                stored.state.get("newest").map(|v| v.to_vec()),
                Some(last.to_le_bytes().to_vec()),
                "partial batch"
            );
            let entries: Vec<u64> = stored.entries.iter().map(|entry| entry.seq).collect();
            assert_eq!(
                entries,
                (last.saturating_sub(4).max(1)..=last).collect::<Vec<_>>(),
                "write {moment} seed {seed}"
            );
            unacknowledged += u64::from(last > acknowledged);
        }
    }
    println!("{writes} moments, {unacknowledged} batches stored though not acknowledged");
}

/// Returns a batch that replaces everything by a snapshot of 600 pairs, all with the same mark.
fn snapshot_batch(mark: u8, last: u64) -> Batch {
    let changes = (0..600).map(|n| Change::put(format!("pair {n:03}"), vec![mark; 200 + n % 90])).collect();
    Batch { replace: true, changes, trim_below: last + 1, last, known_committed: last, ..Batch::default() }
}

#[test]
fn a_power_loss_during_a_snapshot_installation_leaves_the_old_or_the_new_contents() {
    let initial = SimulatedDisk::new(Vec::new(), u64::MAX);
    {
        let (mut store, _) = Store::open_on(initial.clone(), "posta", node()).unwrap();
        store.write(&snapshot_batch(1, 100)).unwrap();
        (101..105).for_each(|seq| store.write(&batch(seq)).unwrap());
    }
    let image = initial.0.lock().unwrap().synced.clone();
    let install = |disk: &SimulatedDisk| -> Option<bool> {
        let (mut store, _) = Store::open_on(disk.clone(), "posta", node()).ok()?;
        Some(store.write(&snapshot_batch(2, 900)).is_ok())
    };
    let unlimited = SimulatedDisk::new(image.clone(), u64::MAX);
    assert_eq!(install(&unlimited), Some(true));
    let writes = unlimited.0.lock().unwrap().operations;
    let (mut old, mut new) = (0, 0);
    for moment in 0..=writes {
        for seed in 0..4 {
            let mut rng = ChaCha8Rng::seed_from_u64(moment * 1000 + seed);
            let disk = SimulatedDisk::new(image.clone(), moment);
            let acknowledged = install(&disk).unwrap_or(false);
            let after_loss = SimulatedDisk::new(disk.after_power_loss(&mut rng), u64::MAX);
            let opened = Store::open_on(after_loss, "posta", NodeAddress { id: 99, address: "".into() });
            let (_, stored) = opened.unwrap_or_else(|error| panic!("write {moment} seed {seed}: {error}"));
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
