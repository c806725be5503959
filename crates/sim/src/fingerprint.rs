//! Fingerprint of a run: a checksum over every frame that was sent, with its time, sender, receiver and bytes, and
//! over every step. Two versions of the code that behave alike give the same fingerprint for the same seed,
//! whatever their types and fields are called.

use crate::world::NodeRef;
use crc32fast::Hasher;
use std::time::Duration;
use wire::{Message, to_bytes};

/// The running checksum. It is off by default, since it encodes every frame.
#[derive(Default)]
pub struct Fingerprint {
    hasher: Option<Hasher>,
}

impl Fingerprint {
    /// Starts the checksum; steps and frames are added from now on.
    pub fn switch_on(&mut self) {
        self.hasher = Some(Hasher::new());
    }

    /// Adds a step and its time.
    pub fn add_step(&mut self, now: Duration, number: u64) {
        let Some(hasher) = &mut self.hasher else { return };
        hasher.update(&now.as_nanos().to_le_bytes());
        hasher.update(&number.to_le_bytes());
    }

    /// Adds a frame that was sent.
    pub fn add_frame(&mut self, now: Duration, from: NodeRef, to: NodeRef, message: &Message) {
        let Some(hasher) = &mut self.hasher else { return };
        hasher.update(&now.as_nanos().to_le_bytes());
        hasher.update(&end(from));
        hasher.update(&end(to));
        hasher.update(&to_bytes(message));
    }

    /// Returns the checksum, or 0 if it is off.
    pub fn value(&self) -> u32 {
        self.hasher.clone().map_or(0, Hasher::finalize)
    }
}

fn end(node_ref: NodeRef) -> [u8; 9] {
    let (kind, index) = match node_ref {
        NodeRef::Registry(index) => (0, index),
        NodeRef::Router(index) => (1, index),
    };
    let mut bytes = [kind; 9];
    bytes[1..].copy_from_slice(&(index as u64).to_le_bytes());
    bytes
}
