//! Founding a cluster, once: three empty seeds that see each other and nobody else each bind,
//! on disk, to the same three, and only when all three have said so does the first view stand.
//! Where there are fewer seeds, it is those. A machine that comes up empty beside a living cluster is
//! told its view and asks to join; one that may not found asks for nothing else, unless it had bound
//! itself before.

use crate::member::Member;
use crate::types::Output;
use crate::view::optimizer_for;
use std::collections::BTreeMap;
use std::time::Duration;
use wire::{ChainMessage, NodeAddress, NodeId, View};

const EVERY: Duration = Duration::from_millis(250);
const FRESH: Duration = Duration::from_millis(1500);
const SEATS: usize = 3;

#[derive(Clone)]
pub struct Founding {
    founders: BTreeMap<NodeId, (NodeAddress, Duration, View)>,
    /// How many seats a cluster is founded with; 0 if this member may not found one.
    seats: usize,
}

impl Default for Founding {
    fn default() -> Self {
        Founding { founders: BTreeMap::new(), seats: SEATS }
    }
}

impl Founding {
    pub(crate) fn heard(&self) -> impl Iterator<Item = (NodeId, Duration, &View)> {
        self.founders.iter().map(|(id, (_, heard, bound))| (*id, *heard, bound))
    }
}

impl Member {
    /// With how many seats it may found a cluster from empty disks, up to three, or 0 for not at all.
    pub fn founding_with(mut self, seats: usize) -> Self {
        self.founding.seats = seats.min(SEATS);
        self
    }

    /// How many registries may lose their disks at once.
    pub fn bearing(mut self, losses: usize) -> Self {
        self.losses = losses.max(1);
        self
    }

    /// While a joiner would hold up something more pressing, since each becomes the tail.
    pub fn let_joins_wait(&mut self, wait: bool) {
        self.joins_wait = wait;
    }

    pub(crate) fn found(&mut self) {
        if self.now < self.requested_at + EVERY || self.last > 0 || !self.may_found() {
            return;
        }
        let node = self.meta.node.clone();
        let bound = self.meta.accepted.clone();
        if self.founding.seats == 1 {
            return self.on_found_ask(node, bound);
        }
        self.outs.push(Output::SendSeeds { message: ChainMessage::BootstrapRequest { node, bound } });
    }

    fn may_found(&self) -> bool {
        self.founding.seats > 0 || self.meta.accepted_number > 0
    }

    pub(crate) fn on_found_ask(&mut self, node: NodeAddress, bound: View) {
        if self.meta.view.number > 0 {
            let view = self.meta.view.clone();
            return self.send(node.id, ChainMessage::Decided { view });
        }
        if !self.may_found() {
            return;
        }
        self.founding.founders.insert(node.id, (node, self.now, bound));
        let mine = (self.meta.node.clone(), self.now, self.meta.accepted.clone());
        self.founding.founders.insert(self.meta.node.id, mine);
        let now = self.now;
        self.founding.founders.retain(|_, (_, heard, _)| now < *heard + FRESH);
        if self.meta.accepted_number == 0 {
            if self.founding.founders.len() == self.founding.seats {
                let voters: Vec<NodeAddress> = self.founding.founders.values().map(|(node, ..)| node.clone()).collect();
                let chain: Vec<u64> = voters.iter().map(|node| node.id).collect();
                let optimizer = optimizer_for(&chain, 0);
                self.meta.accepted =
                    View { number: 1, chain: chain.into(), voters: voters.into(), learner: 0, optimizer };
                self.meta.accepted_number = 1;
                self.keep_meta(Vec::new());
            }
            return;
        }
        let first = self.meta.accepted.clone();
        let agreed = first.chain.iter().all(|id| {
            *id == self.meta.node.id || self.founding.founders.get(id).is_some_and(|(_, _, bound)| *bound == first)
        });
        if agreed && self.writing.is_none() {
            self.adopt(first);
        }
    }

    pub(crate) fn on_decided(&mut self, view: View) {
        // A view with this one in it was decided after it had said that it holds a copy.
        let joined = view.chain.iter().any(|id| *id == self.meta.node.id);
        if self.meta.view.number == 0 && self.meta.accepted_number == 0 && !joined {
            return self.outs.push(Output::Told { view });
        }
        self.adopt(view);
    }
}
