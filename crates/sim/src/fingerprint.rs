//! A fingerprint of a run: a checksum over every frame that was sent, with its time, its ends and its bytes,
//! and over every step that was taken. Two versions of the code that behave alike give the same fingerprint for
//! the same seed, whatever their types and fields are called.

use crate::world::NodeRef;
use crc32fast::Hasher;
use std::time::Duration;
use wire::{Message, to_bytes};

/// The checksum as it grows; takes nothing in until it is switched on, since it costs an encoding a frame.
#[derive(Default)]
pub struct Fingerprint {
    hasher: Option<Hasher>,
}

impl Fingerprint {
    /// From now on everything is taken in.
    pub fn switch_on(&mut self) {
        self.hasher = Some(Hasher::new());
    }

    /// Takes in that a step was taken at this time.
    pub fn add_step(&mut self, now: Duration, number: u64) {
        let Some(hasher) = &mut self.hasher else { return };
        hasher.update(&now.as_nanos().to_le_bytes());
        hasher.update(&number.to_le_bytes());
    }

    /// Takes in a frame that was sent.
    pub fn add_frame(&mut self, now: Duration, from: NodeRef, to: NodeRef, message: &Message) {
        let Some(hasher) = &mut self.hasher else { return };
        hasher.update(&now.as_nanos().to_le_bytes());
        hasher.update(&end(from));
        hasher.update(&end(to));
        hasher.update(&to_bytes(message));
    }

    /// The checksum of all that was taken in.
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
