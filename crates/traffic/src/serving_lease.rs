//! The epoch that this router serves and the time until which it may, packed into one atomic word. The control thread
//! writes it, and the traffic thread reads it at each forward and dispatch. It is lowered before a staged epoch is
//! acknowledged, so no delayed message between threads can let the router serve for too long. It is valid only for a
//! route table of the same epoch, so a new proof never extends the use of an old route table.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

const TIME_BITS: u32 = 40;
const EPOCH_MASK: u64 = (1 << (64 - TIME_BITS)) - 1;

/// Serving lease shared by the control thread and the traffic thread.
#[derive(Clone, Default)]
pub struct ServingLease {
    word: Arc<AtomicU64>,
}

impl ServingLease {
    /// Sets the epoch and the end of the lease.
    pub fn set(&self, epoch: u64, until: Duration) {
        let millis = (until.as_millis() as u64).min((1 << TIME_BITS) - 1);
        self.word.store(((epoch & EPOCH_MASK) << TIME_BITS) | millis, Ordering::SeqCst);
    }

    /// Returns whether the lease lets a router with the route table of `epoch` serve now.
    pub fn is_valid(&self, now: Duration, epoch: u64) -> bool {
        let word = self.word.load(Ordering::SeqCst);
        let until = word & ((1 << TIME_BITS) - 1);
        word >> TIME_BITS == epoch & EPOCH_MASK && (now.as_millis() as u64) < until
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_serving_lease_is_valid_for_one_epoch_until_it_ends() {
        let lease = ServingLease::default();
        let ms = Duration::from_millis;
        assert!(!lease.is_valid(ms(0), 0));
        lease.set(7, ms(1500));
        assert!(lease.is_valid(ms(1499), 7) && !lease.is_valid(ms(1500), 7) && !lease.is_valid(ms(10), 6));
    }
}
