//! Simulated disk in memory that can lose power and can be full.

#![allow(dead_code)]

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use redb::StorageBackend;
use std::io;
use std::sync::{Arc, Mutex};

#[derive(Debug)]
pub struct Platter {
    pub synced: Vec<u8>,
    now: Vec<u8>,
    unsynced: Vec<(u64, Vec<u8>)>,
    left: u64,
    pub used: u64,
    /// Whether all writes fail because the disk is full; reads still succeed.
    pub full: bool,
}

/// Simulated disk, shared between a test and the store. Only the `StorageBackend` trait makes the lock necessary; the
/// product has none here.
#[derive(Clone, Debug)]
pub struct Disk(pub Arc<Mutex<Platter>>);

impl Disk {
    pub fn new(image: Vec<u8>, left: u64) -> Disk {
        let (now, synced, unsynced) = (image.clone(), image, Vec::new());
        Disk(Arc::new(Mutex::new(Platter { now, synced, unsynced, left, used: 0, full: false })))
    }

    /// Returns the contents of the disk after a power loss: each write since the last sync is dropped, applied
    /// completely, or applied in part.
    pub fn after_the_loss(&self, dice: &mut ChaCha8Rng) -> Vec<u8> {
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
        if self.full {
            return Err(io::ErrorKind::StorageFull.into());
        }
        self.used += 1;
        if self.used > self.left { Err(io::Error::other("power lost")) } else { Ok(()) }
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
