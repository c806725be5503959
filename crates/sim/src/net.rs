//! The network: frames between two nodes keep their order, as on a held connection; now and then
//! one is slow or comes twice; cuts, one-way or both, drop what is sent across them, and a cut
//! that ends resets the connections it touched.

use crate::slowness::SLOW_FRAME;
use crate::world::{Event, Place, World};
use rand::RngExt;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use wire::{Message, NodeId};

#[derive(Default)]
pub struct Net {
    pub cuts: BTreeSet<(Place, Place)>,
    pub last: BTreeMap<(Place, Place), Duration>,
    pub names: BTreeMap<NodeId, Place>,
    pub sent: u64,
    pub slow: BTreeMap<(Place, Place), Duration>,
    /// Links that lose packets, and until when; they stand here until the last frame that was delayed is there.
    pub lossy: BTreeMap<(Place, Place), Duration>,
    pub slow_machines: BTreeMap<Place, Duration>,
}

impl World {
    pub fn send(&mut self, from: Place, to: NodeId, message: Message) {
        let Some(target) = self.net.names.get(&to).copied() else { return };
        self.send_place(from, target, message);
    }

    pub fn send_place(&mut self, from: Place, to: Place, message: Message) {
        if self.net.cuts.contains(&(from, to)) || from == to {
            return;
        }
        self.net.sent += 1;
        self.fingerprint.add_frame(self.now, from, to, &message);
        let (id, incarnation) = self.identity(from);
        let life = match to {
            Place::Registry(n) => self.registries[n].life,
            Place::Router(n) => self.routers[n].life,
        };
        // Frames go through the codec now and then, so that what is simulated is what is spoken.
        let message = if self.net.sent.is_multiple_of(64) { through_codec(message) } else { message };
        let micros = self.dice.random_range(150..1500);
        let slow = if self.dice.random_ratio(1, 400) { self.dice.random_range(1..400_000) } else { 0 };
        let mut more = self.net.slow.get(&(from, to)).copied().unwrap_or_default();
        more += SLOW_FRAME * (u32::from(self.is_slow(from)) + u32::from(self.is_slow(to)));
        more += self.delay_by_losses(from, to);
        let mut time = self.now + Duration::from_micros(micros + slow) + more;
        let last = self.net.last.entry((from, to)).or_default();
        time = time.max(*last + Duration::from_micros(1));
        *last = time;
        if self.dice.random_ratio(1, 300) {
            let again = time + Duration::from_micros(self.dice.random_range(1..300_000));
            self.at(again, Event::Frame { to, life, from: id, incarnation, message: message.clone() });
        }
        self.at(time, Event::Frame { to, life, from: id, incarnation, message });
    }

    /// Loses what was sent from one to the other and has not arrived, as when a connection is reset.
    pub fn drop_in_flight(&mut self, from: Place, to: Place) {
        let (id, incarnation) = self.identity(from);
        let lost = |event: &mut Event| {
            matches!(event, Event::Frame { to: target, from, incarnation: sent_by, .. }
                if *target == to && *from == id && *sent_by == incarnation)
        };
        let count = self.events.extract_if(.., |_, event| lost(event)).count();
        self.say(|| format!("{from:?} to {to:?} is reset, {count} frames lost"));
    }

    pub fn identity(&self, place: Place) -> (NodeId, u64) {
        match place {
            Place::Registry(n) => (self.registries[n].id, self.registries[n].life),
            Place::Router(n) => (self.routers[n].id, self.routers[n].life),
        }
    }

    /// Tells every living router that a node's connections came up or went down.
    pub fn announce(&mut self, id: NodeId, up: bool) {
        for n in 0..self.routers.len() {
            if self.routers[n].alive() && self.routers[n].id != id {
                let wait = Duration::from_millis(self.dice.random_range(1..60));
                self.after(wait, Event::Link { router: n, id, up });
            }
        }
    }
}

fn through_codec(message: Message) -> Message {
    let frame = wire::Frame { format: wire::FORMAT, cluster: "sim".into(), sender: 1, incarnation: 1, message };
    let bytes = wire::encode(&frame);
    let checksum = u32::from_le_bytes([bytes[4], bytes[5], bytes[6], bytes[7]]);
    wire::decode("sim", checksum, &bytes[8..]).expect("a frame comes back as it went").message
}
