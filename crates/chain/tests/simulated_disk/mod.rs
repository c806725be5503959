//! Simulated disk in memory that can lose power and can be full.

#![allow(dead_code)]

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use redb::StorageBackend;
use std::io;
use std::sync::{Arc, Mutex};

/// Contents and limits of a simulated disk.
#[derive(Debug)]
pub struct DiskState {
    /// Contents after the last sync.
    pub synced: Vec<u8>,
    /// Contents with all writes.
    current: Vec<u8>,
    /// Writes since the last sync: offset and bytes.
    unsynced: Vec<(u64, Vec<u8>)>,
    /// Number of operations after which the power is lost.
    max_operations: u64,
    /// Number of operations so far: writes, syncs and size changes.
    pub operations: u64,
    /// Whether all writes fail because the disk is full; reads still succeed.
    pub full: bool,
}

/// Simulated disk, shared between a test and the store. Only the `StorageBackend` trait makes the lock necessary; the
/// product has none here.
#[derive(Clone, Debug)]
pub struct SimulatedDisk(pub Arc<Mutex<DiskState>>);

impl SimulatedDisk {
    /// Returns a disk with these contents that loses power after this many operations.
    pub fn new(image: Vec<u8>, max_operations: u64) -> SimulatedDisk {
        let (current, synced, unsynced) = (image.clone(), image, Vec::new());
        SimulatedDisk(Arc::new(Mutex::new(DiskState {
            current,
            synced,
            unsynced,
            max_operations,
            operations: 0,
            full: false,
        })))
    }

    /// Returns the contents of the disk after a power loss: each write since the last sync is dropped, applied
    /// completely, or applied in part.
    pub fn after_power_loss(&self, rng: &mut ChaCha8Rng) -> Vec<u8> {
        let state = self.0.lock().unwrap();
        let mut image = state.synced.clone();
        for (at, bytes) in &state.unsynced {
            let kept_bytes = match rng.random_range(0..3) {
                0 => 0,
                1 => bytes.len(),
                _ => rng.random_range(0..=bytes.len()),
            };
            let end = *at as usize + kept_bytes;
            if kept_bytes > 0 && image.len() < end {
                image.resize(end, 0);
            }
            if kept_bytes > 0 {
                image[*at as usize..end].copy_from_slice(&bytes[..kept_bytes]);
            }
        }
        image
    }
}

impl DiskState {
    fn count_operation(&mut self) -> io::Result<()> {
        if self.full {
            return Err(io::ErrorKind::StorageFull.into());
        }
        self.operations += 1;
        if self.operations > self.max_operations { Err(io::Error::other("power lost")) } else { Ok(()) }
    }
}

impl StorageBackend for SimulatedDisk {
    fn len(&self) -> io::Result<u64> {
        Ok(self.0.lock().unwrap().current.len() as u64)
    }
    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        let state = self.0.lock().unwrap();
        let from = state.current.get(offset as usize..offset as usize + out.len());
        out.copy_from_slice(from.ok_or_else(|| io::Error::from(io::ErrorKind::UnexpectedEof))?);
        Ok(())
    }
    fn set_len(&self, len: u64) -> io::Result<()> {
        let mut state = self.0.lock().unwrap();
        state.count_operation()?;
        state.current.resize(len as usize, 0);
        let grown = state.synced.len().max(len as usize);
        state.synced.resize(grown, 0);
        Ok(())
    }
    fn sync_data(&self) -> io::Result<()> {
        let mut state = self.0.lock().unwrap();
        state.count_operation()?;
        state.synced = state.current.clone();
        state.unsynced.clear();
        Ok(())
    }
    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        let mut state = self.0.lock().unwrap();
        let result = state.count_operation();
        state.unsynced.push((offset, data.to_vec()));
        if result.is_ok() {
            state.current[offset as usize..offset as usize + data.len()].copy_from_slice(data);
        }
        result
    }
}
