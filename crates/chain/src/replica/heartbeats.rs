//! Heartbeats between replicas, and the confirmation rounds that they carry.

use super::ChainReplica;
use crate::confirmation::AwaitingCommit;
use crate::types::Output;
use crate::view_agreement::is_majority;
use wire::{ChainMessage, NodeId};

/// Number of heartbeat intervals after which a round without a majority of answers is started again.
const ROUND_TIMEOUT_HEARTBEATS: u32 = 2;

impl ChainReplica {
    pub(super) fn maybe_send_heartbeat(&mut self) {
        let now = self.clock.now;
        if now >= self.clock.heartbeat_sent_at + self.timing.heartbeat {
            self.clock.heartbeat_sent_at = now;
            self.send_heartbeat();
        }
    }

    fn send_heartbeat(&mut self) {
        self.announce_departure();
        let heartbeat = ChainMessage::Heartbeat {
            view: self.meta.view.number,
            round: self.confirmation.number,
            unhealthy: self.is_unhealthy() as u8,
        };
        // Also sent to this replica itself if it is a voter, since its own answer counts for a round.
        let own = self.meta.view.is_voter(self.me()).then_some(self.me());
        for to in self.peers().into_iter().chain(own) {
            self.send(to, heartbeat.clone());
        }
    }

    pub(super) fn handle_heartbeat(&mut self, from: NodeId, view: u64, round: u64, is_unhealthy: bool) {
        self.detector.record_reported_health(from, is_unhealthy);
        self.rules.departures.record_heartbeat(from, self.clock.now);
        if view < self.meta.view.number {
            let view = self.meta.view.clone();
            return self.send(from, ChainMessage::Decided { view });
        }
        let has_accepted_next = self.meta.accepted_number > 0;
        if !has_accepted_next && self.meta.view.tail() == Some(from) {
            self.tail_history.record_answer(self.clock.now);
        }
        let (view, has_accepted_next) = (self.meta.view.number, has_accepted_next as u8);
        self.send(from, ChainMessage::HeartbeatAck { view, round, has_accepted_next });
    }

    /// Records an answer to a heartbeat. Only answers count as a sign of life: a voter that still sends but receives
    /// nothing would block every entry and every confirmation of the view.
    pub(super) fn handle_heartbeat_ack(&mut self, from: NodeId, view: u64, round: u64, has_accepted_next: bool) {
        self.detector.record_answer(from, self.clock.now);
        let is_other_member = from != self.me() && self.meta.view.is_in_chain(from);
        self.is_view_acknowledged |= is_other_member && view == self.meta.view.number;
        if view < self.meta.view.number {
            // A replica that restarted before it had stored its first view sends no heartbeats, so that the answer
            // is the only occasion to send it the view.
            let view = self.meta.view.clone();
            return self.send(from, ChainMessage::Decided { view });
        }
        let is_expected = self.confirmation.is_running && round == self.confirmation.number;
        if !is_expected || view != self.meta.view.number || has_accepted_next {
            return;
        }
        if self.meta.view.is_voter(from) {
            self.confirmation.acknowledged_by.insert(from);
        }
        let voters = self.meta.view.voters.as_slice().len();
        if is_majority(self.confirmation.acknowledged_by.len(), voters) {
            self.finish_round();
        }
    }

    fn finish_round(&mut self) {
        self.confirmation.is_running = false;
        if self.is_current_tail() {
            let (round, seq) = (self.confirmation.number, self.log.positions().last);
            self.confirmation.awaiting_commit = Some(AwaitingCommit { round, seq });
            self.maybe_report_confirmed_round();
        }
        if self.confirmation.is_due() {
            self.start_round();
        }
    }

    /// Reports a confirmed round once all entries appended before its confirmation are committed.
    pub(super) fn maybe_report_confirmed_round(&mut self) {
        if let Some(awaited) = self.confirmation.awaiting_commit
            && self.log.positions().committed >= awaited.seq
            && self.is_current_tail()
        {
            self.confirmation.awaiting_commit = None;
            self.outputs.push(Output::Confirmed { round: awaited.round });
        }
    }

    pub(super) fn maybe_start_requested_round(&mut self) {
        if !self.confirmation.is_running && self.confirmation.is_due() {
            self.start_round();
        }
    }

    pub(super) fn maybe_restart_round(&mut self) {
        let timeout = self.timing.heartbeat * ROUND_TIMEOUT_HEARTBEATS;
        if self.confirmation.is_running && self.clock.now > self.confirmation.started_at + timeout {
            self.start_round();
        }
    }

    fn start_round(&mut self) {
        self.confirmation.start(self.clock.now);
        self.send_heartbeat();
    }
}
