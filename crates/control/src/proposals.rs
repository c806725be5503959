//! Proposing commands to the chain on behalf of duties, routers and operators, and what came of them.

use crate::core::{Core, CoreOutput};
use crate::pending_proposals::{Duty, Origin, PendingProposal};
use chain::Input;
use std::time::Duration;
use wire::{Command, LeaseMessage, ProposalId};

/// A duty may be proposed twice without harm; one that was lost on the way holds up the others no longer.
const DUTY_TIMEOUT: Duration = Duration::from_millis(1500);

impl Core {
    /// What was on its way to the head of the view before may be lost with it. Duties are started anew, and a
    /// change is proposed again: under its operation id it takes effect once.
    pub(crate) fn propose_again(&mut self) {
        for mut proposal in self.proposals.take_after_view_change() {
            let Origin::Change { body, may_be_appended, .. } = &mut proposal.origin else { continue };
            *may_be_appended = true;
            let body = body.clone();
            self.propose_pending(proposal, body);
        }
    }

    pub(crate) fn propose_duty(&mut self, duty: Duty, command: &Command) {
        if self.proposals.start_duty(duty) {
            self.propose_raw(Origin::Duty(duty), wire::to_bytes(command));
        }
    }

    pub(crate) fn propose_raw(&mut self, origin: Origin, body: Vec<u8>) {
        let timeout = if matches!(origin, Origin::Duty(_)) { DUTY_TIMEOUT } else { self.timing.call };
        self.propose_pending(PendingProposal { origin, due: self.now + timeout }, body);
    }

    fn propose_pending(&mut self, proposal: PendingProposal, body: Vec<u8>) {
        let number = self.proposals.add(proposal);
        self.chain(Input::Propose { op: ProposalId { origin: self.me(), number }, body });
    }

    pub(crate) fn handle_proposal_done(&mut self, op: ProposalId, appended: bool, reply: Vec<u8>) {
        match self.proposals.remove(op.number) {
            Some(Origin::Router { to, request_id }) => {
                let message = LeaseMessage::ProposalAck { request_id, state: appended as u8, body: reply.into() };
                self.outs.push(CoreOutput::Router { to, message });
            }
            Some(Origin::Change { request_id, op, may_be_appended, .. }) => {
                self.change_done(request_id, op, may_be_appended, appended, &reply)
            }
            Some(Origin::Duty(_)) | None => {}
        }
    }

    /// Gives up proposals whose outcome did not come in time.
    pub(crate) fn expire_proposals(&mut self) {
        for number in self.proposals.overdue(self.now) {
            match self.proposals.remove(number) {
                Some(Origin::Router { to, request_id }) => {
                    let message = LeaseMessage::ProposalAck { request_id, state: 2, body: Vec::new().into() };
                    self.outs.push(CoreOutput::Router { to, message });
                }
                Some(Origin::Change { request_id, op, .. }) => self.unknown(request_id, &op),
                Some(Origin::Duty(_)) | None => {}
            }
        }
    }
}
