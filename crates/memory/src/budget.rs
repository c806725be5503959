//! A limited number of bytes.

use crate::reservation::Reservation;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::Semaphore;
use tokio::time::timeout;

/// Bytes that may be held for one purpose; clones share them.
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    free: Arc<Semaphore>,
    capacity_bytes: usize,
    shortages: Arc<AtomicU64>,
}

impl MemoryBudget {
    /// Maximum capacity, in bytes.
    pub const MAX_CAPACITY_BYTES: usize = u32::MAX as usize;

    /// Returns a budget of so many bytes, at most [`MemoryBudget::MAX_CAPACITY_BYTES`].
    pub fn new(capacity_bytes: usize) -> MemoryBudget {
        let capacity_bytes = capacity_bytes.min(Self::MAX_CAPACITY_BYTES);
        MemoryBudget { free: Arc::new(Semaphore::new(capacity_bytes)), capacity_bytes, shortages: Arc::default() }
    }

    /// Returns a budget that is practically never used up.
    pub fn unlimited() -> MemoryBudget {
        MemoryBudget::new(usize::MAX)
    }

    /// Reserves bytes if they are free. Otherwise counts a shortage.
    pub fn try_reserve(&self, bytes: usize) -> Option<Reservation> {
        let permits = u32::try_from(bytes).ok();
        let taken = permits.and_then(|permits| self.free.clone().try_acquire_many_owned(permits).ok());
        if taken.is_none() {
            self.shortages.fetch_add(1, Ordering::Relaxed);
        }
        taken.map(Reservation::new)
    }

    /// Waits until the bytes are free, after those that began to wait earlier. Returns `None` if there are never that
    /// many.
    pub async fn reserve(&self, bytes: usize) -> Option<Reservation> {
        if bytes > self.capacity_bytes {
            return None;
        }
        self.free.clone().acquire_many_owned(bytes as u32).await.ok().map(Reservation::new)
    }

    /// Reserves bytes like [`MemoryBudget::reserve`]. If they are not free, `report` gets their number, at once and after
    /// each interval, until they are.
    pub async fn reserve_reporting(
        &self,
        bytes: usize,
        interval: Duration,
        report: impl Fn(usize),
    ) -> Option<Reservation> {
        if let Some(reservation) = self.try_reserve(bytes) {
            return Some(reservation);
        }
        let mut reservation = pin!(self.reserve(bytes));
        loop {
            report(bytes);
            if let Ok(reservation) = timeout(interval, reservation.as_mut()).await {
                return reservation;
            }
        }
    }

    /// Returns the size of the budget.
    pub fn capacity_bytes(&self) -> usize {
        self.capacity_bytes
    }

    /// Returns the number of bytes that are reserved.
    pub fn reserved_bytes(&self) -> usize {
        self.capacity_bytes - self.free.available_permits()
    }

    /// Returns how often bytes were asked for that were not free.
    pub fn shortages(&self) -> u64 {
        self.shortages.load(Ordering::Relaxed)
    }
}
