//! Part of a budget, given back when it is dropped.

use bytes::Bytes;
use tokio::sync::OwnedSemaphorePermit;

/// Reserved bytes of one budget.
#[derive(Debug)]
pub struct Reservation {
    permits: OwnedSemaphorePermit,
}

impl Reservation {
    pub(crate) fn new(permits: OwnedSemaphorePermit) -> Reservation {
        Reservation { permits }
    }

    /// Returns the number of reserved bytes.
    pub fn bytes(&self) -> usize {
        self.permits.num_permits()
    }

    /// Adds another reservation of the same budget to this one.
    pub fn merge(&mut self, other: Reservation) {
        self.permits.merge(other.permits);
    }

    /// Gives back what exceeds so many bytes.
    pub fn shrink_to(&mut self, bytes: usize) {
        let excess = self.bytes().saturating_sub(bytes);
        drop(self.permits.split(excess));
    }

    /// Returns the data as bytes that own this reservation.
    pub fn attach_to(self, data: impl AsRef<[u8]> + Send + 'static) -> Bytes {
        Bytes::from_owner(AccountedData { data, _reservation: self })
    }
}

/// Data and the reservation of its memory.
struct AccountedData<T> {
    data: T,
    _reservation: Reservation,
}

impl<T: AsRef<[u8]>> AsRef<[u8]> for AccountedData<T> {
    fn as_ref(&self) -> &[u8] {
        self.data.as_ref()
    }
}
