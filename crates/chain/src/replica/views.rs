//! Adoption of a view that was decided.

use super::ChainReplica;
use crate::types::Output;
use std::time::Duration;
use wire::{ChainMessage, NodeAddress, View};

impl ChainReplica {
    pub(super) fn handle_decided(&mut self, view: View) {
        // A view that includes this replica was decided after the replica had reported that it holds a snapshot.
        let has_joined = view.is_in_chain(self.me());
        if self.meta.view.number == 0 && self.meta.accepted_number == 0 && !has_joined {
            return self.outputs.push(Output::ViewLearned { view });
        }
        self.adopt(view);
    }

    /// Adopts a view that is newer than the current one. An empty replica adopts only views in which it is a voter.
    pub(super) fn adopt(&mut self, view: View) {
        let is_older = view.number <= self.meta.view.number;
        if is_older || (self.meta.view.number == 0 && !view.is_voter(self.me())) {
            return;
        }
        let on_synced = self.record_view_change(&view);
        self.record_departures(&view);
        self.meta.view = view.clone();
        self.is_view_acknowledged = false;
        self.meta.promised = 0;
        self.meta.accepted_number = 0;
        self.meta.accepted = View::default();
        self.agreement.reset();
        self.detector.clear_chain_suspicion();
        self.assume_peers_alive();
        self.write_meta(on_synced);
        self.abandon_download_from_former_tail();
        self.enter_chain();
        self.outputs.push(Output::ViewAdopted { view });
    }

    fn record_view_change(&mut self, next: &View) -> Vec<Output> {
        let (now, old) = (self.clock.now, &self.meta.view);
        self.rules.readmissions.record_view_change(old.chain.as_slice(), next.chain.as_slice(), now);
        let report = self.tail_history.record_view_change(old, next, self.meta.node.id, now);
        let message_of =
            |age: Duration| ChainMessage::TailLastAnswered { view: next.number, millis: age.as_millis() as u64 };
        report.map(|report| Output::Send { to: report.to, message: message_of(report.age) }).into_iter().collect()
    }

    fn record_departures(&mut self, next: &View) {
        let is_voteless = |node: &&NodeAddress| next.is_in_chain(node.id) && !next.is_voter(node.id);
        let former = self.meta.view.voters.iter().find(is_voteless).cloned();
        self.rules.former_voter = former.or(self.rules.former_voter.take()).filter(|node| next.is_in_chain(node.id));
        self.rules.departures.retain(|id| next.is_voter(id) || next.is_in_chain(id));
    }

    pub(super) fn assume_peers_alive(&mut self) {
        let peers = self.peers();
        self.detector.assume_alive(peers.into_iter().chain([self.meta.node.id]), self.clock.now);
    }
}
