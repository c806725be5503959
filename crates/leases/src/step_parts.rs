//! Steps, and the whole configuration, as they arrive in packed parts. The next part is asked for only
//! when the one before it is here, so that no more than one is on its way to a router and a proof never
//! waits behind more than that. What stays away for a while is asked for again.

use crate::follower::Follower;
use std::time::Duration;
use wire::{Blob, ConfigurationEpoch, LeaseMessage, NodeId};

const RETRY_INTERVAL: Duration = Duration::from_millis(500);

pub struct Part {
    pub number: u64,
    pub size: u32,
    pub packed: u32,
    pub offset: u32,
    pub bytes: Blob,
}

/// Something packed of which a part is here.
pub struct Arriving {
    pub from: NodeId,
    pub number: u64,
    size: u32,
    packed: u32,
    bytes: Vec<u8>,
    pub requested_at: Duration,
    pub moved: Duration,
}

enum Received {
    Nothing,
    More,
    Complete(Option<ConfigurationEpoch>),
}

impl Arriving {
    fn take(slot: &mut Option<Arriving>, now: Duration, from: NodeId, part: Part) -> Received {
        let Part { number, size, packed, offset, bytes } = part;
        let same = |known: &Arriving| (known.number, known.size, known.packed) == (number, size, packed);
        if offset == 0 && !slot.as_ref().is_some_and(same) {
            *slot = Some(Arriving { from, number, size, packed, bytes: Vec::new(), requested_at: now, moved: now });
        }
        let Some(arriving) = slot.as_mut().filter(|known| same(known)) else { return Received::Nothing };
        let fits = bytes.len() <= packed.saturating_sub(offset) as usize;
        if offset as usize != arriving.bytes.len() || bytes.is_empty() || !fits {
            return Received::Nothing;
        }
        arriving.bytes.extend_from_slice(bytes.as_slice());
        (arriving.from, arriving.requested_at, arriving.moved) = (from, now, now);
        if arriving.bytes.len() < packed as usize {
            return Received::More;
        }
        let raw = wire::decompress(&arriving.bytes, size);
        *slot = None;
        Received::Complete(
            raw.and_then(|raw| wire::from_bytes::<ConfigurationEpoch>(&raw)).filter(|step| step.number == number),
        )
    }

    fn request(&self, request_id: u64, full: bool) -> LeaseMessage {
        LeaseMessage::PartRequest { request_id, full: full as u8, number: self.number, offset: self.bytes.len() as u32 }
    }
}

impl Follower {
    pub(crate) fn on_step_part(&mut self, from: NodeId, part: Part) {
        if !self.epochs.accepts(part.number) {
            self.epochs.record_known(part.number);
            let number = self.staged_number();
            return self.send_to_registry(Some(from), LeaseMessage::Staged { number });
        }
        match Arriving::take(&mut self.transfers.arriving, self.now, from, part) {
            Received::Complete(Some(step)) => self.on_stage(from, step),
            Received::More => self.request_next_parts(),
            Received::Nothing | Received::Complete(None) => {}
        }
    }

    pub(crate) fn on_configuration_part(&mut self, from: NodeId, request_id: u64, part: Part) {
        let (now, step) = (self.now, self.epochs.active());
        let Some(fetch) = self.transfers.fetch.as_mut().filter(|fetch| fetch.request_id == request_id) else { return };
        if part.number <= step {
            self.transfers.fetch = None;
            return;
        }
        fetch.moved = now;
        match Arriving::take(&mut fetch.parts, now, from, part) {
            Received::Complete(Some(full)) => {
                self.transfers.fetch = None;
                let pairs = full.items.into_vec().into_iter();
                let pairs = pairs.map(|item| (item.key.as_str().to_owned(), item.value.into_vec())).collect();
                self.install(full.number, full.revision, full.quorum.into_vec(), pairs);
            }
            Received::Complete(None) => self.transfers.fetch = None,
            Received::More => self.request_next_parts(),
            Received::Nothing => {}
        }
    }

    fn request_next_parts(&mut self) {
        let now = self.now;
        let mut pending_renewals = Vec::new();
        if let Some(arriving) =
            self.transfers.arriving.as_mut().filter(|it| it.moved == now || now >= it.requested_at + RETRY_INTERVAL)
        {
            arriving.requested_at = now;
            pending_renewals.push((arriving.from, arriving.request(0, false)));
        }
        if let Some(fetch) = &mut self.transfers.fetch
            && let Some(arriving) =
                fetch.parts.as_mut().filter(|it| it.moved == now || now >= it.requested_at + RETRY_INTERVAL)
        {
            arriving.requested_at = now;
            pending_renewals.push((arriving.from, arriving.request(fetch.request_id, true)));
        }
        pending_renewals.into_iter().for_each(|(to, message)| self.send_to_registry(Some(to), message));
    }

    pub(crate) fn next_part_due(&self) -> Duration {
        let fetched = self.transfers.fetch.as_ref().and_then(|fetch| fetch.parts.as_ref());
        let due = self.transfers.arriving.iter().chain(fetched).map(|it| it.requested_at + RETRY_INTERVAL).min();
        let given_up = self.transfers.fetch.as_ref().map(|fetch| fetch.moved + self.timing.hold);
        due.into_iter().chain(given_up).min().unwrap_or(Duration::MAX)
    }

    pub(crate) fn tick_parts(&mut self) {
        let (now, hold) = (self.now, self.timing.hold);
        if self.transfers.fetch.as_ref().is_some_and(|fetch| now > fetch.moved + hold) {
            self.transfers.fetch = None;
        }
        let staged = self.staged_number();
        if self.transfers.arriving.as_ref().is_some_and(|it| now > it.moved + hold || it.number <= staged) {
            self.transfers.arriving = None;
        }
        self.request_next_parts();
    }
}
