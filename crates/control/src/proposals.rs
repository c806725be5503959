//! Proposals to the chain on behalf of duties, routers and operators, and the handling of their outcomes.

use crate::core::{Core, CoreOutput};
use crate::pending_proposals::{Duty, Origin, PendingProposal};
use chain::Input;
use std::time::Duration;
use wire::{Command, LeaseMessage, ProposalId};

/// Time after which a duty may be proposed again. Duties are idempotent, and a lost proposal must not block its duty
/// for longer.
const DUTY_TIMEOUT: Duration = Duration::from_millis(1500);

impl Core {
    /// Repeats the proposals that may have been lost with the previous view's head. Duties are dropped, to be started
    /// again when due; changes are proposed again, which is safe because an operation id takes effect only once.
    pub(crate) fn repeat_proposals(&mut self) {
        for mut proposal in self.proposals.take_after_view_change() {
            let Origin::Change { body, may_be_appended, .. } = &mut proposal.origin else { continue };
            *may_be_appended = true;
            let body = body.clone();
            self.propose_pending(proposal, body);
        }
    }

    /// Proposes a duty unless it is already in flight.
    pub(crate) fn propose_duty(&mut self, duty: Duty, command: &Command) {
        if self.proposals.start_duty(duty) {
            self.propose_raw(Origin::Duty(duty), wire::to_bytes(command));
        }
    }

    /// Proposes an encoded command.
    pub(crate) fn propose_raw(&mut self, origin: Origin, body: Vec<u8>) {
        let timeout = if matches!(origin, Origin::Duty(_)) { DUTY_TIMEOUT } else { self.timing.call_timeout };
        self.propose_pending(PendingProposal { origin, due: self.now + timeout }, body);
    }

    fn propose_pending(&mut self, proposal: PendingProposal, body: Vec<u8>) {
        let number = self.proposals.add(proposal);
        self.step_replica(Input::Propose { op: ProposalId { origin: self.id(), number }, body });
    }

    /// Passes the outcome of a proposal on to its originator.
    pub(crate) fn handle_proposal_done(&mut self, op: ProposalId, appended: bool, reply: Vec<u8>) {
        match self.proposals.remove(op.number) {
            Some(Origin::Router { to, request_id }) => {
                let message = LeaseMessage::ProposalAck { request_id, state: appended as u8, body: reply.into() };
                self.outputs.push(CoreOutput::Router { to, message });
            }
            Some(Origin::Change { request_id, op, may_be_appended, .. }) => {
                self.handle_change_done(request_id, op, may_be_appended, appended, &reply)
            }
            Some(Origin::Duty(_)) | None => {}
        }
    }

    /// Gives up proposals that are past their deadline, and reports an unknown outcome to their originators.
    pub(crate) fn expire_proposals(&mut self) {
        for number in self.proposals.overdue(self.now) {
            match self.proposals.remove(number) {
                Some(Origin::Router { to, request_id }) => {
                    let message = LeaseMessage::ProposalAck { request_id, state: 2, body: Vec::new().into() };
                    self.outputs.push(CoreOutput::Router { to, message });
                }
                Some(Origin::Change { request_id, op, .. }) => self.reply_unknown(request_id, &op),
                Some(Origin::Duty(_)) | None => {}
            }
        }
    }
}
