//! Proof without the core: a majority of the machines of the active step's quorum say that they
//! hold nothing newer, staged included. A step can only be activated once a majority of that same
//! quorum has staged it, so the two majorities share a machine.

use crate::follower::{Follower, FollowerOutput};
use std::collections::BTreeSet;
use std::time::Duration;
use wire::{HoldMsg, NodeId};

const EVERY: Duration = Duration::from_millis(50);

pub struct PeerRound {
    pub ask: u64,
    pub asked: Duration,
    pub agreeing: BTreeSet<NodeId>,
}

impl Follower {
    pub(crate) fn tick_peers(&mut self) {
        let now = self.now;
        let core_is_near = self.proof.is_some_and(|asked| now < asked + self.timing.hold / 2);
        let in_quorum = self.quorum.contains(&self.me);
        if core_is_near || !self.ready || !in_quorum || self.is_guarded() {
            self.peer_round = None;
            return;
        }
        if self.peer_round.as_ref().is_some_and(|round| now < round.asked + EVERY) {
            return;
        }
        let ask = self.ask_number();
        self.peer_round = Some(PeerRound { ask, asked: now, agreeing: [self.me].into() });
        for to in self.quorum.clone() {
            if to != self.me {
                let message = HoldMsg::PeerAsk { ask, active: self.step };
                self.outs.push(FollowerOutput::ToPeer { to, message });
            }
        }
    }

    pub(crate) fn peer(&mut self, from: NodeId, message: HoldMsg) {
        match message {
            HoldMsg::PeerAsk { ask, .. } if self.ready => {
                let latest = self.staged_number().max(self.latest_known);
                let message = HoldMsg::PeerReceipt { ask, active: self.step, latest };
                self.outs.push(FollowerOutput::ToPeer { to: from, message });
            }
            HoldMsg::PeerReceipt { ask, latest, .. } => {
                let Some(round) = self.peer_round.as_mut().filter(|round| round.ask == ask) else { return };
                if latest > self.step || !self.quorum.contains(&from) {
                    return;
                }
                round.agreeing.insert(from);
                if round.agreeing.len() * 2 > self.quorum.len() {
                    self.peer_proof = self.peer_proof.max(Some(round.asked));
                }
            }
            _ => {}
        }
    }
}
