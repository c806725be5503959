//! Epochs compressed for transfer to routers. Each epoch is compressed once, and all recipients share its bytes.
//! A router is sent the first part of an epoch and requests each further part when it has the previous one, so that
//! at most one part is in flight to any router.

use crate::core::{Core, CoreOutput};
use crate::keys;
use chain::State;
use std::collections::BTreeMap;
use wire::{Compressed, ConfigurationEpoch, LeaseMessage, NodeId};

/// Maximum size of a part. A slow link of 2 Mbit/s takes 64 ms to send one, and can delay a lease proof by as much.
const MAX_PART_BYTES: usize = 16 * 1024;
/// Maximum number of cached epochs.
const MAX_PACKED_EPOCHS: usize = 8;

/// Cache of compressed epochs, and of the active configuration as one epoch.
#[derive(Default)]
pub struct PackedEpochs {
    epochs: BTreeMap<u64, Compressed>,
    full: Option<(u64, Compressed)>,
}

impl PackedEpochs {
    fn epoch(&mut self, state: &State, number: u64) -> Option<&Compressed> {
        if !self.epochs.contains_key(&number) {
            let raw = state.get(&keys::epoch_key(number))?;
            if self.epochs.len() >= MAX_PACKED_EPOCHS {
                self.epochs.pop_first();
            }
            self.epochs.insert(number, wire::compress(raw));
        }
        self.epochs.get(&number)
    }

    /// Returns the active configuration as one epoch that sets all resources.
    fn full(&mut self, state: &State) -> (u64, &Compressed) {
        let number = keys::read_number(state, keys::ACTIVE);
        if self.full.as_ref().is_none_or(|(packed, _)| *packed != number) {
            let epoch = ConfigurationEpoch {
                number,
                revision: keys::read_number(state, keys::ACTIVE_REVISION),
                quorum: keys::quorum(state, number).into(),
                items: keys::items(state, keys::ACTIVE_PAIRS).into(),
            };
            self.full = None;
            self.epochs.retain(|epoch, _| *epoch + MAX_PACKED_EPOCHS as u64 > number);
            let packed = wire::compress(&wire::to_bytes(&epoch));
            return (number, &self.full.insert((number, packed)).1);
        }
        let (number, packed) = self.full.as_ref().expect("the active configuration is packed");
        (*number, packed)
    }

    /// Returns the part at an offset of an epoch or, with `full`, of the active configuration.
    pub fn part_message(
        &mut self,
        state: &State,
        request_id: u64,
        full: bool,
        number: u64,
        offset: u32,
    ) -> Option<LeaseMessage> {
        let (found, packed) = match full {
            true => self.full(state),
            false => (number, self.epoch(state, number)?),
        };
        // The transfer began with an epoch that is no longer active: restart with the active one.
        let offset = if full && number != found { 0 } else { offset };
        let bytes = packed.bytes.slice(offset as usize, MAX_PART_BYTES);
        let (size, total) = (packed.size, packed.bytes.len() as u32);
        let full = full as u8;
        Some(LeaseMessage::Part { request_id, full, number: found, size, compressed_size: total, offset, bytes })
    }
}

impl Core {
    /// Answers a router's request for a part.
    pub(crate) fn handle_part_request(&mut self, from: NodeId, request_id: u64, full: bool, number: u64, offset: u32) {
        if !self.tail.is_held() {
            return self.send_registry_addresses(from);
        }
        let now = self.now;
        if let Some(session) = self.sessions.by_router.get_mut(&from) {
            session.epoch_sent_at = now;
        }
        let state = self.state().clone();
        if let Some(message) = self.pushes.packed_epochs.part_message(&state, request_id, full, number, offset) {
            self.outputs.push(CoreOutput::Router { to: from, message });
        }
    }
}
