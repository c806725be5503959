//! Simulated network. Frames between two nodes keep their order, as on one connection; now and then a frame is slow
//! or arrives twice. Cuts in one or both directions drop the frames sent across them, and the end of a cut resets
//! the connections that it affected.

use crate::slowness::SLOW_FRAME;
use crate::world::{Event, NodeRef, World};
use rand::RngExt;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use wire::{Message, NodeId};

#[derive(Default)]
pub struct Net {
    pub cuts: BTreeSet<(NodeRef, NodeRef)>,
    pub last_arrivals: BTreeMap<(NodeRef, NodeRef), Duration>,
    pub node_by_id: BTreeMap<NodeId, NodeRef>,
    pub sent_frames: u64,
    pub slow_links: BTreeMap<(NodeRef, NodeRef), Duration>,
    /// Links that lose packets, and until when. A link is kept here until its last delayed frame has arrived.
    pub lossy_links: BTreeMap<(NodeRef, NodeRef), Duration>,
    pub slow_machines: BTreeMap<NodeRef, Duration>,
}

impl World {
    pub fn send(&mut self, from: NodeRef, to: NodeId, message: Message) {
        let Some(target) = self.net.node_by_id.get(&to).copied() else { return };
        self.send_place(from, target, message);
    }

    pub fn send_place(&mut self, from: NodeRef, to: NodeRef, message: Message) {
        if self.net.cuts.contains(&(from, to)) || from == to {
            return;
        }
        self.net.sent_frames += 1;
        self.fingerprint.add_frame(self.now, from, to, &message);
        let (id, incarnation) = self.identity(from);
        let run_id = match to {
            NodeRef::Registry(n) => self.registries[n].run_id,
            NodeRef::Router(n) => self.routers[n].run_id,
        };
        // Every 64th frame is encoded and decoded, to check that the simulated messages survive the real codec.
        let message = if self.net.sent_frames.is_multiple_of(64) { encode_and_decode(message) } else { message };
        let micros = self.rng.random_range(150..1500);
        let slow = if self.rng.random_ratio(1, 400) { self.rng.random_range(1..400_000) } else { 0 };
        let mut more = self.net.slow_links.get(&(from, to)).copied().unwrap_or_default();
        more += SLOW_FRAME * (u32::from(self.is_slow(from)) + u32::from(self.is_slow(to)));
        more += self.delay_by_losses(from, to);
        let mut time = self.now + Duration::from_micros(micros + slow) + more;
        let last = self.net.last_arrivals.entry((from, to)).or_default();
        time = time.max(*last + Duration::from_micros(1));
        *last = time;
        if self.rng.random_ratio(1, 300) {
            let again = time + Duration::from_micros(self.rng.random_range(1..300_000));
            self.schedule_at(again, Event::Frame { to, run_id, from: id, incarnation, message: message.clone() });
        }
        self.schedule_at(time, Event::Frame { to, run_id, from: id, incarnation, message });
    }

    /// Drops the frames in flight from one node to another, as when a connection is reset.
    pub fn drop_in_flight(&mut self, from: NodeRef, to: NodeRef) {
        let (id, incarnation) = self.identity(from);
        let lost = |event: &mut Event| {
            matches!(event, Event::Frame { to: target, from, incarnation: sent_by, .. }
                if *target == to && *from == id && *sent_by == incarnation)
        };
        let count = self.events.extract_if(.., |_, event| lost(event)).count();
        self.log(|| format!("{from:?} to {to:?} is reset, {count} frames lost"));
    }

    pub fn identity(&self, node_ref: NodeRef) -> (NodeId, u64) {
        match node_ref {
            NodeRef::Registry(n) => (self.registries[n].id, self.registries[n].run_id),
            NodeRef::Router(n) => (self.routers[n].id, self.routers[n].run_id),
        }
    }

    /// Tells every living router that a node's connections came up or went down.
    pub fn announce(&mut self, id: NodeId, up: bool) {
        for n in 0..self.routers.len() {
            if self.routers[n].is_running() && self.routers[n].id != id {
                let wait = Duration::from_millis(self.rng.random_range(1..60));
                self.schedule_after(wait, Event::Link { router: n, id, up });
            }
        }
    }
}

fn encode_and_decode(message: Message) -> Message {
    let frame = wire::Frame { format: wire::FORMAT, cluster: "sim".into(), sender: 1, incarnation: 1, message };
    let bytes = wire::encode(&frame);
    let checksum = u32::from_le_bytes([bytes[4], bytes[5], bytes[6], bytes[7]]);
    wire::decode("sim", checksum, &bytes[8..]).expect("an encoded frame can be decoded").message
}
