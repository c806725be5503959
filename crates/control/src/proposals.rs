//! Entering commands into the chain on behalf of duties, routers and operators, and what came of them.

use crate::core::{Core, CoreOutput, PendingProposal};
use chain::Input;
use std::time::Duration;
use wire::{Command, LeaseMessage, NodeId, ProposalId};

/// What the tail enters by itself. Of each, one entry at a time is on its way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Duty {
    Tick,
    Activate,
    Quorum,
    Join { id: NodeId, incarnation: u64 },
    Leaving { id: NodeId, incarnation: u64 },
    Lapse { id: NodeId, incarnation: u64 },
}

/// A duty may be entered twice without harm; one that was lost on the way holds up the others no longer.
const DUTY_TIMEOUT: Duration = Duration::from_millis(1500);

impl Core {
    /// What was on its way to the head of the view before may be lost with it. Duties are begun anew, and
    /// a change is entered again: under its operation id it takes effect once.
    pub(crate) fn propose_again(&mut self) {
        self.pending_proposals.retain(|_, (wait, _)| !matches!(wait, PendingProposal::Duty(_)));
        self.open.clear();
        let again =
            self.pending_proposals.extract_if(.., |_, (wait, _)| matches!(wait, PendingProposal::Change { .. }));
        for (_, (mut wait, due)) in again.collect::<Vec<_>>() {
            let PendingProposal::Change { body, again, .. } = &mut wait else { continue };
            *again = true;
            let body = body.clone();
            self.next_op += 1;
            let number = self.next_op;
            self.pending_proposals.insert(number, (wait, due));
            self.chain(Input::Propose { op: ProposalId { origin: self.me(), number }, body });
        }
    }

    pub(crate) fn propose_duty(&mut self, duty: Duty, command: &Command) {
        if self.open.insert(duty) {
            self.propose_raw(PendingProposal::Duty(duty), wire::to_bytes(command));
        }
    }

    pub(crate) fn propose_raw(&mut self, wait: PendingProposal, body: Vec<u8>) {
        self.next_op += 1;
        let number = self.next_op;
        let due = self.now + if matches!(wait, PendingProposal::Duty(_)) { DUTY_TIMEOUT } else { self.timing.call };
        self.pending_proposals.insert(number, (wait, due));
        self.chain(Input::Propose { op: ProposalId { origin: self.me(), number }, body });
    }

    pub(crate) fn done(&mut self, op: ProposalId, appended: bool, reply: Vec<u8>) {
        let Some((wait, _)) = self.pending_proposals.remove(&op.number) else { return };
        match wait {
            PendingProposal::Duty(duty) => drop(self.open.remove(&duty)),
            PendingProposal::Router { to, request_id } => {
                let message = LeaseMessage::ProposalAck { request_id, state: appended as u8, body: reply.into() };
                self.outs.push(CoreOutput::Router { to, message });
            }
            PendingProposal::Change { request_id, op, again, .. } => {
                self.change_done(request_id, op, again, appended, &reply)
            }
        }
    }
}
