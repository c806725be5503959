//! The step this router serves by and the moment until which it may, in one word: written by the
//! control thread, read at each forward and dispatch. It is lowered before a staged step is
//! acknowledged, so no message between threads can be late for it; and it fits only a route table of the
//! same step, so a new proof never vouches for an old route table.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

const TIME_BITS: u32 = 40;
const EPOCH_MASK: u64 = (1 << (64 - TIME_BITS)) - 1;

#[derive(Clone, Default)]
pub struct ServingLease {
    word: Arc<AtomicU64>,
}

impl ServingLease {
    pub fn set(&self, epoch: u64, until: Duration) {
        let millis = (until.as_millis() as u64).min((1 << TIME_BITS) - 1);
        self.word.store(((epoch & EPOCH_MASK) << TIME_BITS) | millis, Ordering::SeqCst);
    }

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
