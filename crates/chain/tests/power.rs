//! The store on a disk that loses its power: at every write in turn, what was not synced is dropped,
//! kept or torn by the seed. After that the file opens, everything acknowledged is there, and nothing
//! is there by halves.

use chain::{Batch, Store};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use redb::StorageBackend;
use std::io;
use std::sync::{Arc, Mutex};
use wire::{EntryLine, OpNo, Seat};

#[derive(Debug)]
struct Platter {
    synced: Vec<u8>,
    now: Vec<u8>,
    unsynced: Vec<(u64, Vec<u8>)>,
    left: u64,
    used: u64,
}

/// The trait asks for a lock; nothing of the product has one.
#[derive(Clone, Debug)]
struct Disk(Arc<Mutex<Platter>>);

impl Disk {
    fn new(image: Vec<u8>, left: u64) -> Disk {
        Disk(Arc::new(Mutex::new(Platter { now: image.clone(), synced: image, unsynced: Vec::new(), left, used: 0 })))
    }

    /// What the disk holds once its power is back: each write since the last sync was lost, landed
    /// whole, or landed in part.
    fn after_the_loss(&self, dice: &mut ChaCha8Rng) -> Vec<u8> {
        let platter = self.0.lock().unwrap();
        let mut image = platter.synced.clone();
        for (at, bytes) in &platter.unsynced {
            let kept = match dice.random_range(0..3) {
                0 => 0,
                1 => bytes.len(),
                _ => dice.random_range(0..=bytes.len()),
            };
            let end = *at as usize + kept;
            if kept > 0 && image.len() < end {
                image.resize(end, 0);
            }
            if kept > 0 {
                image[*at as usize..end].copy_from_slice(&bytes[..kept]);
            }
        }
        image
    }
}

impl Platter {
    fn spend(&mut self) -> io::Result<()> {
        self.used += 1;
        if self.used > self.left { Err(io::Error::other("the power is gone")) } else { Ok(()) }
    }
}

impl StorageBackend for Disk {
    fn len(&self) -> io::Result<u64> {
        Ok(self.0.lock().unwrap().now.len() as u64)
    }
    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        let platter = self.0.lock().unwrap();
        let from = platter.now.get(offset as usize..offset as usize + out.len());
        out.copy_from_slice(from.ok_or_else(|| io::Error::from(io::ErrorKind::UnexpectedEof))?);
        Ok(())
    }
    fn set_len(&self, len: u64) -> io::Result<()> {
        let mut platter = self.0.lock().unwrap();
        platter.spend()?;
        platter.now.resize(len as usize, 0);
        let grown = platter.synced.len().max(len as usize);
        platter.synced.resize(grown, 0);
        Ok(())
    }
    fn sync_data(&self) -> io::Result<()> {
        let mut platter = self.0.lock().unwrap();
        platter.spend()?;
        platter.synced = platter.now.clone();
        platter.unsynced.clear();
        Ok(())
    }
    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        let mut platter = self.0.lock().unwrap();
        let result = platter.spend();
        platter.unsynced.push((offset, data.to_vec()));
        if result.is_ok() {
            platter.now[offset as usize..offset as usize + data.len()].copy_from_slice(data);
        }
        result
    }
}

fn seat() -> Seat {
    Seat { id: 5, address: "127.0.0.1:1".into() }
}

fn batch(seq: u64) -> Batch {
    let entry = EntryLine { seq, op: OpNo { origin: 1, number: seq }, body: vec![seq as u8; 60].into() };
    Batch {
        pairs: vec![
            (format!("key {}", seq % 3), Some(seq.to_le_bytes().to_vec().into())),
            ("newest".into(), Some(seq.to_le_bytes().to_vec().into())),
        ],
        entries: vec![entry],
        trim_below: seq.saturating_sub(4),
        last: seq,
        ..Batch::default()
    }
}

/// Writes until the power is gone and says how many batches were acknowledged.
fn until_the_loss(disk: &Disk, from: u64, batches: u64) -> Option<u64> {
    let (mut store, _) = Store::open_on(disk.clone(), "posta", seat()).ok()?;
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
fn whatever_the_moment_the_power_goes_everything_acknowledged_is_there_whole() {
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
            let opened = Store::open_on(again, "posta", Seat { id: 99, address: "".into() });
            let (_, stored) = opened.unwrap_or_else(|told| panic!("write {moment} seed {seed}: {told}"));
            let at = stored.last;
            assert_eq!(stored.meta.seat.id, 5, "write {moment} seed {seed}: identity");
            assert!(
                (acknowledged..=acknowledged + 1).contains(&at),
                "write {moment} seed {seed}: {at} of {acknowledged}"
            );
            assert_eq!(stored.state.get("newest").map(|v| v.to_vec()), Some(at.to_le_bytes().to_vec()), "by halves");
            let entries: Vec<u64> = stored.entries.iter().map(|entry| entry.seq).collect();
            assert_eq!(entries, (at.saturating_sub(4).max(1)..=at).collect::<Vec<_>>(), "write {moment} seed {seed}");
            torn += u64::from(at > acknowledged);
        }
    }
    println!("{writes} moments, {torn} landed though not acknowledged");
}
