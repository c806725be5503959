//! What a registry does of its own accord: at each tick, and after whatever it took in.

use crate::core::{Core, CoreOutput, PendingProposal};
use crate::keys;
use chain::Positions;
use std::time::Duration;
use wire::LeaseMessage;

/// A registry that joins becomes the tail, and a new tail lets no step come into force for a while: one
/// that is pending goes first, if it can at all.
const JOIN_DEFERRAL: Duration = Duration::from_secs(1);
const PUSH_INTERVAL: Duration = Duration::from_millis(40);

impl Core {
    pub(crate) fn tick(&mut self) {
        let now = self.now;
        let late: Vec<u64> =
            self.pending_proposals.iter().filter(|(_, (_, due))| now > *due).map(|(op, _)| *op).collect();
        for op in late {
            match self.pending_proposals.remove(&op) {
                Some((PendingProposal::Router { to, request_id }, _)) => {
                    let message = LeaseMessage::ProposalAck { request_id, state: 2, body: Vec::new().into() };
                    self.outs.push(CoreOutput::Router { to, message });
                }
                Some((PendingProposal::Change { request_id, op, .. }, _)) => self.unknown(request_id, &op),
                Some((PendingProposal::Duty(duty), _)) => drop(self.open.remove(&duty)),
                None => {}
            }
        }
        self.tick_calls();
        let pending = keys::number(self.state(), keys::LATEST) > keys::number(self.state(), keys::ACTIVE);
        let since = self.tail_since.unwrap_or(now);
        self.member.defer_joins(pending && now < since + JOIN_DEFERRAL);
        self.duties();
        self.confirm_renewals();
    }

    /// Follows what became synced and committed since: steps in force, the tail's role, pushes.
    pub(crate) fn after(&mut self) {
        let Positions { synced, committed, .. } = self.member.positions();
        let active = keys::number(self.state(), keys::ACTIVE);
        if active > self.effective {
            self.effective = active;
            self.outs.push(CoreOutput::Activated { step: active });
            self.activated(active);
        }
        self.answer_deferred_calls();
        let tail = self.member.is_current_tail();
        self.follow_tenure();
        let due = self.push_due || committed != self.pushed_commit || self.now >= self.pushed_at + PUSH_INTERVAL;
        if tail && committed >= synced && due {
            self.push_due = false;
            self.pushed_commit = committed;
            self.pushed_at = self.now;
            self.push();
        }
    }
}
