//! Receives epochs, and the complete configuration, in packed parts. The next part is requested only after the
//! previous one has arrived, so at most one is on its way to a router and delays a lease confirmation. A part that
//! does not arrive is requested again.

use crate::follower::Follower;
use std::time::Duration;
use wire::{Blob, ConfigurationEpoch, LeaseMessage, NodeId};

/// Time after which a missing part is requested again.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// One part of a packed epoch or configuration.
pub struct Part {
    /// Number of the epoch.
    pub number: u64,
    /// Size of the unpacked data in bytes.
    pub size: u32,
    /// Size of the packed data in bytes.
    pub packed: u32,
    /// Offset of this part in the packed data.
    pub offset: u32,
    /// Packed data of this part.
    pub bytes: Blob,
}

/// Packed data of which some parts have arrived.
pub struct PartialTransfer {
    pub from: NodeId,
    pub number: u64,
    size: u32,
    packed: u32,
    bytes: Vec<u8>,
    pub requested_at: Duration,
    pub progressed_at: Duration,
}

/// Result of receiving a part.
enum Received {
    /// The part was not the expected one.
    Ignored,
    /// More parts are missing.
    Incomplete,
    /// All parts have arrived; `None` if the data is invalid.
    Complete(Option<ConfigurationEpoch>),
}

impl PartialTransfer {
    fn receive_part(slot: &mut Option<PartialTransfer>, now: Duration, from: NodeId, part: Part) -> Received {
        let Part { number, size, packed, offset, bytes } = part;
        let is_same = |known: &PartialTransfer| (known.number, known.size, known.packed) == (number, size, packed);
        if offset == 0 && !slot.as_ref().is_some_and(is_same) {
            *slot = Some(PartialTransfer {
                from,
                number,
                size,
                packed,
                bytes: Vec::new(),
                requested_at: now,
                progressed_at: now,
            });
        }
        let Some(transfer) = slot.as_mut().filter(|known| is_same(known)) else { return Received::Ignored };
        let fits = bytes.len() <= packed.saturating_sub(offset) as usize;
        if offset as usize != transfer.bytes.len() || bytes.is_empty() || !fits {
            return Received::Ignored;
        }
        transfer.bytes.extend_from_slice(bytes.as_slice());
        (transfer.from, transfer.requested_at, transfer.progressed_at) = (from, now, now);
        if transfer.bytes.len() < packed as usize {
            return Received::Incomplete;
        }
        let raw = wire::decompress(&transfer.bytes, size);
        *slot = None;
        Received::Complete(
            raw.and_then(|raw| wire::from_bytes::<ConfigurationEpoch>(&raw)).filter(|epoch| epoch.number == number),
        )
    }

    fn next_request(&self, request_id: u64, full: bool) -> LeaseMessage {
        LeaseMessage::PartRequest { request_id, full: full as u8, number: self.number, offset: self.bytes.len() as u32 }
    }
}

impl Follower {
    pub(crate) fn handle_epoch_part(&mut self, from: NodeId, part: Part) {
        if !self.epochs.accepts(part.number) {
            self.epochs.record_known(part.number);
            let number = self.staged_epoch();
            return self.send_to_registry(Some(from), LeaseMessage::Staged { number });
        }
        match PartialTransfer::receive_part(&mut self.transfers.next_epoch, self.now, from, part) {
            Received::Complete(Some(epoch)) => self.stage_epoch(from, epoch),
            Received::Incomplete => self.request_next_parts(),
            Received::Ignored | Received::Complete(None) => {}
        }
    }

    pub(crate) fn handle_configuration_part(&mut self, from: NodeId, request_id: u64, part: Part) {
        let (now, epoch) = (self.now, self.epochs.active());
        let Some(fetch) = self.transfers.fetch.as_mut().filter(|fetch| fetch.request_id == request_id) else { return };
        if part.number <= epoch {
            self.transfers.fetch = None;
            return;
        }
        fetch.progressed_at = now;
        match PartialTransfer::receive_part(&mut fetch.parts, now, from, part) {
            Received::Complete(Some(full)) => {
                self.transfers.fetch = None;
                let resources = full.items.into_vec().into_iter();
                let resources = resources.map(|item| (item.key.as_str().to_owned(), item.value.into_vec())).collect();
                self.install(full.number, full.revision, full.quorum.into_vec(), resources);
            }
            Received::Complete(None) => self.transfers.fetch = None,
            Received::Incomplete => self.request_next_parts(),
            Received::Ignored => {}
        }
    }

    fn request_next_parts(&mut self) {
        let now = self.now;
        let mut requests = Vec::new();
        if let Some(transfer) = self
            .transfers
            .next_epoch
            .as_mut()
            .filter(|transfer| transfer.progressed_at == now || now >= transfer.requested_at + RETRY_INTERVAL)
        {
            transfer.requested_at = now;
            requests.push((transfer.from, transfer.next_request(0, false)));
        }
        if let Some(fetch) = &mut self.transfers.fetch
            && let Some(transfer) = fetch
                .parts
                .as_mut()
                .filter(|transfer| transfer.progressed_at == now || now >= transfer.requested_at + RETRY_INTERVAL)
        {
            transfer.requested_at = now;
            requests.push((transfer.from, transfer.next_request(fetch.request_id, true)));
        }
        requests.into_iter().for_each(|(to, message)| self.send_to_registry(Some(to), message));
    }

    pub(crate) fn next_part_due(&self) -> Duration {
        let fetched = self.transfers.fetch.as_ref().and_then(|fetch| fetch.parts.as_ref());
        let due = self
            .transfers
            .next_epoch
            .iter()
            .chain(fetched)
            .map(|transfer| transfer.requested_at + RETRY_INTERVAL)
            .min();
        let fetch_timeout = self.transfers.fetch.as_ref().map(|fetch| fetch.progressed_at + self.timing.hold);
        due.into_iter().chain(fetch_timeout).min().unwrap_or(Duration::MAX)
    }

    pub(crate) fn tick_transfers(&mut self) {
        let (now, hold) = (self.now, self.timing.hold);
        if self.transfers.fetch.as_ref().is_some_and(|fetch| now > fetch.progressed_at + hold) {
            self.transfers.fetch = None;
        }
        let staged = self.staged_epoch();
        if self
            .transfers
            .next_epoch
            .as_ref()
            .is_some_and(|transfer| now > transfer.progressed_at + hold || transfer.number <= staged)
        {
            self.transfers.next_epoch = None;
        }
        self.request_next_parts();
    }
}
