//! Steps packed for their way to routers: each is packed once, and its bytes are shared by all it goes to.
//! A router is offered the first part of a step, and asks for the next when it has the one before, so that
//! no more than a part is on its way to any.

use crate::core::{Core, CoreOutput};
use crate::keys;
use chain::State;
use std::collections::BTreeMap;
use wire::{Compressed, ConfigurationEpoch, LeaseMessage, NodeId};

/// A thin link of 2 Mbit/s takes 64 ms for one; a proof may wait so long.
const MAX_PART_BYTES: usize = 16 * 1024;
const MAX_PACKED_STEPS: usize = 8;

#[derive(Default)]
pub struct PackedSteps {
    steps: BTreeMap<u64, Compressed>,
    full: Option<(u64, Compressed)>,
}

impl PackedSteps {
    fn step(&mut self, state: &State, number: u64) -> Option<&Compressed> {
        if !self.steps.contains_key(&number) {
            let raw = state.get(&keys::step_key(number))?;
            if self.steps.len() >= MAX_PACKED_STEPS {
                self.steps.pop_first();
            }
            self.steps.insert(number, wire::compress(raw));
        }
        self.steps.get(&number)
    }

    /// The active configuration as one step that sets all there is.
    fn full(&mut self, state: &State) -> (u64, &Compressed) {
        let number = keys::number(state, keys::ACTIVE);
        if self.full.as_ref().is_none_or(|(packed, _)| *packed != number) {
            let step = ConfigurationEpoch {
                number,
                revision: keys::number(state, keys::ACTIVE_REVISION),
                quorum: keys::quorum(state, number).into(),
                items: keys::items(state, keys::ACTIVE_PAIRS).into(),
            };
            self.full = None;
            self.steps.retain(|step, _| *step + MAX_PACKED_STEPS as u64 > number);
            let packed = wire::compress(&wire::to_bytes(&step));
            return (number, &self.full.insert((number, packed)).1);
        }
        let (number, packed) = self.full.as_ref().expect("it was packed above or before");
        (*number, packed)
    }

    pub fn part(
        &mut self,
        state: &State,
        request_id: u64,
        full: bool,
        number: u64,
        offset: u32,
    ) -> Option<LeaseMessage> {
        let (found, packed) = match full {
            true => self.full(state),
            false => (number, self.step(state, number)?),
        };
        // Begun under a step that is no longer active: from the start of the one that is.
        let offset = if full && number != found { 0 } else { offset };
        let bytes = packed.bytes.slice(offset as usize, MAX_PART_BYTES);
        let (size, total) = (packed.size, packed.bytes.len() as u32);
        let full = full as u8;
        Some(LeaseMessage::Part { request_id, full, number: found, size, packed: total, offset, bytes })
    }
}

impl Core {
    pub(crate) fn on_part_request(&mut self, from: NodeId, request_id: u64, full: bool, number: u64, offset: u32) {
        if !self.tail.is_held() {
            return self.not_tail(from);
        }
        let now = self.now;
        if let Some(session) = self.sessions.table.get_mut(&from) {
            session.pushed_at = now;
        }
        let state = self.state().clone();
        if let Some(message) = self.pushes.packed_steps.part(&state, request_id, full, number, offset) {
            self.outs.push(CoreOutput::Router { to: from, message });
        }
    }
}
